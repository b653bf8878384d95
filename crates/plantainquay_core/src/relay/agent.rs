//! Decisions of an agent on packets, messages and ticks.

mod established;
mod flow;
mod lookup;
mod opening;
mod pacing;
mod upstream;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{Claim, Evidence, FiveTuple, FlowId, RelayBody, RelayMessage, ServiceId};

use self::flow::FlowShard;
use self::pacing::PacingQueue;
use super::{
    Action, Actions, CandidateState, Decision, DropReason, LoadMeter, Packet, RelayPolicy,
    RelayView, ServiceCandidates, is_confirmed_since,
};
use crate::Timestamp;

/// Configuration of an agent.
#[derive(Clone, Debug)]
pub struct RelayAgentConfig {
    /// Service of the agent's local upstream.
    pub service: ServiceId,
    /// Address at which the agent receives messages from other processes.
    pub own_address: SocketAddr,
    /// Number of flow shards.
    pub shards: usize,
    /// Tunable parameters.
    pub policy: RelayPolicy,
}

/// An agent of one local upstream.
#[derive(Debug)]
pub struct RelayAgent {
    config: RelayAgentConfig,
    view: RwLock<Arc<RelayView>>,
    shards: Vec<Mutex<FlowShard>>,
    meter: Mutex<LoadMeter>,
    pacing: Mutex<PacingQueue>,
    /// Agents that have left the list and didn't answer a lookup since.
    silent_former_agents: Mutex<HashSet<SocketAddr>>,
    counters: Mutex<AgentCounters>,
}

/// Counters of an agent's decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Opening packets offered to the upstream.
    pub offered_openings: u64,
    /// Opening packets forwarded to another agent.
    pub forwarded_openings: u64,
    /// Opening packets that no agent accepted.
    pub refused_openings: u64,
    /// Opening packets returned by the upstream.
    pub returned_openings: u64,
    /// Packets other than opening packets returned by the upstream.
    pub returned_packets: u64,
    /// Lookups of flows among the other agents.
    pub lookups: u64,
    /// Lookups that found the flow.
    pub found_flows: u64,
    /// Flows that no upstream holds.
    pub lost_flows: u64,
    /// Flows reset because the upstream lost them.
    pub reset_flows: u64,
    /// Messages addressed to another service.
    pub wrong_service_messages: u64,
}

impl RelayAgent {
    /// Creates an agent without a view or flows.
    #[must_use]
    pub fn new(config: RelayAgentConfig) -> Self {
        let shards = config.shards.max(1);
        Self {
            view: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::default()).collect(),
            meter: Mutex::default(),
            pacing: Mutex::default(),
            silent_former_agents: Mutex::default(),
            counters: Mutex::default(),
            config,
        }
    }

    /// Installs a new view.
    pub fn install(&self, view: Arc<RelayView>) {
        let candidates = view.service(self.config.service);
        let is_former = |agent: &SocketAddr| {
            let candidate = candidates.and_then(|candidates| candidates.find(*agent));
            candidate.is_some_and(|c| c.state == CandidateState::Former)
        };
        self.silent_former_agents.lock().retain(is_former);
        *self.view.write() = view;
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        *self.counters.lock()
    }

    /// Returns the load meter of the upstream.
    #[must_use]
    pub fn meter(&self) -> LoadMeter {
        *self.meter.lock()
    }

    /// Handles a message from another process; `packet` describes the carried packet, if any.
    ///
    /// `view_age` returns the time since the view was last confirmed to match the store; it is
    /// called only for flows that every other agent has denied.
    pub fn on_message(
        &self,
        now: Timestamp,
        view_age: &dyn Fn() -> Option<Duration>,
        from: SocketAddr,
        message: RelayMessage,
        packet: Option<&Packet>,
    ) -> Actions {
        if message.service != self.config.service {
            self.counters.lock().wrong_service_messages += 1;
            return Actions::from_iter([Action::Drop(DropReason::WrongService)]);
        }
        self.silent_former_agents.lock().remove(&from);
        let mut cx = Context::new(self, now, view_age);
        match (message.body, packet) {
            (RelayBody::Opening(opening), Some(packet)) => {
                opening::on_opening(&mut cx, opening, packet);
            }
            (RelayBody::Established(established), Some(packet)) => {
                established::on_established(&mut cx, from, established, packet);
            }
            (RelayBody::Probe(probe), Some(packet)) => {
                lookup::on_probe(&mut cx, from, probe, packet);
            }
            (RelayBody::Accepted(tuple), _) => lookup::on_accepted(&mut cx, from, tuple),
            (RelayBody::Located(claim), _) => lookup::on_located(&mut cx, from, claim),
            (RelayBody::NotHeld(tuple), _) => lookup::on_not_held(&mut cx, from, tuple),
            _ => cx.actions.push(Action::Drop(DropReason::UnknownFlow)),
        }
        cx.actions
    }

    /// Handles a packet that the upstream sent or returned; see [`Self::on_message`] for `view_age`.
    pub fn on_upstream_packet(
        &self,
        now: Timestamp,
        view_age: &dyn Fn() -> Option<Duration>,
        packet: &Packet,
        bytes: Bytes,
    ) -> Actions {
        let mut cx = Context::new(self, now, view_age);
        if packet.returned {
            upstream::on_returned(&mut cx, packet, bytes);
        } else {
            upstream::on_sent(&mut cx, packet, bytes);
        }
        pacing::release_requests(&mut cx);
        cx.actions
    }

    /// Ends trials, continues lookups and sends queued requests up to the upstream's limit; see
    /// [`Self::on_message`] for `view_age`.
    pub fn on_tick(&self, now: Timestamp, view_age: &dyn Fn() -> Option<Duration>) -> Actions {
        let mut cx = Context::new(self, now, view_age);
        for shard in &self.shards {
            let mut shard = shard.lock();
            lookup::on_tick(&mut cx, &mut shard);
        }
        pacing::release_requests(&mut cx);
        cx.actions
    }

    /// Removes idle flows.
    pub fn expire(&self, now: Timestamp) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.expire(now, &mut self.meter.lock());
        }
    }

    /// Resets the open flows that the upstream is known to have held, after it has terminated.
    ///
    /// Flows that it only seemed to hold may be open at another upstream.
    pub fn upstream_ended(&self) -> Actions {
        let mut actions = Actions::new();
        for shard in &self.shards {
            actions.extend(shard.lock().reset_held());
        }
        actions
    }

    fn shard(&self, flow: FlowId) -> MutexGuard<'_, FlowShard> {
        self.shards[flow.shard_index(self.shards.len())].lock()
    }
}

/// State shared by the decisions on one event.
struct Context<'a> {
    agent: &'a RelayAgent,
    view: Arc<RelayView>,
    now: Timestamp,
    view_age: &'a dyn Fn() -> Option<Duration>,
    actions: Actions,
}

impl<'a> Context<'a> {
    fn new(
        agent: &'a RelayAgent,
        now: Timestamp,
        view_age: &'a dyn Fn() -> Option<Duration>,
    ) -> Self {
        Self {
            agent,
            view: Arc::clone(&agent.view.read()),
            now,
            view_age,
            actions: Actions::new(),
        }
    }

    fn own_address(&self) -> SocketAddr {
        self.agent.config.own_address
    }

    fn count(&self, increment: impl FnOnce(&mut AgentCounters)) {
        increment(&mut self.agent.counters.lock());
    }

    fn with_meter(&self, update: impl FnOnce(&mut LoadMeter)) {
        update(&mut self.agent.meter.lock());
    }

    /// Returns true if the view matched the store at `time` or later.
    fn is_view_confirmed_since(&self, time: Timestamp) -> bool {
        let age = (self.view_age)();
        // A newer view may have come before the age was read.
        let is_current = Arc::ptr_eq(&self.view, &self.agent.view.read());
        is_current && self.view.is_confirmed() && is_confirmed_since(time, self.now, age)
    }

    fn candidates(&self) -> Option<&ServiceCandidates> {
        self.view.service(self.agent.config.service)
    }

    fn record_decision(
        &mut self,
        tuple: FiveTuple,
        decision: Decision,
        agent: Option<SocketAddr>,
        number: u64,
    ) {
        let action = self
            .view
            .record_decision(tuple, decision, agent, Some(number));
        self.actions.push(action);
    }

    /// Returns the microseconds since `earlier`, for decision records.
    fn micros_since(&self, earlier: Timestamp) -> u64 {
        u64::try_from(self.now.since(earlier).as_micros()).unwrap_or(u64::MAX)
    }

    fn send(&mut self, to: SocketAddr, body: RelayBody) {
        let service = self.agent.config.service;
        self.actions
            .push(Action::Send(to, RelayMessage { service, body }));
    }

    /// Claims the flow towards another process.
    fn send_located(&mut self, tuple: FiveTuple, evidence: Evidence, to: SocketAddr) {
        if to != self.own_address() {
            self.send(to, RelayBody::Located(Claim { tuple, evidence }));
        }
    }
}
