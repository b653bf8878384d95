//! Compares how many flows survive when buckets move, under alternative policies.
//!
//! `cargo run --release --example survival`. Each row replays traces from the same seed: flows
//! stay open while generations of the document follow each other, balancers lag by up to four
//! generations, and one balancer crashes and restarts in each generation. The result is the share
//! of flows that were reset although the agent that holds them was running, or that were
//! unreachable at the end.

use plantainquay_schema::{Name, UpstreamNumber};
use plantainquay_trace::{
    DocumentSpec, Event, PacketOutcome, Policy, ProcessId, ServiceSpec, Simulation, TimedEvent,
    Trace,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 1;
const FLOWS: usize = 300;
const BALANCERS: usize = 4;
const UPSTREAMS: u32 = 40;
const MOVE_COUNTS: [u64; 4] = [1, 2, 5, 20];
const GENERATION_LAG_LIMIT: u64 = 5;
/// Time between two documents; longer than the expiry time of unused redirects at agents.
const INTERVAL_MS: u64 = 120_000;

type NamedPolicy = (&'static str, fn() -> Policy);

const POLICIES: [NamedPolicy; 7] = [
    ("hash modulo", Policy::modulo),
    ("table alone", Policy::table_alone),
    ("cache alone", Policy::cache_alone),
    ("ranking alone", Policy::ranking_alone),
    ("tag alone", Policy::tags_alone),
    ("without tags", Policy::without_tags),
    ("product", Policy::product),
];

fn main() {
    println!(
        "{:<18} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "way", "echo", "1 move", "2", "5", "20"
    );
    for (name, policy) in POLICIES {
        for echo_percent in [0, 70, 100] {
            let shares: Vec<String> = MOVE_COUNTS
                .iter()
                .map(|moves| format!("{:>7.1}%", lost_percent(policy(), *moves, echo_percent)))
                .collect();
            println!("{name:<18} {echo_percent:>5}% {}", shares.join(" "));
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn lost_percent(policy: Policy, moves: u64, echo_percent: u32) -> f64 {
    let mut simulation = Simulation::new(policy);
    simulation.replay(&trace(moves, echo_percent));
    let unreachable = (0..FLOWS).filter(|flow| {
        let name = flow_name(*flow);
        let last_outcome = simulation
            .packet_records()
            .iter()
            .rfind(|record| record.flow == name);
        last_outcome.is_some_and(|record| matches!(record.outcome, PacketOutcome::Lost(_)))
    });
    let lost = simulation.summary().broken + unreachable.count() as u64;
    lost as f64 * 100.0 / FLOWS as f64
}

fn trace(moves: u64, echo_percent: u32) -> Trace {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut trace = Trace::default();
    let mut push = |millis, event| trace.events.push(TimedEvent { millis, event });
    for index in 0..BALANCERS {
        push(0, Event::Start(balancer(index)));
    }
    push(0, Event::Publish(document(1, &mut rng)));
    push(
        0,
        Event::Apply {
            process: None,
            key: key(1),
        },
    );
    for flow in 0..FLOWS {
        push(
            1,
            Event::Open {
                flow: flow_name(flow),
                service: "feed".into(),
                via: balancer_name(flow % BALANCERS),
                echoes: rng.random_range(0..100) < echo_percent,
            },
        );
    }
    for generation in 2..=moves + 1 {
        let start = (generation - 1) * INTERVAL_MS;
        push(start, Event::Publish(document(generation, &mut rng)));
        for number in (1..=UPSTREAMS).filter_map(UpstreamNumber::new) {
            let agent = ProcessId::Agent("feed".into(), number);
            push(
                start,
                Event::Apply {
                    process: Some(agent),
                    key: key(generation),
                },
            );
        }
        for index in 0..BALANCERS {
            // Each balancer lags by its own number of generations.
            let lag = rng.random_range(0..GENERATION_LAG_LIMIT);
            let applied = generation.saturating_sub(lag).max(1);
            push(
                start,
                Event::Apply {
                    process: Some(balancer(index)),
                    key: key(applied),
                },
            );
        }
        let crashed = balancer(usize::try_from(generation).unwrap_or(0) % BALANCERS);
        push(start + 1_000, Event::Die(crashed.clone()));
        push(start + 2_000, Event::Start(crashed.clone()));
        push(
            start + 2_000,
            Event::Apply {
                process: Some(crashed),
                key: key(generation),
            },
        );
        send_all(start + 10_000, &mut rng, &mut push);
        // Sends again, as TCP retransmits lost packets.
        send_all(start + 20_000, &mut rng, &mut push);
    }
    trace
}

fn send_all(millis: u64, rng: &mut StdRng, push: &mut impl FnMut(u64, Event)) {
    for flow in 0..FLOWS {
        let via = balancer_name(rng.random_range(0..BALANCERS));
        push(
            millis,
            Event::Send {
                flow: flow_name(flow),
                via,
            },
        );
    }
}

/// Builds a document in which each upstream serves with a probability of 1 in 4 and drains
/// otherwise.
fn document(generation: u64, rng: &mut StdRng) -> DocumentSpec {
    let numbers: Vec<UpstreamNumber> = (1..=UPSTREAMS).filter_map(UpstreamNumber::new).collect();
    let (serving, draining): (Vec<_>, Vec<_>) = numbers
        .into_iter()
        .partition(|_| rng.random_range(0..4) == 0);
    DocumentSpec {
        key: key(generation),
        generation,
        services: vec![ServiceSpec {
            name: "feed".into(),
            serving,
            draining,
        }],
    }
}

fn key(generation: u64) -> Name {
    Name::from(generation.to_string().as_str())
}

fn flow_name(index: usize) -> Name {
    Name::from(format!("f{index}").as_str())
}

fn balancer_name(index: usize) -> Name {
    Name::from(format!("b{index}").as_str())
}

fn balancer(index: usize) -> ProcessId {
    ProcessId::Balancer(balancer_name(index))
}
