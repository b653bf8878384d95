//! Processes, callers and the network between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::agent::{Outbox, Verdict, on_message, on_tick};
use plantainquay_core::{FiveTuple, Segment, Timestamp};
use plantainquay_schema::{AgentMessage, Document, Name, TunnelHeader, UpstreamNumber};

use crate::documents::{agent_address, service_address};
use crate::processes::{Agent, Balancer, Waiting};
use crate::{Event, Fate, Outcome, Policy, ProcessId, Summary, Trace};

/// Interval of the agents' ticks.
const TICK: Duration = Duration::from_millis(250);
/// Ports of callers start here.
const FIRST_PORT: u16 = 20_000;

/// Everything that a trace plays in.
#[derive(Debug)]
pub struct World {
    policy: Policy,
    now: Timestamp,
    next_tick: Timestamp,
    documents: BTreeMap<Name, Arc<Document>>,
    balancers: BTreeMap<Name, Balancer>,
    agents: BTreeMap<ProcessId, Agent>,
    agents_at: BTreeMap<SocketAddr, ProcessId>,
    flows: BTreeMap<Name, CallerFlow>,
    cuts: BTreeSet<(ProcessId, ProcessId)>,
    lose_messages: bool,
    lives: u64,
    outcomes: Vec<Outcome>,
    summary: Summary,
}

/// A caller's end of a flow.
#[derive(Clone, Debug)]
struct CallerFlow {
    tuple: FiveTuple,
    service: Name,
    echoes: bool,
    holder: Option<ProcessId>,
    over: bool,
}

impl World {
    /// A world without processes; those that events name come to be.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            now: Timestamp::default(),
            next_tick: Timestamp::default() + TICK,
            documents: BTreeMap::new(),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            agents_at: BTreeMap::new(),
            flows: BTreeMap::new(),
            cuts: BTreeSet::new(),
            lose_messages: false,
            lives: 0,
            outcomes: Vec::new(),
            summary: Summary::default(),
        }
    }

    /// Plays a whole trace.
    pub fn replay(&mut self, trace: &Trace) {
        for timed in &trace.events {
            self.apply(timed.millis, &timed.event);
        }
    }

    /// Plays one event, after the ticks that come before it.
    ///
    /// # Panics
    ///
    /// Panics when the trace publishes a faulty document.
    pub fn apply(&mut self, millis: u64, event: &Event) {
        self.advance(Timestamp::from_millis(millis));
        match event {
            Event::Publish(spec) => {
                let document = spec
                    .build()
                    .expect("a trace's documents are free of faults");
                self.documents.insert(spec.key.clone(), Arc::new(document));
            }
            Event::Apply { process, key } => self.apply_document(process.as_ref(), key),
            Event::Die(process) => self.die(process),
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

    /// What became of each packet, in order.
    #[must_use]
    pub fn outcomes(&self) -> &[Outcome] {
        &self.outcomes
    }

    /// Figures of the trace so far.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// Flows held by each agent, as `service/number=flows`.
    #[must_use]
    pub fn held_flows(&self) -> Vec<(ProcessId, u32)> {
        let agents = self.agents.iter();
        agents
            .map(|(id, agent)| (id.clone(), agent.state.open_flows()))
            .collect()
    }

    /// Generation that each live process has in force.
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

    /// The document that a process has in force.
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
            self.next_tick = self.next_tick + TICK;
        }
        self.now = self.now.max(to);
    }

    fn tick(&mut self) {
        if !self.policy.talks {
            return;
        }
        let ids: Vec<ProcessId> = self.agents.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(agent) = self.agents.get_mut(&id).filter(|agent| !agent.paused) else {
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

    /// Starts a process unless it runs.
    fn start(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Balancer(name) => {
                self.balancers.entry(name.clone()).or_default();
            }
            ProcessId::Agent(service, number) => {
                if !self.agents.contains_key(process) {
                    self.lives += 1;
                    let agent = Agent::new(service.as_str(), *number, self.lives, self.now);
                    self.agents.insert(process.clone(), agent);
                    let address = agent_address(service.as_str(), *number);
                    self.agents_at.insert(address, process.clone());
                }
            }
        }
    }

    fn die(&mut self, process: &ProcessId) {
        match process {
            ProcessId::Balancer(name) => {
                self.balancers.remove(name);
            }
            ProcessId::Agent(..) => {
                self.agents.remove(process);
                // Flows that a dead agent held are over; no one can keep them.
                for flow in self.flows.values_mut() {
                    flow.over |= flow.holder.as_ref() == Some(process);
                }
            }
        }
    }

    fn set_paused(&mut self, process: &ProcessId, paused: bool) {
        match process {
            ProcessId::Balancer(name) => {
                if let Some(balancer) = self.balancers.get_mut(name) {
                    balancer.paused = paused;
                }
            }
            ProcessId::Agent(..) => {
                let Some(agent) = self.agents.get_mut(process) else {
                    return;
                };
                agent.paused = paused;
                if !paused {
                    self.deliver_waiting(process);
                }
            }
        }
    }

    fn deliver_waiting(&mut self, process: &ProcessId) {
        let waiting = self
            .agents
            .get_mut(process)
            .map(|agent| std::mem::take(&mut agent.waiting));
        for item in waiting.into_iter().flatten() {
            match item {
                Waiting::Packet(flow, header, segment) => {
                    self.at_agent(&flow, Vec::new(), process.clone(), &header, &segment);
                }
                Waiting::Message(message) => self.message_arrives(process, &message),
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
        if self.lose_messages || !self.policy.talks {
            return;
        }
        for (to, message) in outbox {
            let Some(to) = self.agents_at.get(&to).cloned() else {
                continue;
            };
            if !self.cuts.contains(&(from.clone(), to.clone())) {
                self.message_arrives(&to, &message);
            }
        }
    }

    fn message_arrives(&mut self, at: &ProcessId, message: &AgentMessage) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(at) else {
            return;
        };
        if agent.paused {
            agent.waiting.push_back(Waiting::Message(message.clone()));
            return;
        }
        let outbox = on_message(&agent.state, now, message);
        self.send_messages(at, outbox);
    }

    // -----------------------------------------------------------------------
    // Packets

    fn open(&mut self, flow: &Name, service: &Name, via: &Name, echoes: bool) {
        let index = u16::try_from(self.flows.len()).unwrap_or(0);
        let caller_flow = CallerFlow {
            tuple: FiveTuple {
                source: SocketAddr::from(([198, 51, 100, 7], FIRST_PORT.wrapping_add(index))),
                destination: service_address(service.as_str()),
            },
            service: service.clone(),
            echoes: echoes && self.policy.tags,
            holder: None,
            over: false,
        };
        let mut segment = Segment::opening(caller_flow.tuple);
        segment.has_timestamp = caller_flow.echoes;
        self.flows.insert(flow.clone(), caller_flow);
        self.at_balancer(flow, via, &segment);
    }

    fn send(&mut self, flow: &Name, via: &Name) {
        let Some(caller_flow) = self.flows.get(flow).filter(|flow| !flow.over) else {
            return;
        };
        let mut segment = Segment::established(caller_flow.tuple);
        if caller_flow.echoes {
            let tag = caller_flow.holder.as_ref().and_then(upstream_number);
            segment = segment.with_tag(tag);
        }
        self.at_balancer(flow, via, &segment);
    }

    fn close(&mut self, flow: &Name) {
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        caller_flow.over = true;
        let id = caller_flow.tuple.flow_id();
        let Some(holder) = caller_flow.holder.clone() else {
            return;
        };
        let Some(agent) = self.agents.get(&holder) else {
            return;
        };
        let (_, outbox) = agent.state.close(&mut agent.state.shard(id), id);
        self.send_messages(&holder, outbox);
    }

    fn at_balancer(&mut self, flow: &Name, via: &Name, segment: &Segment) {
        let way = vec![ProcessId::Balancer(via.clone())];
        let balancer = self.balancers.entry(via.clone()).or_default();
        if balancer.paused {
            return self.note(flow, way, Fate::Lost("balancer_paused".to_owned()));
        }
        match (self.policy.route)(&balancer.routes, &mut balancer.cache, segment) {
            Err(reason) => self.note(flow, way, Fate::Lost(reason.to_string())),
            Ok(forward) => match self.agents_at.get(&forward.to).cloned() {
                Some(agent) => self.travel(flow, way, agent, &forward.header, segment),
                None => self.note(flow, way, Fate::Lost("no_such_process".to_owned())),
            },
        }
    }

    /// Takes a packet from the last process of its way to an agent.
    fn travel(
        &mut self,
        flow: &Name,
        way: Vec<ProcessId>,
        to: ProcessId,
        header: &TunnelHeader,
        segment: &Segment,
    ) {
        let from = way.last().cloned();
        let cut = from.is_some_and(|from| self.cuts.contains(&(from, to.clone())));
        if cut {
            return self.note(flow, way, Fate::Lost("cut".to_owned()));
        }
        self.at_agent(flow, way, to, header, segment);
    }

    fn at_agent(
        &mut self,
        flow: &Name,
        mut way: Vec<ProcessId>,
        at: ProcessId,
        header: &TunnelHeader,
        segment: &Segment,
    ) {
        let now = self.now;
        way.push(at.clone());
        let Some(agent) = self.agents.get_mut(&at) else {
            return self.note(flow, way, Fate::Lost("no_such_process".to_owned()));
        };
        if agent.paused {
            let waiting = Waiting::Packet(flow.clone(), header.clone(), *segment);
            agent.waiting.push_back(waiting);
            return;
        }
        let state = &agent.state;
        let mut shard = state.shard(segment.tuple.flow_id());
        let verdict = (self.policy.on_packet)(state, &mut shard, now, header, segment);
        let mut news = Outbox::new();
        if verdict == Verdict::Open {
            news = state.open(&mut shard, now, segment.tuple, segment.has_timestamp, ());
            shard.mark_established(segment.tuple.flow_id());
        }
        drop(shard);
        self.send_messages(&at, news);
        match verdict {
            Verdict::Open => self.opened(flow, way, at),
            Verdict::Deliver => self.delivered(flow, way, &at),
            Verdict::PassOn { to, header, .. } => {
                self.summary.passed_on += 1;
                match self.agents_at.get(&to).cloned() {
                    Some(next) => self.travel(flow, way, next, &header, segment),
                    None => self.note(flow, way, Fate::Lost("no_such_process".to_owned())),
                }
            }
            Verdict::Reset(reason) => self.note(flow, way, Fate::Reset(reason.to_string())),
            Verdict::Drop(reason) => self.note(flow, way, Fate::Lost(reason.to_string())),
        }
    }

    fn opened(&mut self, flow: &Name, way: Vec<ProcessId>, at: ProcessId) {
        let right_service = self.is_of_service(flow, &at);
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        caller_flow.holder = Some(at);
        let fate = if right_service {
            Fate::Opened
        } else {
            Fate::Misdelivered
        };
        self.note(flow, way, fate);
    }

    fn delivered(&mut self, flow: &Name, way: Vec<ProcessId>, at: &ProcessId) {
        let holder = self.flows.get(flow).and_then(|flow| flow.holder.as_ref());
        let right = holder == Some(at) && self.is_of_service(flow, at);
        let fate = if right {
            Fate::Delivered
        } else {
            Fate::Misdelivered
        };
        self.note(flow, way, fate);
    }

    fn is_of_service(&self, flow: &Name, at: &ProcessId) -> bool {
        let service = self.flows.get(flow).map(|flow| &flow.service);
        matches!(at, ProcessId::Agent(own, _) if Some(own) == service)
    }

    fn note(&mut self, flow: &Name, way: Vec<ProcessId>, fate: Fate) {
        match &fate {
            Fate::Opened => self.summary.opened += 1,
            Fate::Delivered => self.summary.delivered += 1,
            Fate::Misdelivered => self.summary.misdelivered += 1,
            Fate::Lost(_) => self.summary.lost += 1,
            Fate::Reset(_) => self.note_reset(flow),
        }
        self.outcomes.push(Outcome {
            millis: self.now.0 / 1_000,
            flow: flow.clone(),
            way,
            fate,
        });
    }

    /// A reset flow is over; it was broken when its holder still had it.
    fn note_reset(&mut self, flow: &Name) {
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        if caller_flow.holder.is_some() && !caller_flow.over {
            self.summary.broken += 1;
        }
        caller_flow.over = true;
    }
}

fn upstream_number(process: &ProcessId) -> Option<UpstreamNumber> {
    match process {
        ProcessId::Agent(_, number) => Some(*number),
        ProcessId::Balancer(_) => None,
    }
}
