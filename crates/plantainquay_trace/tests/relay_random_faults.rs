//! Property tests of the relay's decisions under random faults.

use plantainquay_trace::{RelayEvent, RelaySimulation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BALANCERS: u16 = 3;
const UPSTREAMS: u16 = 5;
const FLOWS: u16 = 12;
/// Period in which events start, in milliseconds.
const SPAN_MS: u64 = 6_000;
/// Time without new events before each held flow sends once more, in milliseconds. It is longer
/// than the grace period of a departed entry.
const RECOVERY_MS: u64 = 4_000;
const TAIL_MS: u64 = 2_500;

/// Number of cases per run, unless `PLANTAINQUAY_CASES` sets another.
const DEFAULT_CASES: u32 = 400;

/// Seed of the generator, unless the number of cases is given; such a run draws fresh cases.
const DEFAULT_SEED: u64 = 1;

fn config() -> ProptestConfig {
    let given = std::env::var("PLANTAINQUAY_CASES").ok();
    let cases = given.and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: cases.map_or(RngSeed::Fixed(DEFAULT_SEED), |_| RngSeed::Random),
        ..ProptestConfig::default()
    }
}

fn balancer() -> impl Strategy<Value = String> {
    (1..=BALANCERS).prop_map(|n| format!("b{n}"))
}

fn agent() -> impl Strategy<Value = String> {
    (1..=UPSTREAMS).prop_map(|n| format!("a{n}"))
}

fn process() -> impl Strategy<Value = String> {
    prop_oneof![balancer(), agent()]
}

/// Generates a restore of the store from an older copy, after which everything is written again
/// within the grace period of entries that the copy lacks.
fn restore() -> impl Strategy<Value = Vec<(u64, RelayEvent)>> {
    (0..4_000_u64, 50..2_000_u64).prop_map(|(age_ms, away_ms)| {
        vec![
            (0, RelayEvent::Restore(age_ms)),
            (away_ms, RelayEvent::WriteAgain),
        ]
    })
}

/// Generates the events of a route whose services, weights and existence change.
fn route_events() -> impl Strategy<Value = Vec<(u64, RelayEvent)>> {
    let services = prop_oneof![
        4 => Just(vec!["feed"]),
        4 => Just(vec!["board"]),
        2 => Just(vec!["feed", "board"]),
        2 => Just(vec!["list"]),
        1 => Just(vec![]),
    ];
    let route = (services, 0..3_u32).prop_map(|(names, weight)| {
        let weighted = names.into_iter().enumerate();
        let weighted = weighted.map(|(i, name)| (name.to_owned(), weight + u32::from(i == 0)));
        RelayEvent::Route(weighted.collect())
    });
    let cut = (process(), 20..3_000_u64).prop_map(|(name, ms)| {
        vec![
            (0, RelayEvent::Cut(name.clone())),
            (ms, RelayEvent::Mend(name)),
        ]
    });
    let restart_all = Just(restart_all());
    prop_oneof![
        6 => route.prop_map(|event| vec![(0, event)]),
        2 => cut,
        1 => restart_all,
    ]
}

/// Kills all processes and starts them again 300 ms later, so that nobody knows former routes.
fn restart_all() -> Vec<(u64, RelayEvent)> {
    let names = (1..=BALANCERS).map(|n| format!("b{n}"));
    let names: Vec<String> = names
        .chain((1..=UPSTREAMS).map(|n| format!("a{n}")))
        .collect();
    let kills = names.iter().map(|name| (0, RelayEvent::Kill(name.clone())));
    let restarts = names
        .iter()
        .map(|name| (300, RelayEvent::Restart(name.clone())));
    kills.chain(restarts).collect()
}

/// Generates a group of related events as `(delay, event)`, with delays from a common start.
fn events() -> impl Strategy<Value = Vec<(u64, RelayEvent)>> {
    let flow = 1..=FLOWS;
    let upstream = 1..=UPSTREAMS;
    prop_oneof![
        8 => (flow.clone(), balancer(), balancer()).prop_map(|(flow, first, second)| vec![
            (0, RelayEvent::Open(flow, first)),
            (200, RelayEvent::Repeat(flow, second)),
        ]),
        12 => (flow, balancer()).prop_map(|(flow, via)| vec![(0, RelayEvent::Send(flow, via))]),
        2 => process().prop_map(|name| vec![(0, RelayEvent::Restart(name))]),
        2 => (process(), 20..2_000_u64).prop_map(|(name, ms)| vec![
            (0, RelayEvent::Pause(name.clone())),
            (ms, RelayEvent::Resume(name)),
        ]),
        1 => (process(), 20..1_000_u64).prop_map(|(name, ms)| vec![
            (0, RelayEvent::Kill(name.clone())),
            (ms, RelayEvent::Restart(name)),
        ]),
        1 => upstream.clone().prop_map(|u| vec![(0, RelayEvent::Crash(u))]),
        1 => upstream.clone().prop_map(|u| vec![(0, RelayEvent::Drain(u))]),
        1 => (upstream, 100..3_000_u64).prop_map(|(u, ms)| vec![
            (0, RelayEvent::Depart(u)),
            (ms, RelayEvent::Join(u)),
        ]),
        1 => Just(vec![(0, RelayEvent::Lose(20)), (500, RelayEvent::Lose(0))]),
        1 => restore(),
    ]
}

fn trace() -> impl Strategy<Value = Vec<(u64, RelayEvent)>> {
    prop::collection::vec((0..SPAN_MS, events()), 1..60).prop_map(flatten)
}

/// Generates a trace in which the route changes as well.
fn trace_with_routes() -> impl Strategy<Value = Vec<(u64, RelayEvent)>> {
    let any_events = prop_oneof![6 => events().boxed(), 1 => route_events().boxed()];
    prop::collection::vec((0..SPAN_MS, any_events), 1..60).prop_map(flatten)
}

/// Merges groups of events, each with its start, into one trace.
fn flatten(groups: Vec<(u64, Vec<(u64, RelayEvent)>)>) -> Vec<(u64, RelayEvent)> {
    let mut trace: Vec<(u64, RelayEvent)> = groups
        .into_iter()
        .flat_map(|(at, events)| events.into_iter().map(move |(delay, e)| (at + delay, e)))
        .collect();
    trace.sort_by_key(|(at, _)| *at);
    // Each flow is opened once; events of a flow before its opening are dropped.
    let mut opened = std::collections::BTreeSet::new();
    trace.retain(|(_, event)| match event {
        RelayEvent::Open(flow, _) => opened.insert(*flow),
        RelayEvent::Repeat(flow, _) | RelayEvent::Send(flow, _) => opened.contains(flow),
        _ => true,
    });
    trace
}

proptest! {
    #![proptest_config(config())]

    /// No flow is reset while its upstream holds it, and no flow is astray.
    #[test]
    fn held_flows_are_not_broken(trace in trace(), seed in any::<u64>()) {
        let mut simulation = RelaySimulation::new(BALANCERS, UPSTREAMS, seed);
        simulation.replay(&trace, SPAN_MS + RECOVERY_MS);
        let summary = simulation.summary();
        prop_assert_eq!(summary.broken, 0, "{}", simulation.log());
        prop_assert_eq!(summary.astray, 0, "{}", simulation.log());
    }

    /// The same while the services of the route change; no flow is accepted by an upstream whose
    /// service the route has never named.
    #[test]
    fn flows_outlive_route_changes(trace in trace_with_routes(), seed in any::<u64>()) {
        let mut simulation =
            RelaySimulation::with_services(BALANCERS, UPSTREAMS, &["feed", "board"], seed);
        simulation.replay(&trace, SPAN_MS + RECOVERY_MS);
        let summary = simulation.summary();
        prop_assert_eq!(summary.broken, 0, "{}", simulation.log());
        prop_assert_eq!(summary.astray, 0, "{}", simulation.log());
        prop_assert_eq!(summary.misrouted, 0, "{}", simulation.log());
    }

    /// After faults have ended, each held flow is reachable through balancer `b1`.
    #[test]
    fn held_flows_are_reached(trace in trace(), seed in any::<u64>()) {
        let mut simulation = RelaySimulation::new(BALANCERS, UPSTREAMS, seed);
        simulation.replay(&trace, SPAN_MS + RECOVERY_MS);
        let held: Vec<u16> = (1..=FLOWS).filter(|flow| simulation.is_usable(*flow)).collect();
        let before: Vec<u32> = held.iter().map(|flow| simulation.answered(*flow)).collect();
        let at = SPAN_MS + RECOVERY_MS;
        let sends: Vec<(u64, RelayEvent)> = held
            .iter()
            .map(|flow| (at, RelayEvent::Send(*flow, "b1".to_owned())))
            .collect();
        simulation.replay(&sends, at + TAIL_MS);
        for (flow, before) in held.iter().zip(before) {
            prop_assert!(simulation.answered(*flow) > before, "f{}:\n{}", flow, simulation.log());
        }
    }
}
