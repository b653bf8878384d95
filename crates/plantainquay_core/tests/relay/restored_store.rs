//! A store that is restored from an older copy assigns its revisions again.

use std::time::Duration;

use plantainquay_core::{AppliedChanges, Fleet, Presence, Timestamp};
use plantainquay_schema::{Changes, Departure, Incarnation, StoreRevision, UpstreamEntry, wire};
use prost::Message as _;
use rstest::rstest;

use crate::support::{SERVICE, upstream};

/// Era of the store before its restore.
const ERA: u64 = 4;
/// Longer than the grace period of an unannounced departure, in milliseconds.
const AFTER_GRACE_PERIOD_MS: u64 = 3_000;

fn entry(number: u8, sequence: u64, draining: bool, revision: StoreRevision) -> UpstreamEntry {
    UpstreamEntry {
        sequence,
        draining,
        revision,
        ..upstream(number)
    }
}

fn full_read(revision: StoreRevision, upstreams: Vec<UpstreamEntry>) -> Changes {
    Changes {
        age: Some(Duration::ZERO),
        revision,
        is_full: true,
        upstreams,
        ..Changes::default()
    }
}

fn departed(number: u8, revision: StoreRevision) -> Changes {
    Changes {
        age: Some(Duration::ZERO),
        revision,
        departures: vec![Departure::without_entry(upstream(number).id, revision)],
        ..Changes::default()
    }
}

/// A process that knows `u1`, written three times, and `u2`, at revision 30 of the first era.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let entries = vec![
        entry(1, 3, false, StoreRevision::new(ERA, 30)),
        entry(2, 1, false, StoreRevision::new(ERA, 12)),
    ];
    fleet.apply(
        Timestamp(0),
        full_read(StoreRevision::new(ERA, 30), entries),
    );
    fleet
}

/// Returns the upstreams in use and their states.
fn in_use(fleet: &Fleet, at_ms: u64) -> String {
    let now = Timestamp::from_millis(at_ms);
    let mut upstreams: Vec<String> = fleet
        .current_upstreams(now)
        .map(|record| {
            let state = if record.entry.draining {
                "draining"
            } else {
                "ready"
            };
            format!("{} {state}", record.entry.id)
        })
        .collect();
    upstreams.sort();
    upstreams.join(", ")
}

/// What the copy lists of `u1`, and what is in use then.
#[rstest]
#[case::written_again(entry(1, 4, true, StoreRevision::new(ERA + 1, 21)), "u1 draining, u2 ready")]
#[case::same_write(entry(1, 3, true, StoreRevision::new(ERA + 1, 21)), "u1 draining, u2 ready")]
#[case::outdated(entry(1, 2, true, StoreRevision::new(ERA + 1, 8)), "u1 ready, u2 ready")]
#[case::restarted(
    UpstreamEntry { incarnation: Incarnation(2), ..entry(1, 1, true, StoreRevision::new(ERA + 1, 21)) },
    "u1 draining, u2 ready"
)]
fn entries_of_a_copy_are_compared_by_their_writes(
    #[case] listed: UpstreamEntry,
    #[case] expected: &str,
) {
    let mut fleet = fleet();
    let copy = vec![listed, entry(2, 1, false, StoreRevision::new(ERA + 1, 12))];
    fleet.apply(
        Timestamp(1),
        full_read(StoreRevision::new(ERA + 1, 21), copy),
    );
    assert_eq!(in_use(&fleet, AFTER_GRACE_PERIOD_MS), expected);
}

/// A copy from before an upstream's departure doesn't bring the upstream back.
#[test]
fn departed_upstream_stays_away() {
    let mut fleet = fleet();
    let drained = Changes {
        upstreams: vec![entry(1, 4, true, StoreRevision::new(ERA, 31))],
        ..departed(2, StoreRevision::new(ERA, 32))
    };
    fleet.apply(Timestamp(1), drained);
    fleet.apply(Timestamp(2), departed(1, StoreRevision::new(ERA, 33)));
    let copy = vec![
        entry(1, 3, false, StoreRevision::new(ERA + 1, 20)),
        entry(2, 1, false, StoreRevision::new(ERA + 1, 12)),
    ];
    fleet.apply(
        Timestamp(3),
        full_read(StoreRevision::new(ERA + 1, 20), copy),
    );
    assert_eq!(in_use(&fleet, AFTER_GRACE_PERIOD_MS), "u2 ready");
}

/// Guards against losing sight of an upstream that has left and may hold flows, when its outdated
/// entry leaves the restored store as well.
#[test]
fn second_departure_keeps_the_last_entry() {
    let mut fleet = fleet();
    fleet.apply(Timestamp(1), departed(1, StoreRevision::new(ERA, 31)));
    let copy = vec![entry(1, 2, false, StoreRevision::new(ERA + 1, 20))];
    fleet.apply(
        Timestamp(2),
        full_read(StoreRevision::new(ERA + 1, 20), copy),
    );
    fleet.apply(Timestamp(3), departed(1, StoreRevision::new(ERA + 1, 21)));
    let service = SERVICE.into();
    let known = fleet.service_upstreams(Timestamp(4), &service);
    let known: Vec<(&str, Presence)> = known
        .iter()
        .map(|(record, presence)| (record.entry.id.as_str(), *presence))
        .collect();
    assert_eq!(
        known,
        [
            ("u1", Presence::InGracePeriod),
            ("u2", Presence::InGracePeriod)
        ]
    );
}

/// An upstream that the copy doesn't list yet is used for the time in which it registers again, even
/// if it drains.
#[rstest]
#[case::ready(false, "u1 ready")]
#[case::draining(true, "u1 draining")]
fn upstream_that_the_copy_lacks_has_a_grace_period(#[case] draining: bool, #[case] u1: &str) {
    let mut fleet = fleet();
    let written = Changes {
        upstreams: vec![entry(1, 4, draining, StoreRevision::new(ERA, 31))],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), written);
    let copy = vec![entry(2, 1, false, StoreRevision::new(ERA + 1, 12))];
    fleet.apply(
        Timestamp(1),
        full_read(StoreRevision::new(ERA + 1, 12), copy),
    );
    let both = format!("{u1}, u2 ready");
    assert_eq!(in_use(&fleet, 1_000), both);
    assert_eq!(in_use(&fleet, AFTER_GRACE_PERIOD_MS), "u2 ready");
    let written_again = Changes {
        upstreams: vec![entry(1, 5, draining, StoreRevision::new(ERA + 1, 13))],
        ..Changes::default()
    };
    fleet.apply(Timestamp::from_millis(1_000), written_again);
    assert_eq!(in_use(&fleet, AFTER_GRACE_PERIOD_MS), both);
}

/// A process that follows another one has its upstreams after a restore, even though every revision
/// of the new era has a lower number.
#[test]
fn follower_moves_to_the_new_era() {
    let (mut source, mut follower) = (fleet(), fleet());
    let copy = vec![
        entry(1, 2, false, StoreRevision::new(ERA + 1, 8)),
        entry(2, 2, true, StoreRevision::new(ERA + 1, 9)),
    ];
    let now = Timestamp(1);
    source.apply(now, full_read(StoreRevision::new(ERA + 1, 9), copy));
    assert!(source.is_newer_than(follower.version(now)));
    let changes = source.changes_since(now, follower.version(now));
    let bytes = wire::fleet::Changes::from(&changes).encode_to_vec();
    let decoded = wire::fleet::Changes::decode(bytes.as_slice()).expect("valid encoding");
    let applied = follower.apply(now, Changes::try_from(decoded).expect("valid changes"));
    let expected = AppliedChanges {
        upstreams: true,
        ..AppliedChanges::default()
    };
    assert_eq!(applied, expected);
    assert_eq!(in_use(&follower, 1), "u1 ready, u2 draining");
    assert_eq!(follower.revision(), StoreRevision::new(ERA + 1, 9));
    assert!(!source.is_newer_than(follower.version(now)));
}

/// A source that has not read the restored store yet takes nothing away from its followers.
#[test]
fn earlier_era_changes_nothing() {
    let (source, mut follower) = (fleet(), fleet());
    let copy = vec![
        entry(1, 4, true, StoreRevision::new(ERA + 1, 8)),
        entry(2, 1, false, StoreRevision::new(ERA + 1, 9)),
    ];
    let now = Timestamp(1);
    follower.apply(now, full_read(StoreRevision::new(ERA + 1, 9), copy));
    let changes = source.changes_since(now, follower.version(now));
    follower.apply(now, changes);
    assert_eq!(in_use(&follower, 1), "u1 draining, u2 ready");
    assert_eq!(follower.revision(), StoreRevision::new(ERA + 1, 9));
}
