//! New flows avoid agents missing from the list of instances, but at most a third of a service's
//! agents.

#[path = "support/documents.rs"]
mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use common::{agent_address, document, numbers};
use plantainquay_core::{FiveTuple, RouteMap, Segment, balancer};
use plantainquay_schema::Instance;
use rstest::rstest;

fn instance(number: u32, leaving: bool) -> Instance {
    Instance {
        name: format!("agent-{number}").as_str().into(),
        data_centre: "one".into(),
        tunnel: agent_address(number).parse().expect("an address"),
        leaving,
    }
}

fn live(numbers: &[u32]) -> Vec<Instance> {
    numbers.iter().map(|n| instance(*n, false)).collect()
}

/// Returns the agents that new flows are sent to.
fn targets(routes: &RouteMap) -> BTreeSet<SocketAddr> {
    let segments = (1..2_000_u16).map(|port| {
        let tuple = FiveTuple::tcp(&format!("198.51.100.1:{port}"), "192.0.2.1:80");
        Segment::opening(tuple.expect("two addresses"))
    });
    segments
        .filter_map(|s| balancer::route(routes, &s).ok())
        .map(|f| f.to)
        .collect()
}

#[rstest]
#[case::all_live(&[1, 2, 3, 4, 5, 6], 6)]
#[case::one_of_six_missing(&[1, 2, 3, 4, 5], 5)]
#[case::two_of_six_missing(&[1, 2, 3, 4], 4)]
#[case::five_of_six_missing(&[1], 4)]
#[case::empty_list(&[], 6)]
fn new_flows_avoid_at_most_a_third(#[case] listed: &[u32], #[case] expected: usize) {
    let routes = RouteMap::build(&document("feed", 1, &numbers(6), &[]), &RouteMap::default());
    assert_eq!(
        targets(&routes.with_live_agents(&live(listed))).len(),
        expected
    );
}

#[test]
fn new_flows_avoid_an_agent_that_is_leaving() {
    let routes = RouteMap::build(&document("feed", 1, &numbers(3), &[]), &RouteMap::default());
    let list = [instance(1, true), instance(2, false), instance(3, false)];
    let leaving: SocketAddr = agent_address(1).parse().expect("an address");
    assert!(!targets(&routes.with_live_agents(&list)).contains(&leaving));
}

/// A flow that was opened while its owner was missing stays reachable: for callers that don't echo
/// tags, the balancer routes every packet like the opening packet.
#[test]
fn established_packets_follow_the_opening_one() {
    let routes = RouteMap::build(&document("feed", 1, &numbers(6), &[]), &RouteMap::default());
    let without = routes.with_live_agents(&live(&[1, 2, 3, 4]));
    for port in 1..500_u16 {
        let tuple = FiveTuple::tcp(&format!("198.51.100.1:{port}"), "192.0.2.1:80");
        let tuple = tuple.expect("two addresses");
        let opening = balancer::route(&without, &Segment::opening(tuple));
        assert_eq!(
            balancer::route(&without, &Segment::established(tuple)),
            opening
        );
    }
}
