//! Selection of agents for opening packets, and refusal of new flows by a balancer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::support::{LISTENER_IP, PEER_PORT, just_confirmed, message, process, route, upstream};
use bytes::Bytes;
use plantainquay_core::relay::{
    Action, Actions, Packet, RelayBalancer, RelayBalancerConfig, RelayPolicy, RelayView,
};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{Changes, Generation, RelayBody, RouteDocument};
use rstest::rstest;

const LISTENER_PORT: u16 = 80;
/// Interval of a balancer's ticks, in ms.
const TICK_MS: u64 = 10;

fn balancer(upstreams: u8) -> RelayBalancer {
    let routes = RouteDocument {
        generation: Generation(1),
        routes: vec![route(LISTENER_PORT, 1)],
    };
    let mut fleet = Fleet::default();
    let changes = Changes {
        age: Some(Duration::ZERO),
        routes: Some(routes),
        upstreams: (1..=upstreams).map(upstream).collect(),
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    let balancer = RelayBalancer::new(RelayBalancerConfig {
        own_address: process(200),
        shards: 1,
        policy: RelayPolicy::default(),
    });
    balancer.install(Arc::new(view));
    balancer
}

fn tuple(caller: u16) -> FiveTuple {
    FiveTuple {
        source: SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), caller),
        destination: SocketAddr::new(LISTENER_IP.into(), LISTENER_PORT),
    }
}

fn open(balancer: &RelayBalancer, at_ms: u64, caller: u16) -> Actions {
    let packet = Packet {
        syn: true,
        acknowledges: false,
        ack: 0,
        ..crate::support::packet(tuple(caller), 0)
    };
    let now = Timestamp::from_millis(at_ms);
    let age = || Some(Duration::ZERO);
    balancer.on_packet(now, age, &packet, Bytes::from_static(b"open"))
}

/// Returns the agents to which opening packets are sent, with the caller's port.
fn openings(actions: &Actions) -> Vec<(u16, SocketAddr)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::RecordDecision(record) => Some((record.tuple.source.port(), record.agent?)),
        _ => None,
    });
    sent.collect()
}

fn is_reset(actions: &Actions) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reset { .. }))
}

/// Opens a flow per tick for a second; agents numbered `first_silent` or higher don't answer.
///
/// Returns the agents to which each flow's packet was sent, in order.
fn run(upstreams: u8, first_silent: u8) -> BTreeMap<u16, Vec<SocketAddr>> {
    let balancer = balancer(upstreams);
    let mut sent: BTreeMap<u16, Vec<SocketAddr>> = BTreeMap::new();
    for at_ms in (0..1_000).step_by(usize::try_from(TICK_MS).expect("a small number")) {
        let caller = u16::try_from(1_024 + at_ms).expect("a port");
        let mut actions = balancer.on_tick(Timestamp::from_millis(at_ms), just_confirmed);
        actions.extend(open(&balancer, at_ms, caller));
        for (port, agent) in openings(&actions) {
            sent.entry(port).or_default().push(agent);
            if agent < process(first_silent) {
                let accepted = message(RelayBody::Accepted(tuple(port)));
                let now = Timestamp::from_millis(at_ms);
                balancer.on_message(now, || Some(Duration::ZERO), agent, &accepted);
            }
        }
    }
    sent
}

/// A balancer that sees many silent agents may itself be cut off, and would overload the others.
#[rstest]
#[case::small(3, 2, 2)]
#[case::middle(6, 2, 4)]
#[case::large(11, 4, 8)]
fn silent_agents_beyond_a_third_still_get_first_tries(
    #[case] upstreams: u8,
    #[case] first_silent: u8,
    #[case] min_agents: usize,
) {
    let sent = run(upstreams, first_silent);
    let late = sent.iter().filter(|(port, _)| **port >= 1_024 + 300);
    let first: BTreeSet<SocketAddr> = late.map(|(_, agents)| agents[0]).collect();
    assert!(
        first.len() >= min_agents,
        "first attempts go to {first:?} only"
    );
}

/// A third or less of the agents is excluded, so that openings don't wait for a retry.
#[test]
fn silent_third_is_excluded() {
    let sent = run(6, 5);
    let late = sent.iter().filter(|(port, _)| **port >= 1_024 + 700);
    let first: BTreeSet<SocketAddr> = late.map(|(_, agents)| agents[0]).collect();
    assert_eq!(first, (1..5).map(process).collect());
}

#[rstest]
#[case(3, 2)]
#[case(6, 2)]
#[case(11, 1)]
fn retry_goes_to_an_agent_that_has_not_had_the_packet(
    #[case] upstreams: u8,
    #[case] first_silent: u8,
) {
    for (port, agents) in run(upstreams, first_silent) {
        let distinct: BTreeSet<&SocketAddr> = agents.iter().collect();
        assert_eq!(
            distinct.len(),
            agents.len(),
            "flow {port} went to {agents:?}"
        );
    }
}

/// A caller retransmits its packet after 200 ms, possibly through another balancer.
#[rstest]
#[case::at_once(10, true)]
#[case::before_a_retransmission(140, true)]
#[case::retransmission_may_be_in_flight(160, false)]
fn refusal_resets_the_flow_only_before_a_retransmission(
    #[case] after_ms: u64,
    #[case] is_expected_reset: bool,
) {
    let balancer = balancer(1);
    balancer.on_tick(Timestamp(0), just_confirmed);
    let sent = openings(&open(&balancer, 0, 5_000));
    for at_ms in (TICK_MS..=after_ms).step_by(usize::try_from(TICK_MS).expect("a small number")) {
        balancer.on_tick(Timestamp::from_millis(at_ms), just_confirmed);
    }
    let refused = message(RelayBody::Refused(tuple(5_000)));
    let now = Timestamp::from_millis(after_ms);
    let age = || Some(Duration::ZERO);
    let actions = balancer.on_message(now, age, sent[0].1, &refused);
    assert_eq!(is_reset(&actions), is_expected_reset);
}
