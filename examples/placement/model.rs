//! Discrete-event model of the agents of one service, with flows that open and end.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::agent::{
    AgentConfig, AgentState, Outbox, Verdict, on_message, on_packet, on_tick,
};
use plantainquay_core::{FiveTuple, RouteMap, Segment, Timestamp, balancer};
use plantainquay_schema::{
    AgentMessage, Document, FlowId, Incarnation, ServiceId, TunnelHeader, UpstreamNumber,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stand_ins::single_service_document;

const SERVICE: &str = "feed";
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const LATENCY: Duration = Duration::from_millis(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const MEAN_LIFETIME_SECONDS: f64 = 20.0;
const BURST_INTERVAL: Duration = Duration::from_secs(20);
const BURST_DURATION: Duration = Duration::from_secs(5);
const BURST_FACTOR: f64 = 3.0;
const WARM_UP: Duration = Duration::from_mins(1);
/// Start of the modelled time; agents are created at time zero and have warmed up by then.
const START: Timestamp = Timestamp(20_000_000);

/// Parameters of a model.
#[derive(Clone, Debug)]
pub(crate) struct ModelConfig {
    pub(crate) upstreams: usize,
    pub(crate) flows_per_upstream: f64,
    /// True if messages between agents are delivered.
    pub(crate) messages_enabled: bool,
    pub(crate) seed: u64,
    /// Modelled time, including the warm-up.
    pub(crate) duration: Duration,
}

/// Results of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelResult {
    /// Largest number of flows at one upstream over the mean; 99th percentile over time.
    pub(crate) imbalance: f64,
    /// Number of forwarded packets per opened flow.
    pub(crate) forwards_per_flow: f64,
}

/// State of a run.
pub(crate) struct Model {
    config: ModelConfig,
    rng: StdRng,
    now: Timestamp,
    routes: RouteMap,
    agents: Vec<AgentState<()>>,
    agent_by_address: HashMap<SocketAddr, usize>,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending_events: HashMap<u64, Event>,
    next_event_id: u64,
    opened: u64,
    forwarded: u64,
    next_port: u32,
    samples: Vec<f64>,
}

enum Event {
    Arrive,
    Packet(usize, TunnelHeader, Segment),
    Message(usize, AgentMessage),
    Tick(usize),
    End(usize, FlowId),
    Sample,
}

impl Default for ModelConfig {
    fn default() -> Self {
        Self {
            upstreams: 7,
            flows_per_upstream: 700.0,
            messages_enabled: true,
            seed: 1,
            duration: Duration::from_mins(4),
        }
    }
}

impl Model {
    pub(crate) fn new(config: &ModelConfig) -> Self {
        let document = document(config.upstreams);
        let numbers =
            (1..=config.upstreams).filter_map(|n| UpstreamNumber::new(u32::try_from(n).ok()?));
        let mut agents = Vec::with_capacity(config.upstreams);
        for number in numbers {
            let settings = AgentConfig::builder()
                .service(ServiceId::of(SERVICE))
                .number(number)
                .incarnation(Incarnation(number.get().into()))
                .max_half_open(1 << 20)
                .build();
            let agent = AgentState::new(settings, Timestamp::default());
            let _announcements = agent.install(&document);
            agents.push(agent);
        }
        let upstreams = &document.services[0].upstreams;
        let agent_by_address = upstreams
            .iter()
            .enumerate()
            .map(|(i, u)| (u.agent, i))
            .collect();
        let mut model = Self {
            config: config.clone(),
            rng: StdRng::seed_from_u64(config.seed),
            now: START,
            routes: RouteMap::build(&document, &RouteMap::default()),
            agents,
            agent_by_address,
            event_queue: BinaryHeap::new(),
            pending_events: HashMap::new(),
            next_event_id: 0,
            opened: 0,
            forwarded: 0,
            next_port: 0,
            samples: Vec::new(),
        };
        model.schedule_initial_events();
        model
    }

    /// Runs the model to its end and returns the results.
    pub(crate) fn run(mut self) -> ModelResult {
        while let Some(Reverse((at, id))) = self.event_queue.pop() {
            if at > START + self.config.duration {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending_events.remove(&id) {
                self.handle(event);
            }
        }
        self.samples.sort_by(f64::total_cmp);
        let p99_index = self.samples.len() * 99 / 100;
        ModelResult {
            imbalance: self.samples.get(p99_index).copied().unwrap_or_default(),
            forwards_per_flow: ratio(self.forwarded, self.opened),
        }
    }

    fn schedule_initial_events(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(WARM_UP, Event::Sample);
        for agent in 0..self.agents.len() {
            let phase = self.rng.random_range(0..TICK_INTERVAL.as_micros());
            let phase = Duration::from_micros(u64::try_from(phase).unwrap_or(0));
            self.schedule(phase, Event::Tick(agent));
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let id = self.next_event_id;
        self.next_event_id += 1;
        self.pending_events.insert(id, event);
        self.event_queue.push(Reverse((self.now + after, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::Packet(agent, header, segment) => self.handle_packet(agent, &header, &segment),
            Event::Message(agent, message) => {
                let outbox = on_message(&self.agents[agent], self.now, &message);
                self.send_messages(outbox);
            }
            Event::Tick(agent) => {
                let outbox = on_tick(&self.agents[agent], self.now);
                self.send_messages(outbox);
                self.schedule(TICK_INTERVAL, Event::Tick(agent));
            }
            Event::End(agent, flow) => {
                let agent = &self.agents[agent];
                let _closed = agent.close(&mut agent.shard(flow), flow);
            }
            Event::Sample => {
                self.record_sample();
                self.schedule(SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    /// Opens a flow and schedules the next arrival: a Poisson process with a rate that varies in
    /// bursts.
    fn handle_arrival(&mut self) {
        self.next_port += 1;
        let [_, a, b, c] = self.next_port.to_be_bytes();
        let source = SocketAddr::from(([10, a, b, c], 40_000));
        let destination = SocketAddr::from(([192, 0, 2, 1], 80));
        let segment = Segment::opening(FiveTuple {
            source,
            destination,
        })
        .with_tag(None);
        if let Ok(forward) = balancer::route(&self.routes, &segment) {
            let agent = self.agent_by_address[&forward.to];
            self.schedule(LATENCY, Event::Packet(agent, forward.header, segment));
        }
        let interarrival_time = self.random_exponential(1.0 / self.arrival_rate());
        self.schedule(interarrival_time, Event::Arrive);
    }

    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    fn arrival_rate(&self) -> f64 {
        let time_in_interval = self.now.since(START).as_micros() % BURST_INTERVAL.as_micros();
        let mean =
            self.config.upstreams as f64 * self.config.flows_per_upstream / MEAN_LIFETIME_SECONDS;
        let burst_share = BURST_DURATION.as_secs_f64() / BURST_INTERVAL.as_secs_f64();
        let base = mean / (1.0 + burst_share * (BURST_FACTOR - 1.0));
        if time_in_interval < BURST_DURATION.as_micros() {
            base * BURST_FACTOR
        } else {
            base
        }
    }

    fn random_exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-mean_seconds * (1.0 - uniform).ln())
    }

    fn handle_packet(&mut self, agent: usize, header: &TunnelHeader, segment: &Segment) {
        let state = &self.agents[agent];
        let flow = segment.tuple.flow_id();
        let mut shard = state.shard(flow);
        match on_packet(state, &mut shard, self.now, header, segment) {
            Verdict::Open(opening) => {
                let outbox = state.open(&mut shard, self.now, opening, ());
                shard.mark_established(flow);
                drop(shard);
                self.opened += 1;
                self.send_messages(outbox);
                let lifetime = self.random_exponential(MEAN_LIFETIME_SECONDS);
                self.schedule(lifetime, Event::End(agent, flow));
            }
            Verdict::Forward { to, header, .. } => {
                drop(shard);
                self.forwarded += 1;
                let to = self.agent_by_address[&to];
                self.schedule(LATENCY, Event::Packet(to, header, *segment));
            }
            Verdict::Deliver | Verdict::Reset(_) | Verdict::Drop(_) => {}
        }
    }

    fn send_messages(&mut self, outbox: Outbox) {
        if !self.config.messages_enabled {
            return;
        }
        for (to, message) in outbox {
            let to = self.agent_by_address[&to];
            self.schedule(LATENCY, Event::Message(to, message));
        }
    }

    fn record_sample(&mut self) {
        let flows: Vec<u64> = self
            .agents
            .iter()
            .map(|agent| agent.open_flows().into())
            .collect();
        let largest = flows.iter().max().copied().unwrap_or(0);
        let sum: u64 = flows.iter().sum();
        self.samples
            .push(ratio(largest * flows.len() as u64, sum.max(1)));
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator as f64
}

fn document(upstreams: usize) -> Arc<Document> {
    const CONNECTIONS: u32 = 20_000;
    let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
    let agent = |number: u32| format!("10.0.{}.{}:4789", number >> 8, number & 0xff);
    let document = single_service_document(SERVICE, upstreams, CONNECTIONS, agent);
    Arc::new(document.expect("the model's document is valid"))
}
