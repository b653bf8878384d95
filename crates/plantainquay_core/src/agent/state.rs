//! State of one agent, in shards that each have their own lock.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bon::Builder;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{
    AgentMessage, AgentMessageBody, Document, FlowId, Generation, Incarnation, Load, ServiceId,
    TunnelHeader, UpstreamNumber,
};

use super::sibling_loads::SiblingLoads;
use super::{FlowEntry, Opening, Outbox, ServiceView, Shard, messages};
use crate::Timestamp;
use crate::limits::Limits;

/// Time after the start in which the reported capacity rises to its full value.
const WARM_UP: Duration = Duration::from_secs(10);
/// Reported capacity at the start, in percent.
const WARM_UP_START_PERCENT: u64 = 10;
/// A load report is sent once the flows opened since the last report exceed the open flows divided
/// by this number.
const REPORT_DIVISOR: u32 = 20;
/// Time between two ticks above which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Configuration of an agent's decisions.
#[derive(Clone, Copy, Debug)]
#[derive(Builder)]
pub struct AgentConfig {
    /// Service of the agent.
    pub service: ServiceId,
    /// Number of the agent's upstream.
    pub number: UpstreamNumber,
    /// Incarnation of the process, which differs after each restart.
    pub incarnation: Incarnation,
    /// Number of shards.
    #[builder(default = 16)]
    pub shards: usize,
    /// Maximum number of half-open flows in all shards together.
    #[builder(default = 1_024)]
    pub max_half_open: usize,
    /// Maximum number of redirects in all shards together.
    #[builder(default = 65_536)]
    pub max_redirects: usize,
}

/// State of one agent.
#[derive(Debug)]
pub struct AgentState<T> {
    pub(super) config: AgentConfig,
    started: Timestamp,
    view: RwLock<Option<Arc<ServiceView>>>,
    pub(super) sibling_loads: Mutex<SiblingLoads>,
    limits: Mutex<Limits>,
    shards: Box<[Mutex<Shard<T>>]>,
    open_flows: AtomicU32,
    leaving: AtomicBool,
    /// Newest generation that a sibling has reported.
    newest_sibling_generation: AtomicU64,
    last_tick: AtomicU64,
    last_flow_queries: AtomicU64,
    /// Flows opened since the last load report for opened flows.
    opened_since_report: AtomicU32,
}

impl<T> AgentState<T> {
    /// Creates an agent without flows and without a document.
    #[must_use]
    pub fn new(config: AgentConfig, now: Timestamp) -> Self {
        let shards = config.shards.max(1);
        let per_shard = |limit: usize| limit.div_ceil(shards);
        let new_shard = || {
            Shard::new(
                per_shard(config.max_half_open),
                per_shard(config.max_redirects),
            )
        };
        Self {
            config,
            started: now,
            view: RwLock::new(None),
            sibling_loads: Mutex::default(),
            limits: Mutex::new(Limits::new(config.number)),
            shards: (0..shards).map(|_| Mutex::new(new_shard())).collect(),
            open_flows: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            newest_sibling_generation: AtomicU64::new(0),
            last_tick: AtomicU64::new(now.0),
            last_flow_queries: AtomicU64::new(now.0),
            opened_since_report: AtomicU32::new(0),
        }
    }

    /// Returns the agent's configuration.
    #[must_use]
    pub fn config(&self) -> &AgentConfig {
        &self.config
    }

    /// Locks and returns the shard of a flow.
    pub fn shard(&self, flow: FlowId) -> MutexGuard<'_, Shard<T>> {
        self.shards[self.shard_index(flow)].lock()
    }

    /// Returns the index of a flow's shard.
    #[must_use]
    pub fn shard_index(&self, flow: FlowId) -> usize {
        flow.shard_index(self.shards.len())
    }

    /// Iterates over the shards in index order.
    pub fn shards(&self) -> impl Iterator<Item = &Mutex<Shard<T>>> {
        self.shards.iter()
    }

    /// Returns the service as the document in force defines it.
    #[must_use]
    pub fn view(&self) -> Option<Arc<ServiceView>> {
        self.view.read().clone()
    }

    /// Puts a document in force; returns announcements of flows whose bucket another agent owns.
    pub fn install(&self, document: &Document) -> Outbox {
        let previous = self.view();
        let view = ServiceView::build(document, self.config.service, previous.as_deref());
        let view = view.map(Arc::new);
        if let Some(view) = &view {
            let mut limits = self.limits.lock();
            limits.shares.install(view.version, &view.route.service);
        }
        self.view.write().clone_from(&view);
        view.map_or_else(Outbox::new, |view| {
            messages::announce_held_flows(self, &view)
        })
    }

    /// Stops accepting new flows; returns load reports for siblings.
    pub fn leave(&self, now: Timestamp) -> Outbox {
        self.leaving.store(true, Ordering::Relaxed);
        messages::load_to_serving_siblings(self, now)
    }

    /// Returns true if the agent is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of open flows.
    #[must_use]
    pub fn open_flows(&self) -> u32 {
        self.open_flows.load(Ordering::Relaxed)
    }

    /// Opens the flow of an [`Opening`] from [`super::on_packet`]; returns messages for the
    /// bucket's owner and for siblings.
    pub fn open(
        &self,
        shard: &mut Shard<T>,
        now: Timestamp,
        opening: Opening,
        payload: T,
    ) -> Outbox {
        let flow = opening.tuple.flow_id();
        let echoes = opening.echoes;
        let entry = FlowEntry {
            tuple: opening.tuple,
            member: opening.member,
            echoes,
            established: false,
            in_time_wait: false,
            payload,
        };
        shard.insert(flow, entry);
        let open_flows = self.open_flows.fetch_add(1, Ordering::Relaxed) + 1;
        let body = AgentMessageBody::Held(vec![flow]);
        let mut outbox = messages::message_to_owner(self, flow, echoes, body);
        if self.try_start_load_report(open_flows) {
            outbox.extend(messages::load_to_random_siblings(self, now));
        }
        outbox
    }

    /// Counts an opened flow; returns true if the load has changed enough to report it to siblings
    /// before they query it, and resets the count.
    fn try_start_load_report(&self, open_flows: u32) -> bool {
        let opened = self.opened_since_report.fetch_add(1, Ordering::Relaxed) + 1;
        let is_due = opened > open_flows / REPORT_DIVISOR;
        if is_due {
            self.opened_since_report.store(0, Ordering::Relaxed);
        }
        is_due
    }

    /// Marks a flow as closed by both ends; it is kept only for late packets.
    pub fn enter_time_wait(&self, shard: &mut Shard<T>, flow: FlowId) {
        let Some(entry) = shard.get_mut(flow).filter(|entry| !entry.in_time_wait) else {
            return;
        };
        entry.in_time_wait = true;
        self.limits.lock().close_flow(&entry.member);
        self.open_flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Removes a flow that has ended; returns its entry and messages for the bucket's owner.
    pub fn close(&self, shard: &mut Shard<T>, flow: FlowId) -> (Option<FlowEntry<T>>, Outbox) {
        let Some(entry) = shard.remove(flow) else {
            return (None, Outbox::new());
        };
        if !entry.in_time_wait {
            self.limits.lock().close_flow(&entry.member);
            self.open_flows.fetch_sub(1, Ordering::Relaxed);
        }
        let body = AgentMessageBody::Released(vec![flow]);
        let outbox = messages::message_to_owner(self, flow, entry.echoes, body);
        (Some(entry), outbox)
    }

    /// Locks and returns the agent's limits.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock()
    }

    /// Returns the agent's own load, as reported to siblings.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let view = self.view();
        let connections = view
            .as_ref()
            .and_then(|view| view.service().upstream(self.config.number))
            .map_or(0, |upstream| upstream.connections);
        let serving = view.is_some_and(|view| view.is_serving(self.config.number));
        let open_flows = self.open_flows();
        Load {
            open_flows,
            capacity: warmed_up_capacity(connections, now.since(self.started)),
            accepting: serving && !self.is_leaving() && open_flows < connections,
        }
    }

    pub(super) fn message(&self, body: AgentMessageBody) -> AgentMessage {
        let view = self.view();
        AgentMessage {
            service: self.config.service,
            from: self.config.number,
            incarnation: self.config.incarnation,
            version: view.map(|view| view.version).unwrap_or_default(),
            settled: self.limits.lock().shares.settled(),
            body,
        }
    }

    /// Returns the tunnel header of a packet that this agent forwards.
    pub(super) fn forwarding_header(
        &self,
        now: Timestamp,
        previous: &TunnelHeader,
    ) -> TunnelHeader {
        let mut header = previous.clone();
        header.tried.push(self.config.number);
        header.from = Some(self.config.number);
        header.load = Some(self.load(now));
        header
    }

    /// Records the generation that a sibling reported.
    pub(super) fn record_sibling_generation(&self, generation: Generation) {
        self.newest_sibling_generation
            .fetch_max(generation.0, Ordering::Relaxed);
    }

    /// Returns true if a sibling has a newer document, which may list agents unknown to this one.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let own_generation = self.view().map(|view| view.generation).unwrap_or_default();
        self.newest_sibling_generation.load(Ordering::Relaxed) > own_generation.0
    }

    /// Returns true if a round of flow queries is due, and records its start.
    pub(super) fn try_start_flow_queries(&self, now: Timestamp, interval: Duration) -> bool {
        let last = Timestamp(self.last_flow_queries.load(Ordering::Relaxed));
        let is_due = now.since(last) >= interval;
        if is_due {
            self.last_flow_queries.store(now.0, Ordering::Relaxed);
        }
        is_due
    }

    /// Records a tick; discards the load reports of siblings after a pause.
    pub(super) fn record_tick(&self, now: Timestamp) {
        let last = Timestamp(self.last_tick.swap(now.0, Ordering::Relaxed));
        if now.since(last) > PAUSE_THRESHOLD {
            self.sibling_loads.lock().clear();
        }
    }
}

/// Returns the capacity to report `age` after the start.
fn warmed_up_capacity(capacity: u32, age: Duration) -> u32 {
    let percent = if age >= WARM_UP {
        100
    } else {
        let increase =
            (100 - WARM_UP_START_PERCENT) * to_u64(age.as_millis()) / to_u64(WARM_UP.as_millis());
        WARM_UP_START_PERCENT + increase
    };
    let warmed_up = u64::from(capacity) * percent / 100;
    u32::try_from(warmed_up).unwrap_or(u32::MAX).max(1)
}

fn to_u64(millis: u128) -> u64 {
    u64::try_from(millis).unwrap_or(u64::MAX)
}
