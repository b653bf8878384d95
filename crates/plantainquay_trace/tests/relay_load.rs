//! Comparison of relay policies under load.

use std::fmt::Write as _;
use std::time::Duration;

use plantainquay_core::relay::RelayPolicy;
use plantainquay_trace::{RelayEvent, RelayLoad, RelayOutcome};
use rstest::rstest;

const TARGET_MS: u64 = 100;
const SEED: u64 = 1;

fn load(rate: f64) -> RelayLoad {
    RelayLoad {
        balancers: 2,
        upstreams: 4,
        rate,
        seconds: 4,
        mean_service_time_ms: 25.0,
        request_timeout_ms: 600,
    }
}

fn in_target(outcomes: &[RelayOutcome]) -> usize {
    let is_in_target =
        |outcome: &&RelayOutcome| matches!(outcome, RelayOutcome::Answered(ms) if *ms <= TARGET_MS);
    outcomes.iter().filter(is_in_target).count()
}

fn answered(outcomes: &[RelayOutcome]) -> usize {
    let answered = |outcome: &&RelayOutcome| matches!(outcome, RelayOutcome::Answered(_));
    outcomes.iter().filter(answered).count()
}

fn one_agent_compared() -> RelayPolicy {
    RelayPolicy {
        agents_compared: 1,
        ..RelayPolicy::default()
    }
}

fn unlimited_requests_per_slot() -> RelayPolicy {
    RelayPolicy {
        requests_per_slot: u32::MAX,
        ..RelayPolicy::default()
    }
}

fn no_opening_timeout() -> RelayPolicy {
    RelayPolicy {
        opening_timeout: Duration::from_hours(1),
        ..RelayPolicy::default()
    }
}

/// The capacity is 320 requests per second: four upstreams with two slots each and a mean of 25 ms.
#[rstest]
#[case::comparison(280.0, &[], one_agent_compared())]
#[case::pacing(420.0, &[], unlimited_requests_per_slot())]
#[case::silence(
    150.0,
    &[(500, RelayEvent::Pause("a2".to_owned())), (2_500, RelayEvent::Resume("a2".to_owned()))],
    no_opening_timeout()
)]
fn product_answers_more_in_time(
    #[case] rate: f64,
    #[case] faults: &[(u64, RelayEvent)],
    #[case] other: RelayPolicy,
) {
    let product = load(rate).run(RelayPolicy::default(), faults, SEED);
    let other = load(rate).run(other, faults, SEED);
    assert_eq!(product.len(), other.len());
    let (product, other) = (in_target(&product), in_target(&other));
    assert!(
        product > other,
        "{product} in target with the product, {other} with the other policy"
    );
}

/// A crash of an upstream loses requests; the load continues through it and through restarts.
#[test]
fn load_has_its_recorded_outcome() {
    let crash = [
        (1_000, RelayEvent::Crash(1)),
        (2_000, RelayEvent::Restart("a3".to_owned())),
        (2_500, RelayEvent::Kill("b2".to_owned())),
        (3_000, RelayEvent::Restart("b2".to_owned())),
    ];
    let mut text = String::new();
    for rate in [50.0, 200.0, 400.0] {
        let outcomes = load(rate).run(RelayPolicy::default(), &crash, SEED);
        let reset = outcomes
            .iter()
            .filter(|f| **f == RelayOutcome::Reset)
            .count();
        // Writing to a string never fails.
        let _infallible = writeln!(
            text,
            "rate={rate} offered={} answered={} in_target={} reset={reset}",
            outcomes.len(),
            answered(&outcomes),
            in_target(&outcomes)
        );
    }
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!("relay_load", text);
    });
}
