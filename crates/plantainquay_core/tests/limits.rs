//! Limits hold exactly across changes, lost and late messages, crashes and restarts.

#[path = "support/documents.rs"]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::Timestamp;
use plantainquay_core::limits::{LimitKey, LimitReached, Limits, ShareTracker, share_of};
use plantainquay_schema::wire::document as wire;
use plantainquay_schema::{Document, DocumentVersion, Name, Resource, UpstreamNumber};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use rstest::rstest;

const MEMBER: &str = "crews";

fn number(number: u32) -> UpstreamNumber {
    UpstreamNumber::new(number).expect("in range")
}

fn flow_key() -> LimitKey {
    LimitKey {
        member: MEMBER.into(),
        class: None,
        resource: Resource::OpenFlows,
    }
}

/// A document with limits of `amount` on open flows, concurrent requests and requests per second.
fn document(generation: u64, numbers: &[u32], amount: u64) -> Arc<Document> {
    let mut wire = common::document("feed", generation, numbers, &[])
        .to_wire()
        .clone();
    wire.members.push(wire::Member {
        name: MEMBER.to_owned(),
        sources: vec!["10.0.0.0/8".to_owned()],
    });
    let service = &mut wire.services[0];
    service.classes.push(wire::WorkClass {
        name: "booking".to_owned(),
        path_prefix: "/".to_owned(),
        deadline_ms: 1_000,
        ..wire::WorkClass::default()
    });
    for (resource, class) in [
        ("open_flows", ""),
        ("concurrent_requests", "booking"),
        ("requests_per_second", "booking"),
    ] {
        service.limits.push(wire::Limit {
            member: MEMBER.to_owned(),
            class: class.to_owned(),
            resource: resource.to_owned(),
            amount,
        });
    }
    Arc::new(Document::try_from(wire).expect("a valid document"))
}

#[rstest]
#[case::even(12, 4)]
#[case::remainder(13, 7)]
#[case::fewer_than_upstreams(3, 7)]
#[case::none(0, 7)]
fn shares_sum_to_the_limit(#[case] amount: u64, #[case] upstreams: u32) {
    let document = document(1, &common::numbers(upstreams), amount);
    let service = &document.services[0];
    let shares: Vec<u64> = (1..=upstreams)
        .map(|n| share_of(service, &flow_key(), number(n)).expect("there is a limit"))
        .collect();
    assert_eq!(shares.iter().sum::<u64>(), amount);
    let (least, most) = (shares.iter().min(), shares.iter().max());
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least <= 1),
        "{shares:?}"
    );
}

/// Limits of a service with a single agent, which settles a version at once.
fn limits_of_one(amount: u64) -> Limits {
    let document = document(1, &[1], amount);
    let mut limits = Limits::new(number(1));
    limits
        .shares
        .install(document.version(), &document.services[0]);
    limits
}

#[test]
fn flows_and_requests_are_counted_and_given_back() {
    let mut limits = limits_of_one(2);
    let (member, class) = (Name::from(MEMBER), Name::from("booking"));
    assert_eq!(limits.open_flow(&member), Ok(()));
    assert_eq!(limits.open_flow(&member), Ok(()));
    assert_eq!(limits.open_flow(&member), Err(LimitReached));
    limits.close_flow(&member);
    assert_eq!(limits.open_flow(&member), Ok(()));
    assert_eq!(
        limits.open_flow(&Name::from("others")),
        Ok(()),
        "another member has no limit"
    );
    let now = Timestamp::default();
    assert_eq!(limits.start_request(now, &member, &class), Ok(()));
    limits.finish_request(&member, &class);
    assert_eq!(limits.start_request(now, &member, &class), Ok(()));
    limits.finish_request(&member, &class);
    // Two requests have started within a second, though neither is running.
    let later = now + Duration::from_millis(999);
    assert_eq!(
        limits.start_request(later, &member, &class),
        Err(LimitReached)
    );
    let second = now + Duration::from_secs(1);
    assert_eq!(limits.start_request(second, &member, &class), Ok(()));
}

// ---------------------------------------------------------------------------
// Random changes and faults

#[derive(Clone, Debug)]
enum Step {
    /// Publishes a document with another amount, without crashed upstreams; true adds a new one.
    Publish(u64, bool),
    /// An agent installs a document if it is newer than the agent's current one.
    Install(usize, usize),
    /// An agent sends its versions to another one; the message stays in flight.
    Send(usize, usize),
    /// Delivers a message in flight; true keeps it for a repeated delivery.
    Deliver(prop::sample::Index, bool),
    Lose(prop::sample::Index),
    Crash(usize),
    /// A crashed agent starts without state, with any document that lists it, even an old one.
    Restart(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        2 => (0_u64..30, any::<bool>()).prop_map(|(amount, joins)| Step::Publish(amount, joins)),
        6 => (0_usize..9, 0_usize..9).prop_map(|(agent, version)| Step::Install(agent, version)),
        9 => (0_usize..9, 0_usize..9).prop_map(|(from, to)| Step::Send(from, to)),
        9 => (index(), any::<bool>()).prop_map(|(message, repeat)| Step::Deliver(message, repeat)),
        2 => index().prop_map(Step::Lose),
        1 => (0_usize..9).prop_map(Step::Crash),
        1 => (0_usize..9, 0_usize..9).prop_map(|(agent, version)| Step::Restart(agent, version)),
    ]
}

/// Computes the open flows that an agent may use.
type AllowedShare = fn(&Agent) -> u64;

struct Agent {
    shares: ShareTracker,
    document: Option<Arc<Document>>,
    own_number: UpstreamNumber,
}

struct Message {
    from: UpstreamNumber,
    to: u32,
    version: DocumentVersion,
    settled: DocumentVersion,
}

struct Fleet {
    published: Vec<(Arc<Document>, u64)>,
    numbers: Vec<u32>,
    agents: BTreeMap<u32, Agent>,
    in_flight: Vec<Message>,
    next_number: u32,
    allowed: AllowedShare,
}

impl Agent {
    fn new(own_number: u32) -> Self {
        Self {
            shares: ShareTracker::new(number(own_number)),
            document: None,
            own_number: number(own_number),
        }
    }

    fn install(&mut self, document: &Arc<Document>) {
        let version = document.version();
        let current = self.document.as_ref().map(|document| document.version());
        if current.is_none_or(|current| version > current) {
            self.shares.install(version, &document.services[0]);
            self.document = Some(Arc::clone(document));
        }
    }

    fn version(&self) -> DocumentVersion {
        self.document
            .as_ref()
            .map(|document| document.version())
            .unwrap_or_default()
    }
}

fn allowed_by_tracker(agent: &Agent) -> u64 {
    agent.shares.allowed(&flow_key()).unwrap_or(0)
}

/// Incorrect rule for comparison: the agent's share in its current document.
fn allowed_by_current_document(agent: &Agent) -> u64 {
    let document = agent.document.as_ref();
    let share = document.and_then(|d| share_of(&d.services[0], &flow_key(), agent.own_number));
    share.unwrap_or(0)
}

impl Fleet {
    fn new(allowed: AllowedShare) -> Self {
        let numbers = vec![1, 2, 3];
        let first = document(1, &numbers, 10);
        let mut fleet = Self {
            published: vec![(first, 10)],
            agents: numbers.iter().map(|n| (*n, Agent::new(*n))).collect(),
            numbers,
            in_flight: Vec::new(),
            next_number: 4,
            allowed,
        };
        for agent in fleet.agents.values_mut() {
            agent.install(&fleet.published[0].0);
        }
        fleet
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Publish(amount, joins) => self.publish(*amount, *joins),
            Step::Install(agent, version) => {
                let document = Arc::clone(&self.published[version % self.published.len()].0);
                if let Some(agent) = self.agent(*agent) {
                    agent.install(&document);
                }
            }
            Step::Send(from, to) => self.send(*from, *to),
            Step::Deliver(message, repeat) => self.deliver(*message, *repeat),
            Step::Lose(message) => {
                if !self.in_flight.is_empty() {
                    let index = message.index(self.in_flight.len());
                    self.in_flight.remove(index);
                }
            }
            Step::Crash(agent) => {
                let agent_number = self.numbers[agent % self.numbers.len()];
                self.agents.remove(&agent_number);
            }
            Step::Restart(agent, version) => {
                let agent_number = self.numbers[agent % self.numbers.len()];
                let document = Arc::clone(&self.published[version % self.published.len()].0);
                let is_listed = document.services[0]
                    .upstream(number(agent_number))
                    .is_some();
                if !self.agents.contains_key(&agent_number) && is_listed {
                    let mut agent = Agent::new(agent_number);
                    agent.install(&document);
                    self.agents.insert(agent_number, agent);
                }
            }
        }
    }

    fn publish(&mut self, amount: u64, joins: bool) {
        self.numbers.retain(|n| self.agents.contains_key(n));
        if joins || self.numbers.is_empty() {
            self.numbers.push(self.next_number);
            self.agents
                .insert(self.next_number, Agent::new(self.next_number));
            self.next_number += 1;
        }
        let generation = self.published.len() as u64 + 1;
        let document = document(generation, &self.numbers, amount);
        self.published.push((document, amount));
    }

    fn agent(&mut self, index: usize) -> Option<&mut Agent> {
        let agent_number = self.numbers[index % self.numbers.len()];
        self.agents.get_mut(&agent_number)
    }

    fn send(&mut self, from: usize, to: usize) {
        let to = self.numbers[to % self.numbers.len()];
        if let Some(agent) = self.agent(from) {
            let message = Message {
                from: agent.own_number,
                to,
                version: agent.version(),
                settled: agent.shares.settled(),
            };
            self.in_flight.push(message);
        }
    }

    fn deliver(&mut self, message: prop::sample::Index, repeat: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = message.index(self.in_flight.len());
        let message = &self.in_flight[index];
        if let Some(agent) = self.agents.get_mut(&message.to) {
            agent
                .shares
                .record_sibling(message.from, message.version, message.settled);
        }
        if !repeat {
            self.in_flight.remove(index);
        }
    }

    /// Checks that the shares add up to at most the limit of the oldest document in use.
    fn check(&self) -> Result<(), TestCaseError> {
        let active_agents = self
            .agents
            .values()
            .filter(|agent| (self.allowed)(agent) > 0);
        let Some(oldest) = active_agents.map(Agent::version).min() else {
            return Ok(());
        };
        let limit = self
            .published
            .iter()
            .find(|(document, _)| document.version() == oldest);
        let limit = limit.map_or(0, |(_, amount)| *amount);
        let sum: u64 = self.agents.values().map(self.allowed).sum();
        prop_assert!(sum <= limit, "{sum} of {limit} allowed");
        Ok(())
    }

    /// Removes crashed agents, exchanges all messages and checks that the full limit is usable.
    fn converge(&mut self) -> Result<(), TestCaseError> {
        self.publish(29, false);
        let (newest, amount) = self
            .published
            .last()
            .cloned()
            .expect("a document was published");
        for agent in self.agents.values_mut() {
            agent.install(&newest);
        }
        self.in_flight.clear();
        let count = self.numbers.len();
        for from in 0..count {
            for to in 0..count {
                self.send(from, to);
            }
        }
        while !self.in_flight.is_empty() {
            let message = self.in_flight.remove(0);
            if let Some(agent) = self.agents.get_mut(&message.to) {
                agent
                    .shares
                    .record_sibling(message.from, message.version, message.settled);
            }
        }
        let sum: u64 = self.agents.values().map(self.allowed).sum();
        prop_assert_eq!(sum, amount, "the full limit is usable again");
        Ok(())
    }
}

fn run(allowed: AllowedShare) -> Result<(), TestError<Vec<Step>>> {
    let config = Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 1..150);
    TestRunner::new(config).run(&steps, |steps| {
        let mut fleet = Fleet::new(allowed);
        for step in &steps {
            fleet.apply_step(step);
            fleet.check()?;
        }
        fleet.converge()
    })
}

#[test]
fn shares_in_use_never_pass_the_limit() {
    run(allowed_by_tracker).expect("the limit holds");
}

/// Checks that the property test detects a fault: the incorrect rule exceeds the limit.
#[test]
fn share_of_the_current_document_passes_the_limit() {
    let result = run(allowed_by_current_document);
    assert!(matches!(result, Err(TestError::Fail(..))), "{result:?}");
}
