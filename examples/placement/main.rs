//! Models how evenly placement spreads flows over the upstreams of one service.
//!
//! `cargo run --release --example placement`. Runs the daemon's decisions in modelled time.
//! Flow lifetimes are exponential, and flows arrive three times as often for 5 s in every 20 s.
//! Packets and messages take a millisecond. The result is the 99th percentile over time of the
//! largest number of flows at one upstream, divided by the mean.

mod model;

use model::{Model, ModelConfig};

const UPSTREAM_COUNTS: [usize; 3] = [4, 7, 100];
const FLOWS_PER_UPSTREAM: f64 = 700.0;

fn main() {
    println!(
        "{:>9}  {:>10}  {:>12}  {:>9}",
        "upstreams", "hash alone", "one sibling", "forwarded"
    );
    for upstreams in UPSTREAM_COUNTS {
        let config = ModelConfig {
            upstreams,
            flows_per_upstream: FLOWS_PER_UPSTREAM,
            ..ModelConfig::default()
        };
        let hash_alone = Model::new(&ModelConfig {
            messages_enabled: false,
            ..config.clone()
        })
        .run();
        let one_sibling = Model::new(&config).run();
        println!(
            "{upstreams:>9}  {:>10.3}  {:>12.3}  {:>9.3}",
            hash_alone.imbalance, one_sibling.imbalance, one_sibling.forwards_per_flow
        );
    }
}
