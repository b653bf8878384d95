//! Selection of watchers and peers, and poll rates within the budget of calls.

use std::time::Duration;

use plantainquay_core::gossip::{
    Comparison, FLEET_POLLS_PER_SECOND, WATCHERS_PER_DATA_CENTRE, compare, is_watcher,
    poll_interval, random_peers,
};
use plantainquay_schema::{Digest, Generation, InForce, Instance, Name};
use rstest::rstest;

/// Planned fleet: 13,000 nodes and 80,000 agents in 17 data centres.
const PROCESSES: usize = 93_000;
const DATA_CENTRES: usize = 17;
const MAX_CALLS_PER_SECOND: f64 = 500.0;
const CHANGES_PER_DAY: f64 = 31_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Duration after which a watch ends even without a change.
const WATCH_SECONDS: f64 = 30.0;

fn instance(index: usize, data_centres: usize) -> Instance {
    Instance {
        name: Name::from(format!("instance-{index}").as_str()),
        data_centre: Name::from(format!("centre-{}", index % data_centres).as_str()),
        tunnel: format!("10.{}.{}.1:4789", index >> 8, index & 0xff)
            .parse()
            .expect("a valid address"),
        leaving: false,
    }
}

fn watchers(instances: &[Instance]) -> usize {
    let is_watching = |i: &&Instance| is_watcher(&i.name, &i.data_centre, instances);
    instances.iter().filter(is_watching).count()
}

#[test]
fn each_data_centre_has_its_watchers() {
    let instances: Vec<Instance> = (0..200).map(|i| instance(i, 4)).collect();
    assert_eq!(watchers(&instances), 4 * WATCHERS_PER_DATA_CENTRE);
}

#[test]
fn leaving_watcher_is_replaced_and_unlisted_instance_watches() {
    let mut instances: Vec<Instance> = (0..50).map(|i| instance(i, 1)).collect();
    let first = instances
        .iter()
        .position(|i| is_watcher(&i.name, &i.data_centre, &instances));
    instances[first.expect("a watcher")].leaving = true;
    let remaining: Vec<Instance> = instances.iter().filter(|i| !i.leaving).cloned().collect();
    assert_eq!(watchers(&remaining), WATCHERS_PER_DATA_CENTRE);
    assert!(is_watcher(
        &Name::from("unlisted"),
        &Name::from("centre-0"),
        &instances
    ));
}

/// Sums the watch and poll calls of the planned fleet to the configuration service.
#[test]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn planned_fleet_stays_within_the_budget_of_calls() {
    let watchers = (DATA_CENTRES * WATCHERS_PER_DATA_CENTRE) as f64;
    let watch_calls = watchers * (1.0 / WATCH_SECONDS + CHANGES_PER_DAY / SECONDS_PER_DAY);
    let min_interval = Duration::from_secs(30);
    let polls: f64 = (0..PROCESSES as u64)
        .map(|seed| 1.0 / poll_interval(PROCESSES, min_interval, seed).as_secs_f64())
        .sum();
    let calls = watch_calls + polls;
    assert!(calls <= MAX_CALLS_PER_SECOND, "{calls} calls per second");
    assert!(
        polls >= f64::from(FLEET_POLLS_PER_SECOND) * 0.9,
        "polls are slower than the budget requires"
    );
}

#[rstest]
#[case::small_fleet(25, 30)]
#[case::large_fleet(93_000, 310)]
fn polls_are_spread_around_their_interval(#[case] processes: usize, #[case] seconds: u64) {
    let intervals = (0..1_000).map(|s| poll_interval(processes, Duration::from_secs(30), s));
    let mean = Duration::from_secs(seconds);
    let (low, high) = (mean * 7 / 8, mean * 9 / 8);
    for interval in intervals {
        assert!(interval >= low && interval <= high, "{interval:?}");
    }
}

#[test]
fn peers_are_distinct_and_never_oneself() {
    let instances: Vec<Instance> = (0..5).map(|i| instance(i, 1)).collect();
    let own = instances[2].tunnel;
    for seed in 0..200 {
        let chosen = random_peers(None, &instances, own, seed, 3);
        assert!(!chosen.contains(&own) && !chosen.is_empty());
        for (i, peer) in chosen.iter().enumerate() {
            assert!(!chosen[..i].contains(peer));
        }
    }
    assert!(random_peers(None, &[], own, 1, 3).is_empty());
}

#[rstest]
#[case::no_own_document("", 0, "one", 1, Comparison::OtherIsNewer)]
#[case::no_peer_document("one", 3, "", 0, Comparison::OwnIsNewer)]
#[case::older("one", 3, "one", 2, Comparison::OwnIsNewer)]
#[case::same("one", 3, "one", 3, Comparison::Same)]
#[case::other_environment("one", 3, "two", 9, Comparison::OtherEnvironment)]
fn documents_are_compared(
    #[case] own_environment: &str,
    #[case] own_generation: u64,
    #[case] other_environment: &str,
    #[case] other_generation: u64,
    #[case] expected: Comparison,
) {
    let in_force = |environment: &str, generation| InForce {
        environment: environment.into(),
        generation: Generation(generation),
        digest: Digest::default(),
    };
    let compared = compare(
        &in_force(own_environment, own_generation),
        &in_force(other_environment, other_generation),
    );
    assert_eq!(compared, expected);
}
