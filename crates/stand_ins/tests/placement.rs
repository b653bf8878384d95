//! Placement keeps the imbalance between upstreams within the target.

#[path = "../../../examples/placement/model.rs"]
mod model;

use std::time::Duration;

use model::{Model, ModelConfig};
use rstest::rstest;

/// Target ratio of the largest to the mean load, as 99th percentile over time.
const MAX_IMBALANCE: f64 = 1.05;

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
    assert!(placed.imbalance <= MAX_IMBALANCE, "{placed:?}");
    assert!(
        placed.forwards_per_flow < 1.0,
        "agents pass flows back and forth: {placed:?}"
    );
    let hash_only = Model::new(&ModelConfig {
        messages_enabled: false,
        ..config
    })
    .run();
    assert!(hash_only.imbalance > MAX_IMBALANCE, "{hash_only:?}");
}
