//! Bucket tables: minimal movement, identical results in all processes, incremental rebuilds.

#[path = "support/documents.rs"]
mod common;

use common::{numbers, service};
use plantainquay_core::{BucketTable, moved_share};
use plantainquay_schema::{FlowId, Service, UpstreamNumber, UpstreamState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

/// Upper bound of moved buckets, relative to the minimum that the change requires.
const MAX_MOVEMENT_RATIO: f64 = 1.1;

fn with_state(service: &Service, number: u32, state: UpstreamState) -> Service {
    let mut changed = service.clone();
    let number = UpstreamNumber::new(number).expect("in range");
    for upstream in changed.upstreams.iter_mut().filter(|u| u.number == number) {
        upstream.state = state;
    }
    changed
}

/// Returns the minimum fraction of buckets that must move for the new distribution of owners.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn min_moved_share(old: &BucketTable, new: &BucketTable) -> f64 {
    let buckets = old.len().max(new.len());
    let share = |table: &BucketTable, number: Option<UpstreamNumber>| {
        let owned = table
            .owners()
            .iter()
            .filter(|owner| **owner == number)
            .count();
        owned as f64 / table.len() as f64
    };
    let all: std::collections::BTreeSet<_> =
        old.owners().iter().chain(new.owners()).copied().collect();
    let gained = all
        .iter()
        .map(|number| (share(new, *number) - share(old, *number)).max(0.0));
    let min_moved: f64 = gained.sum();
    min_moved.max(1.0 / buckets as f64)
}

#[rstest]
#[case::of_4(4)]
#[case::of_7(7)]
#[case::of_100(100)]
#[case::of_1000(1_000)]
fn one_upstream_joining_or_leaving_moves_little(#[case] count: u32) {
    let all = service("feed", &numbers(count));
    let without = with_state(&all, count / 2 + 1, UpstreamState::Draining);
    let (full, fewer) = (BucketTable::build(&all), BucketTable::build(&without));
    let min_moved = min_moved_share(&full, &fewer);
    let moved = moved_share(&full, &fewer);
    assert!(
        moved <= MAX_MOVEMENT_RATIO * min_moved,
        "leaving moves {moved}, the minimum is {min_moved}"
    );
    let moved_back = moved_share(&fewer, &full);
    let min_moved_back = min_moved_share(&fewer, &full);
    assert!(
        moved_back <= MAX_MOVEMENT_RATIO * min_moved_back,
        "joining moves {moved_back}, the minimum is {min_moved_back}"
    );
}

#[test]
fn table_of_seven_is_the_same_on_every_machine() {
    let table = BucketTable::build(&service("feed", &numbers(7)));
    let owners: Vec<String> = table
        .owners()
        .chunks(64)
        .map(|row| {
            row.iter()
                .map(|n| n.map_or(0, UpstreamNumber::get).to_string())
                .collect()
        })
        .collect();
    insta::assert_snapshot!("owners_of_seven", owners.join("\n"));
}

#[test]
fn shares_follow_connections() {
    let mut feed = service("feed", &numbers(2));
    feed.upstreams[1].connections *= 3;
    let table = BucketTable::build(&feed);
    let heavy = table
        .owners()
        .iter()
        .filter(|n| **n == Some(feed.upstreams[1].number))
        .count();
    // Three quarters of 256 buckets, within four standard deviations of a random assignment.
    assert!((164..=220).contains(&heavy), "{heavy} of {}", table.len());
}

#[test]
fn ranking_names_earlier_owners_next() {
    let before = service("feed", &numbers(4));
    let joined = service("feed", &numbers(5));
    let drained = with_state(&joined, 2, UpstreamState::Draining);
    let table = BucketTable::build(&drained);
    for bucket in 0..512 {
        let flow = FlowId(bucket);
        let ranking = table.ranking(&drained, flow);
        let old_owner = BucketTable::build(&before).owner(flow).expect("all serve");
        let rank = ranking
            .iter()
            .position(|n| *n == old_owner)
            .expect("all are ranked");
        assert!(rank <= 2, "the owner before two changes has rank {rank}");
    }
}

fn service_strategy() -> impl Strategy<Value = Service> {
    let upstream = (1_u32..40, 1_u32..4, any::<bool>());
    prop::collection::vec(upstream, 1..20).prop_map(|drawn| {
        let numbers: std::collections::BTreeSet<u32> = drawn.iter().map(|(n, ..)| *n).collect();
        let numbers: Vec<u32> = numbers.into_iter().collect();
        let mut generated = service("feed", &numbers);
        for (upstream, (_, weight, serving)) in generated.upstreams.iter_mut().zip(&drawn) {
            upstream.connections = weight * 1_000;
            if !serving {
                upstream.state = UpstreamState::Draining;
            }
        }
        generated
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// A process computes the same table whichever generations it had before.
    #[test]
    fn rebuilt_table_is_the_built_one(services in prop::collection::vec(service_strategy(), 2..6)) {
        let mut table = BucketTable::build(&services[0]);
        for pair in services.windows(2) {
            table = table.rebuild(&pair[0], &pair[1]);
            prop_assert_eq!(&table, &BucketTable::build(&pair[1]));
        }
    }
}
