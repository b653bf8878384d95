//! Incrementally updated views equal views that are built from scratch.

use std::time::Duration;

use plantainquay_core::relay::{CandidateState, RelayView, ServiceCandidates};
use plantainquay_core::{Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{
    Changes, Departure, Incarnation, Name, ServiceId, StoreRevision, UpstreamEntry,
};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::support::{PEER_PORT, store_revision, upstream};

/// Number of addresses, which the upstreams share: each start has an entry of its own.
const ADDRESSES: u8 = 4;

const SERVICES: [&str; 3] = ["feed", "desk", "maps"];

/// A change of a fleet.
#[derive(Clone, Debug)]
enum Step {
    Put(u8, usize, bool),
    Remove(u8),
    /// A complete read that lists only these upstreams.
    Full(Vec<u8>),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..8_u8, 0..SERVICES.len(), any::<bool>()).prop_map(|(n, s, d)| Step::Put(n, s, d)),
        2 => (1..8_u8).prop_map(Step::Remove),
        1 => vec(1..8_u8, 0..6).prop_map(Step::Full),
        3 => (1..4_000_u64).prop_map(Step::Wait),
    ]
}

fn entry(number: u8, service: usize, draining: bool, revision: StoreRevision) -> UpstreamEntry {
    UpstreamEntry {
        service: SERVICES[service].into(),
        ip: upstream(number % ADDRESSES + 1).ip,
        incarnation: Incarnation(u64::from(number) / 2),
        draining,
        revision,
        ..upstream(number)
    }
}

fn id(number: u8) -> Name {
    upstream(number).id
}

fn apply(fleet: &mut Fleet, now: Timestamp, revision: u64, step: &Step) {
    let revision = store_revision(revision);
    let mut changes = Changes {
        age: Some(Duration::ZERO),
        revision,
        ..Changes::default()
    };
    match step {
        Step::Put(number, service, draining) => {
            let entry = entry(*number, *service, *draining, revision);
            changes.upstreams.push(entry);
        }
        Step::Remove(number) => changes
            .departures
            .push(Departure::without_entry(id(*number), revision)),
        Step::Full(numbers) => {
            changes.is_full = true;
            let listed = fleet.changes_since(now, FleetVersion::default()).upstreams;
            let is_named = |entry: &UpstreamEntry| numbers.iter().any(|n| id(*n) == entry.id);
            changes.upstreams = listed.into_iter().filter(is_named).collect();
        }
        Step::Wait(_) => return,
    }
    fleet.apply(now, changes);
}

type Listed = Vec<(std::net::SocketAddr, CandidateState)>;

fn listed(view: &RelayView) -> Vec<Listed> {
    let service = |name: &&str| view.service(ServiceId::of(name));
    let all = SERVICES.iter().map(service);
    let candidates = all.map(|service| {
        let all = service.into_iter().flat_map(ServiceCandidates::all);
        all.map(|c| (c.agent, c.state)).collect()
    });
    candidates.collect()
}

proptest! {
    #[test]
    fn view_of_changes_is_the_view_of_everything(steps in vec(step(), 1..40)) {
        let mut fleet = Fleet::default();
        let mut view = RelayView::default();
        let mut now = Timestamp(0);
        for (step, revision) in steps.iter().zip(1..) {
            let last = now;
            if let Step::Wait(ms) = step {
                now = now + Duration::from_millis(*ms);
            }
            fleet.expire(now, last);
            apply(&mut fleet, now, revision, step);
            view = RelayView::build(&fleet, now, PEER_PORT, &view);
            let rebuilt = RelayView::build(&fleet, now, PEER_PORT, &RelayView::default());
            prop_assert_eq!(listed(&view), listed(&rebuilt));
        }
    }

    /// A requester receives exactly the entries that are newer than its revision.
    #[test]
    fn askers_receive_what_is_newer(steps in vec(step(), 1..40), revision in 0..40_u64) {
        let mut fleet = Fleet::default();
        for (step, at) in steps.iter().zip(1..) {
            apply(&mut fleet, Timestamp(0), at, step);
        }
        let revision = store_revision(revision);
        let requester = FleetVersion { revision, ..FleetVersion::default() };
        let all_entries = fleet.changes_since(Timestamp(0), FleetVersion::default()).upstreams;
        let changes = fleet.changes_since(Timestamp(0), requester);
        let mut expected: Vec<_> = all_entries
            .into_iter()
            .filter(|entry| changes.is_full || entry.revision > revision)
            .collect();
        let mut received = changes.upstreams;
        expected.sort_by(|a, b| a.id.cmp(&b.id));
        received.sort_by(|a, b| a.id.cmp(&b.id));
        prop_assert_eq!(&received, &expected);
        let has_changes = !received.is_empty() || !changes.departures.is_empty();
        // A requester older than the recorded departures receives everything, changed or not.
        prop_assert!(changes.is_full || fleet.is_newer_than(requester) == has_changes);
    }
}
