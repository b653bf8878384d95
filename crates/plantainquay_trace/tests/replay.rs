//! Snapshot tests that replay the recorded traces with the product and with a baseline policy.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plantainquay_trace::{PacketOutcome, Policy, Simulation, Trace};
use rstest::rstest;

/// The product breaks no flow, misdelivers no packet and leaves no flow unreachable; a baseline that
/// the trace names must fail in one of these.
#[rstest]
fn trace_has_its_recorded_outcome(#[files("tests/traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace is readable");
    let trace: Trace = text.parse().expect("the trace is well formed");
    let mut simulation = Simulation::new(Policy::product());
    simulation.replay(&trace);
    let baseline = baseline_policy(&text).map(|policy| {
        let mut simulation = Simulation::new(policy);
        simulation.replay(&trace);
        simulation
    });
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(stem(&path), render(&text, &simulation, baseline.as_ref()));
    });
    assert_eq!(simulation.summary().broken, 0, "a flow was broken");
    assert_eq!(
        simulation.summary().misdelivered,
        0,
        "a packet was misdelivered"
    );
    assert_eq!(
        unreachable_flows(&simulation),
        Vec::<String>::new(),
        "flows remain unreachable"
    );
    if let Some(baseline) = baseline {
        let summary = baseline.summary();
        let is_wrong = summary.broken + summary.misdelivered > 0;
        let fails = is_wrong || !unreachable_flows(&baseline).is_empty();
        assert!(fails, "the baseline policy should fail");
    }
}

/// Returns the opened flows whose last packet was lost.
fn unreachable_flows(simulation: &Simulation) -> Vec<String> {
    let mut last_outcomes = BTreeMap::new();
    for record in simulation.packet_records() {
        let opened =
            record.outcome == PacketOutcome::Opened || last_outcomes.contains_key(&record.flow);
        if opened {
            last_outcomes.insert(record.flow.clone(), &record.outcome);
        }
    }
    let lost = last_outcomes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, PacketOutcome::Lost(_)));
    lost.map(|(flow, _)| flow.to_string()).collect()
}

/// Returns the baseline policy that the trace's `# simple:` line names.
fn baseline_policy(text: &str) -> Option<Policy> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("# simple: "));
    match line.expect("a trace has a `# simple:` line") {
        "modulo" => Some(Policy::modulo()),
        "cache_alone" => Some(Policy::cache_alone()),
        "table_alone" => Some(Policy::table_alone()),
        "ranking_alone" => Some(Policy::ranking_alone()),
        "none" => None,
        other => panic!("unknown policy `{other}`"),
    }
}

fn render(text: &str, simulation: &Simulation, baseline: Option<&Simulation>) -> String {
    let mut out = String::new();
    for comment in text.lines().take_while(|line| line.starts_with('#')) {
        writeln!(out, "{comment}").expect("writing to a string never fails");
    }
    for record in simulation.packet_records() {
        writeln!(out, "{record}").expect("writing to a string never fails");
    }
    let generations: Vec<String> = simulation
        .generations()
        .iter()
        .map(|(id, generation)| format!("{id}={generation}"))
        .collect();
    let held: Vec<String> = simulation
        .held_flows()
        .iter()
        .map(|(id, flows)| format!("{id}={flows}"))
        .collect();
    writeln!(out, "generations {}", generations.join(" ")).expect("writing never fails");
    writeln!(out, "held {}", held.join(" ")).expect("writing never fails");
    write!(out, "product {}", simulation.summary()).expect("writing never fails");
    if let Some(baseline) = baseline {
        let unreachable = unreachable_flows(baseline).len();
        write!(
            out,
            "\nsimple  {} unreachable={unreachable}",
            baseline.summary()
        )
        .expect("writing never fails");
    }
    out
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .map(|stem| stem.to_string_lossy().into_owned())
        .unwrap_or_default()
}
