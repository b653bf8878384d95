//! Processes that receive changes of routes have the routes of their source.

use plantainquay_core::{Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{Changes, Generation, Route, RouteDocument, WeightedService, wire};
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message as _;

use crate::support::route;

/// Ports with a route, each with the weight of the route's second service.
type Ports = Vec<(u16, u32)>;

fn document(generation: u64, ports: &Ports) -> RouteDocument {
    let second_service = |weight| WeightedService::new("other", weight);
    let routes = ports.iter().map(|(port, weight)| {
        let mut route = route(*port, 1);
        route.services.push(second_service(*weight));
        route
    });
    RouteDocument {
        generation: Generation(generation),
        routes: routes.collect(),
    }
}

fn publish(fleet: &mut Fleet, generation: u64, ports: &Ports) {
    let changes = Changes {
        routes: Some(document(generation, ports)),
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
}

/// Transfers changes from `source` to `requester` in the wire encoding.
fn fetch_changes(requester: &mut Fleet, source: &Fleet) -> Changes {
    let changes = source.changes_since(Timestamp(0), requester.version(Timestamp(0)));
    let bytes = wire::fleet::Changes::from(&changes).encode_to_vec();
    let decoded = wire::fleet::Changes::decode(bytes.as_slice()).expect("valid encoding");
    let decoded = Changes::try_from(decoded).expect("valid changes");
    requester.apply(Timestamp(0), decoded.clone());
    decoded
}

/// Returns the routes by listener; of several with one listener, the last is effective.
fn in_force(fleet: &Fleet) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for route in &fleet.routes().routes {
        routes.retain(|other| other.listener != route.listener);
        routes.push(route.clone());
    }
    routes.sort_by_key(|route| route.listener);
    routes
}

fn ports() -> impl Strategy<Value = Ports> {
    vec((1..12_u16, 0..3_u32), 0..12)
}

proptest! {
    #[test]
    fn askers_have_the_routes_of_their_source(
        documents in vec((ports(), any::<bool>()), 1..20),
    ) {
        let (mut source, mut requester) = (Fleet::default(), Fleet::default());
        for ((ports, fetches), generation) in documents.iter().zip(1..) {
            publish(&mut source, generation, ports);
            if *fetches {
                fetch_changes(&mut requester, &source);
                prop_assert_eq!(in_force(&requester), in_force(&source));
                prop_assert_eq!(requester.routes().generation, Generation(generation));
            }
        }
    }

    /// Two versions published under one generation are never mixed.
    #[test]
    fn asker_with_other_routes_receives_everything(first in ports(), second in ports(), third in ports()) {
        let (mut source, mut requester) = (Fleet::default(), Fleet::default());
        publish(&mut requester, 1, &first);
        publish(&mut source, 1, &second);
        publish(&mut source, 2, &third);
        fetch_changes(&mut requester, &source);
        prop_assert_eq!(in_force(&requester), in_force(&source));
    }
}

/// A small change is sent as a difference, and as a full document to a process without a digest.
#[test]
fn small_change_is_sent_as_difference() {
    let many: Ports = (1..=100).map(|port| (port, 1)).collect();
    let (mut source, mut requester) = (Fleet::default(), Fleet::default());
    publish(&mut source, 1, &many);
    assert!(fetch_changes(&mut requester, &source).routes.is_some());
    let mut updated_ports = many;
    updated_ports[7].1 = 2;
    updated_ports.remove(50);
    publish(&mut source, 2, &updated_ports);
    let old = FleetVersion {
        routes_digest: None,
        ..requester.version(Timestamp(0))
    };
    assert!(source.changes_since(Timestamp(0), old).routes.is_some());
    let received = fetch_changes(&mut requester, &source);
    assert!(received.routes.is_none());
    let changes = received.route_changes.expect("a change of the routes");
    assert_eq!((changes.put.len(), changes.removed.len()), (1, 1));
    assert_eq!(in_force(&requester), in_force(&source));
}
