//! Entries of several starts at one address.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::relay::{Action, RelayView, ServiceCandidates, choose_sources};
use plantainquay_core::{FiveTuple, Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{
    Changes, Departure, Incarnation, ServiceId, StoreRevision, UpstreamEntry,
};
use rstest::{Context, rstest};

use crate::support::{PEER_PORT, SERVICE, agent, process, send_opening, store_revision, upstream};

const OTHER_SERVICE: &str = "desk";
/// Time after which an upstream that left without notice counts as gone, in milliseconds.
const GRACE_MS: u64 = 2_200;

/// An entry of the start `born` at the first address.
fn start(id: &str, born: u64, revision: u64, draining: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        incarnation: Incarnation(born),
        draining,
        revision: store_revision(revision),
        ..upstream(1)
    }
}

fn listed(entry: UpstreamEntry) -> Changes {
    Changes {
        age: Some(Duration::ZERO),
        revision: entry.revision,
        upstreams: vec![entry],
        ..Changes::default()
    }
}

fn departed(id: &str, revision: u64) -> Changes {
    let revision = store_revision(revision);
    Changes {
        age: Some(Duration::ZERO),
        revision,
        departures: vec![Departure::without_entry(id.into(), revision)],
        ..Changes::default()
    }
}

/// A fleet with a second upstream, to which changes are applied 100 ms apart.
fn fleet(changes: Vec<Changes>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply(Timestamp(0), listed(upstream(2)));
    for (changes, i) in changes.into_iter().zip(1..) {
        fleet.apply(Timestamp::from_millis(i * 100), changes);
    }
    fleet
}

fn view(fleet: &Fleet, now: Timestamp) -> RelayView {
    RelayView::build(fleet, now, PEER_PORT, &RelayView::default())
}

/// What processes know of the first address soon after the changes and after the grace period of a
/// departure: the state of its agent in each service, and whether it can be a source.
fn describe(fleet: &mut Fleet) -> String {
    let mut text = String::new();
    for (label, now) in [("soon", 500), ("later", 500 + GRACE_MS)] {
        let now = Timestamp::from_millis(now);
        fleet.expire(now, Timestamp::from_millis(500));
        let view = view(fleet, now);
        let state = |service: &str| {
            let candidates = view.service(ServiceId::of(service));
            let candidate = candidates.and_then(|c| c.find(process(1)));
            candidate.map_or("none".to_owned(), |c| format!("{:?}", c.state))
        };
        let zone = "split".into();
        let sources = choose_sources(fleet, now, process(9).ip(), &zone, PEER_PORT);
        // Writing to a string never fails.
        let _infallible = writeln!(
            text,
            "{label}: {SERVICE} {}, {OTHER_SERVICE} {}, source {}",
            state(SERVICE),
            state(OTHER_SERVICE),
            sources.contains(&process(1)),
        );
    }
    text
}

/// Guards against entries of a former start that hide the state of the present one: the start decides,
/// not the state.
#[rstest]
#[case::former_start_hides_no_draining(vec![
    listed(start("a", 10, 3, false)),
    listed(start("b", 20, 4, false)),
    listed(start("b", 20, 5, true)),
])]
#[case::former_start_in_grace_hides_no_draining(vec![
    listed(start("a", 10, 3, false)),
    listed(start("b", 20, 4, true)),
    departed("a", 5),
])]
#[case::former_start_hides_no_departure(vec![
    listed(start("a", 10, 3, false)),
    listed(start("b", 20, 4, true)),
    departed("b", 5),
    departed("a", 6),
])]
#[case::draining_former_start_leaves_the_new_one_usable(vec![
    listed(start("a", 10, 3, true)),
    listed(start("b", 20, 4, false)),
])]
#[case::entries_in_the_other_order(vec![
    listed(start("b", 20, 3, true)),
    listed(start("a", 10, 4, false)),
])]
#[case::address_taken_over_by_another_service(vec![
    listed(start("a", 10, 3, false)),
    listed(UpstreamEntry { service: OTHER_SERVICE.into(), ..start("b", 20, 4, false) }),
])]
#[case::clock_set_back_between_the_starts(vec![
    listed(start("a", 20, 3, true)),
    departed("a", 4),
    listed(start("b", 10, 5, false)),
])]
#[case::starts_without_a_time(vec![
    listed(start("a", 0, 3, false)),
    listed(start("b", 0, 4, true)),
])]
fn latest_start_at_an_address_decides(#[context] cx: Context, #[case] changes: Vec<Changes>) {
    let name = cx.description.expect("each case has a name");
    let mut fleet = fleet(changes);
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(name, describe(&mut fleet));
    });
}

/// A copy from which the store was restored may hold only the former start, as ready.
#[test]
fn former_start_in_a_restored_copy_hides_no_draining() {
    let mut fleet = fleet(vec![
        listed(start("a", 10, 3, false)),
        listed(start("b", 20, 4, true)),
    ]);
    let restored = |entry: UpstreamEntry| UpstreamEntry {
        revision: StoreRevision::new(1, entry.revision.number),
        ..entry
    };
    let copy = Changes {
        age: Some(Duration::ZERO),
        revision: StoreRevision::new(1, 3),
        is_full: true,
        upstreams: vec![restored(upstream(2)), restored(start("a", 10, 3, false))],
        ..Changes::default()
    };
    fleet.apply(Timestamp::from_millis(400), copy);
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!("restored_copy", describe(&mut fleet));
    });
}

/// The agent of a draining upstream forwards new flows, though a former start is still listed as ready.
#[test]
fn agent_of_a_draining_upstream_offers_nothing() {
    let fleet = fleet(vec![
        listed(start("a", 10, 3, false)),
        listed(start("b", 20, 4, true)),
    ]);
    let now = Timestamp::from_millis(500);
    let agent = agent();
    agent.install(Arc::new(view(&fleet, now)));
    let tuple = FiveTuple::tcp("198.51.100.1:40000", "192.0.2.1:80").expect("two addresses");
    let actions = send_opening(&agent, now, tuple);
    let is_offer = |action: &Action| matches!(action, Action::ToUpstream(_));
    assert!(!actions.iter().any(is_offer));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Send(to, _) if *to == process(2)))
    );
}

/// A process that learns of both starts from a source uses the same one.
#[test]
fn followers_agree_on_the_latest_start() {
    let source = fleet(vec![
        listed(start("a", 10, 3, false)),
        listed(start("b", 20, 4, true)),
        departed("a", 5),
    ]);
    let now = Timestamp::from_millis(500);
    let mut follower = Fleet::default();
    follower.apply(now, source.changes_since(now, FleetVersion::default()));
    let states = |fleet: &Fleet| {
        let view = view(fleet, now);
        let candidates = view.service(ServiceId::of(SERVICE));
        let candidates = candidates.into_iter().flat_map(ServiceCandidates::all);
        candidates.map(|c| (c.agent, c.state)).collect::<Vec<_>>()
    };
    assert_eq!(states(&follower), states(&source));
}
