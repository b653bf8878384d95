//! Placement keeps upstreams as even as the target says.

#[path = "../../../examples/placement/model.rs"]
mod model;

use std::time::Duration;

use model::{Model, ModelConfig};
use rstest::rstest;

/// Largest over mean, 99th percentile over time: the stated target.
const MOST_IMBALANCE: f64 = 1.05;

#[rstest]
#[case::of_7(7)]
#[case::of_100(100)]
fn placement_meets_the_target_and_hash_alone_does_not(#[case] upstreams: usize) {
    let config = ModelConfig {
        upstreams,
        flows_per_upstream: 400.0,
        duration: Duration::from_secs(100),
        ..ModelConfig::default()
    };
    let placed = Model::new(&config).run();
    assert!(placed.imbalance <= MOST_IMBALANCE, "{placed:?}");
    assert!(
        placed.forwards_per_flow < 1.0,
        "agents pass flows back and forth: {placed:?}"
    );
    let alone = Model::new(&ModelConfig {
        messages_enabled: false,
        ..config
    })
    .run();
    assert!(alone.imbalance > MOST_IMBALANCE, "{alone:?}");
}
