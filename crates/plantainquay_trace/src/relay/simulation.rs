//! Simulation of balancers, agents, upstreams and callers.

mod callers;
mod faults;
mod store;
mod upstreams;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::Timestamp;
use plantainquay_core::relay::{Action, Actions, RelayPolicy};
use plantainquay_schema::{Generation, Name, Route, RouteDocument, ServiceId, WeightedService};

use self::store::Store;
use super::RelayEvent;
use super::codec::{LISTENER, SimulatedPacket};
use super::network::{Arrival, Network};
use super::process::{Process, Role, SERVICE};
use super::upstream::Upstream;

/// Maximum number of requests that an upstream serves concurrently.
const SLOTS: u8 = 2;
/// Interval between two ticks of a process, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// Interval at which the store confirms the state of every process, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 800;
/// Time in which decisions that were taken before a change may still have effects, in milliseconds.
const SETTLING_TIME_MS: u64 = 100;
/// Time after which a caller retransmits unanswered data; doubles with each transmission.
const RETRANSMISSION_TIMEOUT_MS: u64 = 200;
/// Maximum number of transmissions of one data packet.
const MAX_TRANSMISSIONS: u32 = 4;
/// Time after a balancer's pause in which packets that went astray through it don't count.
const STABLE_TIME_MS: u64 = 4_000;

/// Minimum number of stray packets, with none to the right upstream, for a flow to count as astray.
const ASTRAY_MIN_PACKETS: usize = 3;
/// Minimum time since the first of these packets, in milliseconds.
const ASTRAY_MIN_MS: u64 = 2_000;

/// In-memory simulation of the relay.
#[derive(Debug)]
pub struct RelaySimulation {
    now_ms: u64,
    last_tick_ms: u64,
    network: Network,
    balancers: usize,
    processes: Vec<Process>,
    /// Indices of processes that have asked for a confirmation of their state since the last tick.
    awaiting_confirmation: BTreeSet<usize>,
    upstreams: BTreeMap<u16, Upstream>,
    store: Store,
    /// Services to which upstreams are assigned in turn.
    services: Vec<Name>,
    /// Upstreams that the store didn't list when the last process that knew them ended, with the
    /// time at which decisions take the store's new entry into account.
    forgotten: BTreeMap<u16, u64>,
    /// Upstreams that the store lists again, or whose agents run again, with the time at which
    /// decisions take it into account.
    unreachable_until_ms: BTreeMap<u16, u64>,
    /// Services that the route has named at any time.
    named_services: BTreeSet<Name>,
    flows: BTreeMap<u16, Flow>,
    log: String,
    summary: RelaySummary,
    /// Service time of each flow's request; if `None`, upstreams answer every packet at once.
    service_times_ms: Option<BTreeMap<u16, u64>>,
}

/// State of a flow at its caller, with counters for misrouted packets.
#[derive(Debug, Default)]
struct Flow {
    /// The upstream whose acceptance reached the caller first.
    accepted_by: Option<u16>,
    incarnation: u16,
    is_reset: bool,
    answered: u32,
    sent: u16,
    /// Highest sequence number that the flow's upstream has received.
    last_received: u16,
    /// Sequence numbers above `last_received` of packets that reached other upstreams.
    strays: BTreeSet<u16>,
    /// Arrival time of the first packet in `strays`.
    astray_since_ms: u64,
    /// Time of the first answer.
    answered_at_ms: Option<u64>,
    /// Highest sequence number that was answered.
    last_answered: u16,
    /// The balancer that received the caller's last packet.
    last_balancer: usize,
    /// True if the flow's route was removed while the flow was open, or before a process that
    /// hadn't heard of it opened the flow.
    is_route_removed: bool,
}

/// Counters of what callers and upstreams have observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelaySummary {
    /// Flows that an upstream has accepted.
    pub opened: u32,
    /// Flows that were reset while their upstream still held them.
    pub broken: u32,
    /// Flows that were reset because their upstream lost them or is unreachable, or none accepted
    /// them.
    pub reset: u32,
    /// Stray packets: data packets that reached an upstream other than their flow's.
    pub strays: u32,
    /// Flows with at least three stray packets over two seconds and none to the right upstream.
    pub astray: u32,
    /// Packets that the right upstream answered.
    pub answered: u32,
    /// Flows that were accepted by an upstream whose service the route has never named.
    pub misrouted: u32,
}

impl RelaySimulation {
    /// Creates a simulation in which every process knows every upstream.
    #[must_use]
    pub fn new(balancers: u16, upstreams: u16, seed: u64) -> Self {
        Self::with_policy(balancers, upstreams, seed, RelayPolicy::default())
    }

    /// Creates a simulation whose processes use a given policy.
    #[must_use]
    pub fn with_policy(balancers: u16, upstreams: u16, seed: u64, policy: RelayPolicy) -> Self {
        Self::build(balancers, upstreams, &[SERVICE], seed, policy)
    }

    /// Creates a simulation with several services, to which upstreams are assigned in turn; the
    /// route names the first one until a [`RelayEvent::Route`].
    ///
    /// # Panics
    ///
    /// Panics without a service.
    #[must_use]
    pub fn with_services(balancers: u16, upstreams: u16, services: &[&str], seed: u64) -> Self {
        Self::build(balancers, upstreams, services, seed, RelayPolicy::default())
    }

    fn build(
        balancers: u16,
        upstreams: u16,
        services: &[&str],
        seed: u64,
        policy: RelayPolicy,
    ) -> Self {
        let services: Vec<Name> = services.iter().map(|name| (*name).into()).collect();
        let first_service = services[0].clone();
        let mut simulation = Self {
            now_ms: 0,
            last_tick_ms: 0,
            network: Network::new(seed),
            balancers: balancers.into(),
            processes: Vec::new(),
            awaiting_confirmation: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            store: Store::new(route_document(1, &[(first_service.as_str(), 1)])),
            named_services: [first_service].into(),
            services,
            forgotten: BTreeMap::new(),
            unreachable_until_ms: BTreeMap::new(),
            flows: BTreeMap::new(),
            log: String::new(),
            summary: RelaySummary::default(),
            service_times_ms: None,
        };
        for number in 1..=balancers {
            let service = ServiceId::of(SERVICE);
            let name = format!("b{number}");
            let process = Process::new(&name, balancer_ip(number), service, policy);
            simulation.processes.push(process);
        }
        for number in 1..=upstreams {
            let service = ServiceId::of(simulation.service_of(number).as_str());
            let name = format!("a{number}");
            let process = Process::new(&name, agent_ip(number), service, policy);
            simulation.processes.push(process);
            simulation.upstreams.insert(number, Upstream::default());
            let service = simulation.service_of(number).clone();
            simulation.store.put_upstream(0, number, &service, false);
        }
        simulation.broadcast_changes(&simulation.full_changes());
        simulation
    }

    /// Runs events in order, then continues the simulation until `end_ms`.
    pub fn replay(&mut self, events: &[(u64, RelayEvent)], end_ms: u64) {
        for (at_ms, event) in events {
            self.run_until(*at_ms);
            self.apply(event);
        }
        self.run_until(end_ms);
    }

    /// Returns the log of what callers have observed, with one line per event.
    #[must_use]
    pub fn log(&self) -> &str {
        &self.log
    }

    /// Returns the counters, including flows that are astray at present.
    #[must_use]
    pub fn summary(&self) -> RelaySummary {
        let astray = self.flows.keys().filter(|flow| self.is_astray(**flow));
        RelaySummary {
            astray: self.summary.astray + u32::try_from(astray.count()).unwrap_or(u32::MAX),
            ..self.summary
        }
    }

    /// Returns the number of a flow's packets that the right upstream has answered.
    #[must_use]
    pub fn answered(&self, flow: u16) -> u32 {
        self.flows.get(&flow).map_or(0, |flow| flow.answered)
    }

    /// Returns true if a flow has not been reset and its upstream holds it.
    #[must_use]
    pub fn is_usable(&self, flow: u16) -> bool {
        self.flows.get(&flow).is_some_and(|f| !f.is_reset) && self.is_held(flow)
    }

    /// Returns true if a flow is held, but for at least `ASTRAY_MIN_MS` its packets have reached only
    /// other upstreams.
    fn is_astray(&self, flow: u16) -> bool {
        let Some(state) = self.flows.get(&flow) else {
            return false;
        };
        let since = self.now_ms.saturating_sub(state.astray_since_ms);
        state.strays.len() >= ASTRAY_MIN_PACKETS && since >= ASTRAY_MIN_MS && self.is_held(flow)
    }

    /// Returns true if the upstream that accepted a flow still holds it.
    fn is_held(&self, flow: u16) -> bool {
        let flow_state = self.flows.get(&flow).filter(|f| !f.is_route_removed);
        let accepted_by = flow_state.and_then(|flow| flow.accepted_by);
        accepted_by.is_some_and(|accepted_by| {
            let known_from_ms = self.forgotten.get(&accepted_by).copied();
            let is_known = known_from_ms.is_none_or(|from| self.now_ms >= from);
            is_known && self.upstreams[&accepted_by].holds(flow)
        })
    }

    fn run_until(&mut self, until_ms: u64) {
        loop {
            let next_tick = self.last_tick_ms + TICK_INTERVAL_MS;
            if let Some((at_ms, arrival)) = self.network.next_until(until_ms.min(next_tick)) {
                self.now_ms = self.now_ms.max(at_ms);
                self.deliver(arrival);
            } else if next_tick <= until_ms {
                self.now_ms = next_tick;
                self.tick();
            } else {
                self.now_ms = until_ms;
                return;
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let last_tick = Timestamp::from_millis(self.last_tick_ms);
        self.last_tick_ms = self.now_ms;
        if self.now_ms.is_multiple_of(CONFIRM_INTERVAL_MS) {
            self.broadcast_changes(&self.empty_changes());
        }
        self.confirm_on_request(now);
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            if !process.is_down && !process.is_paused {
                let actions = process.tick(now, last_tick);
                self.execute(index, actions);
            }
        }
    }

    /// Confirms the state of the processes that have asked for it since the last tick.
    fn confirm_on_request(&mut self, now: Timestamp) {
        let changes = self.empty_changes();
        for index in std::mem::take(&mut self.awaiting_confirmation) {
            let process = &mut self.processes[index];
            if process.can_be_source() {
                process.apply_changes(now, changes.clone());
            }
        }
    }

    /// Delivers an arrival to its receiver; arrivals at a paused process are rescheduled.
    fn deliver(&mut self, arrival: Arrival) {
        let index = match &arrival {
            Arrival::FromCaller { balancer, .. } => Some(*balancer),
            Arrival::Message { to, .. } => self.process_index(*to),
            Arrival::FromUpstream { packet, .. } if self.is_from_past_incarnation(packet) => None,
            Arrival::FromUpstream { agent, .. } => Some(*agent),
            Arrival::ToCaller { packet } => return self.receive_at_caller(packet),
            Arrival::RetransmissionTimer {
                flow,
                sequence,
                transmissions,
            } => return self.retransmit_data(*flow, *sequence, *transmissions),
        };
        let Some(index) = index else {
            return;
        };
        if self.processes[index].is_down {
            return;
        }
        if self.processes[index].is_paused {
            return self.network.reschedule(self.now_ms + 1, arrival);
        }
        let actions = self.decide(index, arrival);
        self.execute(index, actions);
    }

    fn decide(&self, index: usize, arrival: Arrival) -> Actions {
        let now = self.now();
        let process = &self.processes[index];
        match (arrival, &process.role) {
            (Arrival::FromCaller { packet, .. }, Role::Balancer(balancer)) => {
                let parsed = to_packet(&packet, false);
                balancer.on_packet(now, || process.view_age(now), &parsed, packet)
            }
            (
                Arrival::FromUpstream {
                    packet, returned, ..
                },
                Role::Agent(agent),
            ) => {
                let parsed = to_packet(&packet, returned);
                agent.on_upstream_packet(now, &|| process.view_age(now), &parsed, packet)
            }
            (Arrival::Message { from, message, .. }, _) => {
                let packet = message.body.packet().map(|bytes| to_packet(bytes, false));
                process.on_message(now, from, *message, packet.as_ref())
            }
            _ => Actions::new(),
        }
    }

    fn execute(&mut self, index: usize, actions: Actions) {
        let from = self.processes[index].address;
        for action in actions {
            match action {
                Action::ToUpstream(packet) => self.receive_at_upstream(index, packet),
                Action::ToCaller(_, packet) => {
                    self.network.send(self.now_ms, Arrival::ToCaller { packet });
                }
                Action::Send(to, message) => {
                    let message = Box::new(message);
                    let arrival = Arrival::Message { from, to, message };
                    self.network.send(self.now_ms, arrival);
                }
                Action::Reset { tuple, reason, .. } => {
                    let flow = tuple.source.port() - 10_000;
                    self.reset(index, flow, &reason);
                }
                Action::ConfirmView => {
                    self.awaiting_confirmation.insert(index);
                }
                Action::Drop(_) | Action::RecordDecision(_) | Action::RecordAnswerTime { .. } => {}
            }
        }
    }

    /// Service to which an upstream is assigned.
    fn service_of(&self, upstream: u16) -> &Name {
        &self.services[usize::from(upstream - 1) % self.services.len()]
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn with_process(&mut self, name: &str, change: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.iter_mut().find(|p| p.name == name) {
            change(process);
        }
    }

    fn with_upstream(&mut self, number: u16, change: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self.upstreams.get_mut(&number) {
            change(upstream);
        }
    }

    fn process_index(&self, address: SocketAddr) -> Option<usize> {
        self.processes.iter().position(|p| p.address == address)
    }

    fn upstream_number(&self, agent: usize) -> u16 {
        u16::try_from(agent - self.balancers + 1).unwrap_or(u16::MAX)
    }

    fn log_line(&mut self, line: &str) {
        // Writing to a string never fails.
        let _infallible = writeln!(self.log, "{:>5} {line}", self.now_ms);
    }
}

fn to_packet(packet: &Bytes, returned: bool) -> plantainquay_core::relay::Packet {
    let decoded = SimulatedPacket::decode(packet).expect("only the simulation writes packets");
    decoded.to_packet(returned)
}

/// Routes of a generation; without services there is no route.
fn route_document(generation: u64, services: &[(&str, u32)]) -> RouteDocument {
    let SocketAddr::V4(listener) = LISTENER else {
        return RouteDocument::default();
    };
    let weighted = services
        .iter()
        .map(|(name, weight)| WeightedService::new(name, *weight));
    let route = (!services.is_empty()).then(|| Route {
        listener,
        services: weighted.collect(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        priority: 1,
    });
    RouteDocument {
        generation: Generation(generation),
        routes: route.into_iter().collect(),
    }
}

fn balancer_ip(number: u16) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0000 + u32::from(number))
}

fn agent_ip(number: u16) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a02_0000 + u32::from(number))
}
