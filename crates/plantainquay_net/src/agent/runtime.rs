//! The agent's runtime: sockets, tasks and counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::Level;
use plantainquay_core::agent::{AgentConfig, AgentState, DropReason, Outbox, Verdict};
use plantainquay_core::agent::{on_message, on_packet, on_tick};
use plantainquay_core::{Segment, Timestamp};
use plantainquay_schema::{
    AgentSettings, Document, Incarnation, ServiceId, Settings, TunnelHeader,
};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::time::MissedTickBehavior;

use super::AgentError;
use super::flows::Flow;
use super::requests::RequestAdmission;
use super::timers::ShardTimers;
use crate::{Clock, Sealer, VerifiedDatagram, bind_udp, event, parse_segment, reset_for};

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_535;
/// Interval of load queries and maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// An agent: sharded state, one lock per shard, and the tasks that do its I/O.
#[derive(Debug)]
pub struct AgentRuntime {
    pub(super) state: AgentState<Flow>,
    pub(super) clock: Clock,
    pub(super) admission: RequestAdmission,
    pub(super) timers: Vec<ShardTimers>,
    pub(super) runtime: Handle,
    socket: UdpSocket,
    sealer: Sealer,
    fabric: SocketAddr,
    counters: AgentCounters,
}

/// Packet counters by verdict.
#[derive(Debug, Default)]
pub(super) struct AgentCounters {
    delivered: AtomicU64,
    opened: AtomicU64,
    forwarded: AtomicU64,
    reset: AtomicU64,
    dropped: AtomicU64,
    wrong_service: AtomicU64,
    refused_datagrams: AtomicU64,
    unsent: AtomicU64,
}

impl AgentRuntime {
    /// Binds the tunnel socket and starts the tasks on `runtime`.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound.
    pub fn start(
        settings: &Settings,
        agent: &AgentSettings,
        clock: Clock,
        runtime: &Handle,
    ) -> Result<Arc<Self>, AgentError> {
        let socket = bind_udp(settings.tunnel)?;
        socket.set_nonblocking(true)?;
        let _entered = runtime.enter();
        let config = AgentConfig::builder()
            .service(ServiceId::of(agent.service.as_str()))
            .number(agent.upstream)
            .incarnation(new_incarnation())
            .shards(settings.shards)
            .max_half_open(agent.max_half_open)
            .max_redirects(agent.max_redirects)
            .build();
        let this = Arc::new(Self {
            state: AgentState::new(config, clock.now()),
            clock,
            admission: RequestAdmission::bind(agent.max_queue, clock)?,
            timers: (0..settings.shards)
                .map(|_| ShardTimers::default())
                .collect(),
            runtime: runtime.clone(),
            socket: UdpSocket::from_std(socket)?,
            sealer: Sealer::new(&settings.keys)?,
            fabric: settings.fabric,
            counters: AgentCounters::default(),
        });
        for _ in 0..settings.threads {
            runtime.spawn(Arc::clone(&this).receive());
        }
        for index in 0..settings.shards {
            runtime.spawn(Arc::clone(&this).run_timers(index));
        }
        runtime.spawn(Arc::clone(&this).tick());
        Ok(this)
    }

    /// Puts a document in force.
    pub fn install(&self, now: Timestamp, document: &Arc<Document>) {
        let outbox = self.state.install(document);
        self.send_outbox(outbox);
        let view = self.state.view();
        let upstream = view
            .as_ref()
            .and_then(|view| view.service().upstream(self.state.config().number));
        self.admission
            .install(now, document, self.state.config().service, upstream);
    }

    /// Stops accepting new flows.
    pub fn leave(&self) {
        let outbox = self.state.leave(self.clock.now());
        self.send_outbox(outbox);
    }

    /// Returns the numbers of open flows, running requests and waiting requests.
    #[must_use]
    pub fn load(&self) -> (u32, usize, usize) {
        let (running, waiting) = self.admission.load();
        (self.state.open_flows(), running, waiting)
    }

    /// Returns true if the agent may use its shares of the limits.
    #[must_use]
    pub fn are_limits_usable(&self) -> bool {
        self.state.limits().shares.is_usable()
    }

    /// Returns the number of delivered or forwarded packets, and of reset, dropped or refused ones.
    #[must_use]
    pub fn packet_counts(&self) -> (u64, u64) {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        let accepted = get(&counters.delivered) + get(&counters.forwarded);
        let rejected = get(&counters.reset) + get(&counters.dropped);
        (accepted, rejected + get(&counters.refused_datagrams))
    }

    /// Updates the metrics from the counters.
    pub fn refresh_metrics(&self) {
        let counters = [
            ("delivered", &self.counters.delivered),
            ("opened", &self.counters.opened),
            ("passed_on", &self.counters.forwarded),
            ("reset", &self.counters.reset),
            ("dropped", &self.counters.dropped),
            ("wrong_service", &self.counters.wrong_service),
            ("refused_datagram", &self.counters.refused_datagrams),
            ("unsent", &self.counters.unsent),
        ];
        for (verdict, counter) in counters {
            let value = counter.load(Ordering::Relaxed);
            metrics::counter!("plantainquay_agent_packets", "verdict" => verdict).absolute(value);
        }
        let (open, running, waiting) = self.load();
        metrics::gauge!("plantainquay_open_flows").set(f64::from(open));
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        {
            metrics::gauge!("plantainquay_requests_running").set(running as f64);
            metrics::gauge!("plantainquay_requests_waiting").set(waiting as f64);
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; DATAGRAM_BYTES];
        loop {
            // An error reports an earlier datagram; the socket stays usable.
            let Ok(bytes) = self.socket.recv(&mut buf).await else {
                continue;
            };
            self.on_datagram(&buf[..bytes]);
        }
    }

    fn on_datagram(self: &Arc<Self>, datagram: &[u8]) {
        let now = self.clock.now();
        match self.sealer.open(datagram) {
            Ok(VerifiedDatagram::Tunnel(header, packet)) => self.on_tunnel(now, &header, packet),
            Ok(VerifiedDatagram::Agent(message)) => {
                self.send_outbox(on_message(&self.state, now, &message));
            }
            Err(reason) => {
                increment(&self.counters.refused_datagrams);
                event(Level::Debug, "datagram_refused", &[("reason", &reason)]);
            }
        }
    }

    fn on_tunnel(self: &Arc<Self>, now: Timestamp, header: &TunnelHeader, packet: &[u8]) {
        let Ok(segment) = parse_segment(packet) else {
            increment(&self.counters.refused_datagrams);
            return;
        };
        let flow = segment.tuple.flow_id();
        let mut shard = self.state.shard(flow);
        match on_packet(&self.state, &mut shard, now, header, &segment) {
            Verdict::Deliver => {
                increment(&self.counters.delivered);
                self.deliver_packet(shard, now, flow, packet);
            }
            Verdict::Open(opening) => {
                increment(&self.counters.opened);
                self.open_flow(shard, now, opening, packet);
            }
            Verdict::Forward { to, header, .. } => {
                drop(shard);
                increment(&self.counters.forwarded);
                self.forward_packet(to, &header, packet);
            }
            Verdict::Reset(reason) => {
                drop(shard);
                increment(&self.counters.reset);
                self.reset_flow(&segment, packet, &reason);
            }
            Verdict::Drop(reason) => {
                drop(shard);
                self.record_drop(&segment, reason);
            }
        }
    }

    fn forward_packet(&self, to: SocketAddr, header: &TunnelHeader, packet: &[u8]) {
        let mut buf = Vec::with_capacity(packet.len() + 64);
        self.sealer.seal_tunnel(header, packet, &mut buf);
        self.send_to(&buf, to);
    }

    fn reset_flow(&self, segment: &Segment, packet: &[u8], reason: &dyn std::fmt::Display) {
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("source", &segment.tuple.source),
            ("destination", &segment.tuple.destination),
            ("reason", reason),
        ];
        event(Level::Info, "flow_reset", &pairs);
        if let Ok(reset) = reset_for(packet) {
            self.send_to_fabric(&reset);
        }
    }

    fn record_drop(&self, segment: &Segment, reason: DropReason) {
        if reason == DropReason::WrongService {
            increment(&self.counters.wrong_service);
        }
        increment(&self.counters.dropped);
        let pairs: [(&str, &dyn std::fmt::Display); 2] =
            [("source", &segment.tuple.source), ("reason", &reason)];
        event(Level::Debug, "packet_dropped", &pairs);
    }

    async fn tick(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            let now = self.clock.now();
            self.send_outbox(on_tick(&self.state, now));
        }
    }

    pub(super) fn send_outbox(&self, outbox: Outbox) {
        let mut buf = Vec::new();
        for (to, message) in outbox {
            self.sealer.seal_agent(&message, &mut buf);
            self.send_to(&buf, to);
        }
    }

    /// Sends an IP packet towards the caller.
    pub(super) fn send_to_fabric(&self, packet: &[u8]) {
        self.send_to(packet, self.fabric);
    }

    /// Sends without blocking; a datagram that doesn't fit the buffer is dropped and counted.
    fn send_to(&self, buf: &[u8], to: SocketAddr) {
        if self.socket.try_send_to(buf, to).is_err() {
            increment(&self.counters.unsent);
        }
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Returns an id that differs for each process start, even if the system clock was set back.
fn new_incarnation() -> Incarnation {
    use std::collections::hash_map::RandomState;
    use std::hash::BuildHasher;
    Incarnation(RandomState::new().hash_one(std::process::id()))
}
