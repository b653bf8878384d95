//! Snapshot tests that replay the recorded relay traces.

use std::path::PathBuf;

use plantainquay_trace::{RelaySimulation, parse_relay_trace};
use rstest::rstest;

const BALANCERS: u16 = 3;
/// Number of upstreams for a trace without an `# upstreams:` line.
const UPSTREAMS: u16 = 4;
/// Service of all upstreams for a trace without a `# services:` line.
const SERVICE: &str = "feed";
/// Seed of the network for a trace without a `# seed:` line.
const SEED: u64 = 1;
/// Time that the simulation continues after the last event, in milliseconds.
const TAIL_MS: u64 = 3_000;

/// No flow is reset while its upstream holds it, and no flow is astray.
#[rstest]
fn relay_trace_has_its_recorded_outcome(#[files("tests/relay_traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace is readable");
    let events = parse_relay_trace(&text).expect("the trace is well formed");
    let end_ms = events.last().map_or(0, |(at, _)| at + TAIL_MS);
    let services = services(&text);
    let mut simulation =
        RelaySimulation::with_services(BALANCERS, upstreams(&text), &services, seed(&text));
    simulation.replay(&events, end_ms);
    let summary = simulation.summary();
    let rendered = format!("{text}---\n{}---\n{summary:#?}\n", simulation.log());
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("relay_{name}"), rendered);
    });
    assert_eq!(
        summary.broken, 0,
        "a flow was reset while its upstream held it"
    );
    assert_eq!(summary.astray, 0, "a flow is astray");
    assert_eq!(
        summary.misrouted, 0,
        "a flow is at a service that its route never named"
    );
}

/// Returns the rest of the line that starts with `prefix`.
fn header<'a>(text: &'a str, prefix: &str) -> Option<&'a str> {
    text.lines().find_map(|line| line.strip_prefix(prefix))
}

fn services(text: &str) -> Vec<&str> {
    let named = header(text, "# services: ").unwrap_or(SERVICE);
    named.split_whitespace().collect()
}

fn seed(text: &str) -> u64 {
    let named = header(text, "# seed: ");
    named.map_or(SEED, |n| n.parse().expect("a seed"))
}

fn upstreams(text: &str) -> u16 {
    let named = header(text, "# upstreams: ");
    named.map_or(UPSTREAMS, |n| n.parse().expect("a number of upstreams"))
}
