//! Property tests with random configuration changes and faults.
//!
//! `PLANTAINQUAY_CASES` sets the number of cases for a longer run; the seed is fixed.

use std::collections::BTreeMap;

use plantainquay_schema::{Name, UpstreamNumber};
use plantainquay_trace::Policy;
use plantainquay_trace::{DocumentSpec, Event, PacketOutcome, ProcessId, ServiceSpec, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use rstest::rstest;

const SEED: u64 = 20_260_704;
const DEFAULT_CASES: u32 = 300;
const BALANCERS: usize = 3;
const UPSTREAMS: u32 = 8;
const FEED: &str = "feed";
const GUIDE: &str = "guide";

/// One random step; an index of a process, document or flow is taken modulo the number of them.
#[derive(Clone, Debug)]
enum Step {
    /// Publishes a document; the bits select the serving upstreams, and the others drain.
    Publish(u8),
    /// Applies the newest document at one process.
    Apply(usize),
    /// Applies any published document at one process.
    ApplyOld(usize, usize),
    BalancerDies(usize),
    AgentDies(u32),
    Pause(u32),
    Resume(u32),
    Cut(u32, u32),
    Heal,
    LoseMessages(bool),
    Open {
        guide: bool,
        via: usize,
        echoes: bool,
    },
    Send {
        flow: usize,
        via: usize,
    },
    Close(usize),
    Wait(u64),
}

/// Faults that are generated in addition to planned changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    None,
    All,
}

fn step(faults: Faults) -> impl Strategy<Value = Step> {
    let planned = prop_oneof![
        2 => (1_u8..).prop_map(Step::Publish),
        6 => (0_usize..20).prop_map(Step::Apply),
        2 => (0_usize..20, 0_usize..20).prop_map(|(p, d)| Step::ApplyOld(p, d)),
        1 => (0..BALANCERS).prop_map(Step::BalancerDies),
        6 => (any::<bool>(), 0..BALANCERS, any::<bool>())
            .prop_map(|(guide, via, echoes)| Step::Open { guide, via, echoes }),
        12 => (0_usize..50, 0..BALANCERS).prop_map(|(flow, via)| Step::Send { flow, via }),
        1 => (0_usize..50).prop_map(Step::Close),
        3 => (1_u64..40_000).prop_map(Step::Wait),
    ];
    let weight = u32::from(faults == Faults::All);
    let unplanned = prop_oneof![
        (1..=UPSTREAMS).prop_map(Step::AgentDies),
        (1..=UPSTREAMS).prop_map(Step::Pause),
        (1..=UPSTREAMS).prop_map(Step::Resume),
        (1..=UPSTREAMS, 1..=UPSTREAMS).prop_map(|(a, b)| Step::Cut(a, b)),
        Just(Step::Heal),
        any::<bool>().prop_map(Step::LoseMessages),
    ];
    prop_oneof![8 => planned, weight => unplanned]
}

/// Runs steps and checks after each event that no process goes back to an older generation.
struct Harness {
    simulation: Simulation,
    millis: u64,
    published: Vec<Name>,
    flows: Vec<Name>,
    generations: BTreeMap<ProcessId, u64>,
}

impl Harness {
    fn new(policy: Policy) -> Self {
        let mut harness = Self {
            simulation: Simulation::new(policy),
            millis: 0,
            published: Vec::new(),
            flows: Vec::new(),
            generations: BTreeMap::new(),
        };
        for index in 0..BALANCERS {
            harness.apply(&Event::Start(balancer(index)));
        }
        harness.publish(u8::MAX);
        harness.apply_to_all();
        harness
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Publish(serving) => self.publish(*serving),
            Step::Apply(process) => self.apply_to_process_index(*process, self.published.len() - 1),
            Step::ApplyOld(process, document) => {
                self.apply_to_process_index(*process, document % self.published.len());
            }
            Step::BalancerDies(index) => {
                self.generations.remove(&balancer(*index));
                self.apply(&Event::Die(balancer(*index)));
                self.apply_document(balancer(*index), self.published.len() - 1);
            }
            Step::AgentDies(number) => {
                self.generations.remove(&agent(*number));
                self.apply(&Event::Die(agent(*number)));
                self.apply_document(agent(*number), self.published.len() - 1);
            }
            Step::Pause(number) => self.apply(&Event::Pause(agent(*number))),
            Step::Resume(number) => self.apply(&Event::Resume(agent(*number))),
            Step::Cut(a, b) => self.apply(&Event::Cut(agent(*a), agent(*b))),
            Step::Heal => self.apply(&Event::Heal),
            Step::LoseMessages(lose) => self.apply(&Event::LoseMessages(*lose)),
            Step::Open { guide, via, echoes } => self.open(*guide, *via, *echoes),
            Step::Send { flow, via } => self.send(*flow, *via),
            Step::Close(flow) => {
                if let Some(flow) = self.flow(*flow) {
                    self.apply(&Event::Close { flow });
                }
            }
            Step::Wait(millis) => self.millis += millis,
        }
    }

    fn publish(&mut self, serving: u8) {
        let generation = self.published.len() as u64 + 1;
        let numbers = || (1..=UPSTREAMS).filter_map(UpstreamNumber::new);
        let is_serving = |number: &UpstreamNumber| serving >> (number.get() - 1) & 1 == 1;
        let spec = DocumentSpec {
            key: Name::from(generation.to_string().as_str()),
            generation,
            services: vec![
                ServiceSpec {
                    name: FEED.into(),
                    serving: numbers().filter(is_serving).collect(),
                    draining: numbers().filter(|n| !is_serving(n)).collect(),
                },
                ServiceSpec {
                    name: GUIDE.into(),
                    serving: numbers().take(2).collect(),
                    draining: Vec::new(),
                },
            ],
        };
        self.published.push(spec.key.clone());
        self.apply(&Event::Publish(spec));
    }

    fn apply_to_process_index(&mut self, process: usize, document: usize) {
        let processes: Vec<ProcessId> = self
            .simulation
            .generations()
            .into_iter()
            .map(|(id, _)| id)
            .collect();
        self.apply_document(processes[process % processes.len()].clone(), document);
    }

    fn apply_document(&mut self, process: ProcessId, document: usize) {
        let key = self.published[document].clone();
        self.apply(&Event::Apply {
            process: Some(process),
            key,
        });
    }

    fn open(&mut self, guide: bool, via: usize, echoes: bool) {
        let flow = Name::from(format!("f{}", self.flows.len()).as_str());
        self.flows.push(flow.clone());
        self.apply(&Event::Open {
            flow,
            service: if guide { GUIDE } else { FEED }.into(),
            via: balancer_name(via),
            echoes,
        });
    }

    fn send(&mut self, flow: usize, via: usize) {
        if let Some(flow) = self.flow(flow) {
            let via = balancer_name(via);
            self.apply(&Event::Send { flow, via });
        }
    }

    fn flow(&self, index: usize) -> Option<Name> {
        let index = index.checked_rem(self.flows.len())?;
        Some(self.flows[index].clone())
    }

    fn apply(&mut self, event: &Event) {
        self.millis += 1;
        self.simulation.apply(self.millis, event);
        self.check_generations();
    }

    fn apply_to_all(&mut self) {
        let key = self
            .published
            .last()
            .cloned()
            .expect("a document was published");
        self.apply(&Event::Apply { process: None, key });
    }

    fn check_generations(&mut self) {
        for (process, generation) in self.simulation.generations() {
            let last_generation = self.generations.entry(process.clone()).or_default();
            assert!(
                generation >= *last_generation,
                "{process} went back from {last_generation} to {generation}"
            );
            *last_generation = generation;
        }
    }

    /// Ends all faults, then checks that each opened flow is reachable or reset.
    fn check_reachability(&mut self) {
        self.apply(&Event::Heal);
        self.apply(&Event::LoseMessages(false));
        for number in 1..=UPSTREAMS {
            self.apply(&Event::Resume(agent(number)));
        }
        self.apply_to_all();
        for via in 0..BALANCERS {
            // The first packet may be lost while the owner queries its siblings.
            for flow in 0..self.flows.len() {
                self.send(flow, via);
            }
            self.millis += 5_000;
        }
        let packet_records = self.simulation.packet_records();
        let last_round = &packet_records[packet_records.len().saturating_sub(self.flows.len())..];
        for record in last_round
            .iter()
            .filter(|record| record.millis + 6_000 > self.millis)
        {
            let opened = packet_records
                .iter()
                .any(|o| o.flow == record.flow && o.outcome == PacketOutcome::Opened);
            let is_reached = !matches!(record.outcome, PacketOutcome::Lost(_));
            assert!(is_reached || !opened, "flow is unreachable: {record}");
        }
    }
}

fn balancer_name(index: usize) -> Name {
    Name::from(format!("b{index}").as_str())
}

fn balancer(index: usize) -> ProcessId {
    ProcessId::Balancer(balancer_name(index))
}

fn agent(number: u32) -> ProcessId {
    let number = UpstreamNumber::new(number).expect("the number is in range");
    ProcessId::Agent(FEED.into(), number)
}

/// Runs random steps; the error has the shrunk sequence of steps that violates a property.
fn run(faults: Faults, policy: fn() -> Policy) -> Result<(), TestError<Vec<Step>>> {
    let cases = std::env::var("PLANTAINQUAY_CASES").ok();
    let cases = cases
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(faults), 1..120);
    TestRunner::new(config).run(&steps, |steps| {
        let mut harness = Harness::new(policy());
        for step in &steps {
            harness.run_step(step);
            let summary = harness.simulation.summary();
            prop_assert_eq!(summary.broken, 0, "a flow was broken");
            prop_assert_eq!(summary.misdelivered, 0, "a packet was misdelivered");
        }
        harness.check_reachability();
        let summary = harness.simulation.summary();
        prop_assert_eq!(summary.broken, 0, "a flow was broken at the end");
        prop_assert_eq!(summary.misdelivered, 0);
        Ok(())
    })
}

#[test]
fn planned_changes_break_nothing() {
    run(Faults::None, Policy::product).expect("all properties hold");
}

#[test]
fn changes_under_faults_break_nothing() {
    run(Faults::All, Policy::product).expect("all properties hold");
}

/// Guards against properties that are too weak: under planned changes alone, each baseline policy
/// must violate one.
#[rstest]
#[case::modulo(Policy::modulo)]
#[case::cache_alone(Policy::cache_alone)]
#[case::table_alone(Policy::table_alone)]
fn simple_versions_break_flows(#[case] policy: fn() -> Policy) {
    let result = run(Faults::None, policy);
    assert!(matches!(result, Err(TestError::Fail(..))), "{result:?}");
}
