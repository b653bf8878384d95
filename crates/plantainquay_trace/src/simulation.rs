//! Simulation of processes, callers and the network between them.

mod packets;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::agent::{Outbox, on_message, on_tick};
use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_schema::{AgentMessage, Document, Name};

use crate::documents::agent_address;
use crate::processes::{Agent, Balancer, QueuedItem};
use crate::{Event, PacketRecord, Policy, ProcessId, Summary, Trace};

/// Interval between two ticks of an agent.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Simulated processes, callers and network that a trace runs on.
#[derive(Debug)]
pub struct Simulation {
    policy: Policy,
    now: Timestamp,
    next_tick: Timestamp,
    documents: BTreeMap<Name, Arc<Document>>,
    balancers: BTreeMap<Name, Balancer>,
    agents: BTreeMap<ProcessId, Agent>,
    agents_by_address: BTreeMap<SocketAddr, ProcessId>,
    flows: BTreeMap<Name, CallerFlow>,
    cuts: BTreeSet<(ProcessId, ProcessId)>,
    lose_messages: bool,
    agent_starts: u64,
    packet_records: Vec<PacketRecord>,
    summary: Summary,
}

/// State of a flow at its caller.
#[derive(Clone, Debug)]
struct CallerFlow {
    tuple: FiveTuple,
    service: Name,
    echoes: bool,
    holder: Option<ProcessId>,
    is_closed: bool,
}

impl Simulation {
    /// Creates a simulation without processes; a process is created when an event first needs it.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            now: Timestamp::default(),
            next_tick: Timestamp::default() + TICK_INTERVAL,
            documents: BTreeMap::new(),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            agents_by_address: BTreeMap::new(),
            flows: BTreeMap::new(),
            cuts: BTreeSet::new(),
            lose_messages: false,
            agent_starts: 0,
            packet_records: Vec::new(),
            summary: Summary::default(),
        }
    }

    /// Replays a whole trace.
    pub fn replay(&mut self, trace: &Trace) {
        for timed in &trace.events {
            self.apply(timed.millis, &timed.event);
        }
    }

    /// Runs the ticks that are due before an event, then the event itself.
    ///
    /// # Panics
    ///
    /// Panics if the trace publishes an invalid document, or applies one that was not published.
    pub fn apply(&mut self, millis: u64, event: &Event) {
        self.advance(Timestamp::from_millis(millis));
        match event {
            Event::Publish(spec) => {
                let document = spec.build().expect("a trace's documents are valid");
                self.documents.insert(spec.key.clone(), Arc::new(document));
            }
            Event::Apply { process, key } => self.apply_document(process.as_ref(), key),
            Event::Die(process) => self.kill(process),
            Event::Start(process) => self.start(process),
            Event::Pause(process) => self.set_paused(process, true),
            Event::Resume(process) => self.set_paused(process, false),
            Event::Leave(process) => self.leave(process),
            Event::Cut(a, b) => {
                self.cuts.insert((a.clone(), b.clone()));
                self.cuts.insert((b.clone(), a.clone()));
            }
            Event::Heal => self.cuts.clear(),
            Event::LoseMessages(lose) => self.lose_messages = *lose,
            Event::Open {
                flow,
                service,
                via,
                echoes,
            } => self.open(flow, service, via, *echoes),
            Event::Send { flow, via } => self.send(flow, via),
            Event::Close { flow } => self.close(flow),
        }
    }

    /// Returns the record of each packet, in the order in which the outcomes were recorded.
    #[must_use]
    pub fn packet_records(&self) -> &[PacketRecord] {
        &self.packet_records
    }

    /// Returns the counters of the trace so far.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// Returns the number of flows that each live agent holds.
    #[must_use]
    pub fn held_flows(&self) -> Vec<(ProcessId, u32)> {
        let agents = self.agents.iter();
        agents
            .map(|(id, agent)| (id.clone(), agent.state.open_flows()))
            .collect()
    }

    /// Returns the generation of the document in force at each live process.
    #[must_use]
    pub fn generations(&self) -> Vec<(ProcessId, u64)> {
        let balancers = self.balancers.iter().map(|(name, balancer)| {
            (
                ProcessId::Balancer(name.clone()),
                balancer.documents.generation().0,
            )
        });
        let agents = self.agents.iter();
        let agents = agents.map(|(id, agent)| (id.clone(), agent.documents.generation().0));
        balancers.chain(agents).collect()
    }

    /// Returns the document in force at a process.
    #[must_use]
    pub fn in_force(&self, process: &ProcessId) -> Option<&Arc<Document>> {
        match process {
            ProcessId::Balancer(name) => self.balancers.get(name)?.documents.in_force(),
            ProcessId::Agent(..) => self.agents.get(process)?.documents.in_force(),
        }
    }

    // -----------------------------------------------------------------------
    // Time and processes

    fn advance(&mut self, to: Timestamp) {
        while self.next_tick <= to {
            self.now = self.next_tick;
            self.tick();
            self.next_tick = self.next_tick + TICK_INTERVAL;
        }
        self.now = self.now.max(to);
    }

    fn tick(&mut self) {
        if !self.policy.exchanges_messages {
            return;
        }
        let ids: Vec<ProcessId> = self.agents.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(agent) = self.agents.get_mut(&id).filter(|agent| !agent.is_paused) else {
                continue;
            };
            let outbox = on_tick(&agent.state, now);
            self.send_messages(&id, outbox);
        }
    }

    fn apply_document(&mut self, process: Option<&ProcessId>, key: &Name) {
        let document = Arc::clone(&self.documents[key]);
        if let Some(process) = process {
            self.offer(process, &document);
            return;
        }
        for service in &document.services {
            for upstream in &service.upstreams {
                self.start(&ProcessId::Agent(service.name.clone(), upstream.number));
            }
        }
        let balancers = self.balancers.keys().cloned().map(ProcessId::Balancer);
        let all: Vec<ProcessId> = balancers.chain(self.agents.keys().cloned()).collect();
        for process in all {
            self.offer(&process, &document);
        }
    }

    fn offer(&mut self, process: &ProcessId, document: &Arc<Document>) {
        self.start(process);
        match process {
            ProcessId::Balancer(name) => {
                let balancer = self.balancers.get_mut(name);
                balancer.map(|balancer| balancer.offer(document));
            }
            ProcessId::Agent(..) => {
                let Some(agent) = self.agents.get_mut(process) else {
                    return;
                };
                let (_, outbox) = agent.offer(document);
                self.send_messages(process, outbox);
            }
        }
    }

    /// Starts a process unless it is already running.
    fn start(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Balancer(name) => {
                self.balancers.entry(name.clone()).or_default();
            }
            ProcessId::Agent(service, number) => {
                if !self.agents.contains_key(process) {
                    self.agent_starts += 1;
                    let agent = Agent::new(service.as_str(), *number, self.agent_starts, self.now);
                    self.agents.insert(process.clone(), agent);
                    let address = agent_address(service.as_str(), *number);
                    self.agents_by_address.insert(address, process.clone());
                }
            }
        }
    }

    fn kill(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Balancer(name) => {
                self.balancers.remove(name);
            }
            ProcessId::Agent(..) => {
                self.agents.remove(process);
                // Flows of a terminated agent cannot survive, so a later reset is not a fault.
                for flow in self.flows.values_mut() {
                    flow.is_closed |= flow.holder.as_ref() == Some(process);
                }
            }
        }
    }

    fn set_paused(&mut self, process: &ProcessId, is_paused: bool) {
        match process {
            ProcessId::Balancer(name) => {
                if let Some(balancer) = self.balancers.get_mut(name) {
                    balancer.is_paused = is_paused;
                }
            }
            ProcessId::Agent(..) => {
                let Some(agent) = self.agents.get_mut(process) else {
                    return;
                };
                agent.is_paused = is_paused;
                if !is_paused {
                    self.deliver_queued(process);
                }
            }
        }
    }

    fn deliver_queued(&mut self, process: &ProcessId) {
        let queue = self
            .agents
            .get_mut(process)
            .map(|agent| std::mem::take(&mut agent.queue));
        for item in queue.into_iter().flatten() {
            match item {
                QueuedItem::Packet(flow, header, segment) => {
                    self.receive_at_agent(&flow, Vec::new(), process.clone(), &header, &segment);
                }
                QueuedItem::Message(message) => self.receive_message(process, &message),
            }
        }
    }

    fn leave(&mut self, process: &ProcessId) {
        let now = self.now;
        if let Some(agent) = self.agents.get(process) {
            let outbox = agent.state.leave(now);
            self.send_messages(process, outbox);
        }
    }

    // -----------------------------------------------------------------------
    // Messages

    fn send_messages(&mut self, from: &ProcessId, outbox: Outbox) {
        if self.lose_messages || !self.policy.exchanges_messages {
            return;
        }
        for (to, message) in outbox {
            let Some(to) = self.agents_by_address.get(&to).cloned() else {
                continue;
            };
            if !self.cuts.contains(&(from.clone(), to.clone())) {
                self.receive_message(&to, &message);
            }
        }
    }

    fn receive_message(&mut self, at: &ProcessId, message: &AgentMessage) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(at) else {
            return;
        };
        if agent.is_paused {
            agent.queue.push_back(QueuedItem::Message(message.clone()));
            return;
        }
        let outbox = on_message(&agent.state, now, message);
        self.send_messages(at, outbox);
    }
}
