//! What an agent does with packets, messages and the passing of time.

mod established;
mod flow;
mod lookup;
mod opening;
mod pacing;
mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{FiveTuple, FlowId, RelayBody, RelayMessage, ServiceId};

use self::flow::FlowShard;
use self::pacing::PacingQueue;
use super::{
    Action, Actions, Decision, DropReason, LoadMeter, Packet, RelayPolicy, RelayView,
    ServiceCandidates,
};
use crate::Timestamp;

/// Fixed facts about an agent.
#[derive(Clone, Debug)]
pub struct RelayAgentConfig {
    /// Service of the upstream beside the agent.
    pub service: ServiceId,
    /// Where other processes send messages to the agent.
    pub own: SocketAddr,
    /// Number of shards of flows.
    pub shards: usize,
    /// What is done where there is a choice.
    pub policy: RelayPolicy,
}

/// An agent beside one upstream.
#[derive(Debug)]
pub struct RelayAgent {
    config: RelayAgentConfig,
    view: RwLock<Arc<RelayView>>,
    shards: Vec<Mutex<FlowShard>>,
    meter: Mutex<LoadMeter>,
    pacing: Mutex<PacingQueue>,
    counters: Mutex<AgentCounters>,
}

/// What an agent has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Opening packets given to the upstream.
    pub offered: u64,
    /// Opening packets passed on to another agent.
    pub passed_on: u64,
    /// Opening packets that nobody took.
    pub refused: u64,
    /// Opening packets that the upstream returned.
    pub returned_openings: u64,
    /// Packets of flows that the upstream returned.
    pub returned: u64,
    /// Flows that every other agent was asked for.
    pub lookups: u64,
    /// Lookups that found the flow.
    pub found: u64,
    /// Flows that no upstream holds.
    pub lost: u64,
    /// Flows that were reset since the upstream lost them.
    pub reset: u64,
    /// Messages for another service.
    pub wrong_service: u64,
}

impl RelayAgent {
    /// An agent that knows nothing yet.
    #[must_use]
    pub fn new(config: RelayAgentConfig) -> Self {
        let shards = config.shards.max(1);
        Self {
            view: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::default()).collect(),
            meter: Mutex::default(),
            pacing: Mutex::default(),
            counters: Mutex::default(),
            config,
        }
    }

    /// Puts a new view in force.
    pub fn install(&self, view: Arc<RelayView>) {
        *self.view.write() = view;
    }

    /// What the agent has done so far.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        *self.counters.lock()
    }

    /// The upstream's load.
    #[must_use]
    pub fn meter(&self) -> LoadMeter {
        *self.meter.lock()
    }

    /// Decides on a message from another process; `packet` describes the packet inside, if any.
    pub fn on_message(
        &self,
        now: Timestamp,
        from: SocketAddr,
        message: RelayMessage,
        packet: Option<&Packet>,
    ) -> Actions {
        if message.service != self.config.service {
            self.counters.lock().wrong_service += 1;
            return Actions::from_iter([Action::Drop(DropReason::WrongService)]);
        }
        let mut cx = Context::new(self, now);
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
            (RelayBody::Located(tuple), _) => lookup::on_located(&mut cx, from, tuple),
            (RelayBody::NotHeld(tuple), _) => lookup::on_not_held(&mut cx, from, tuple),
            _ => cx.actions.push(Action::Drop(DropReason::UnknownFlow)),
        }
        cx.actions
    }

    /// Decides on a packet that the upstream has sent or returned.
    pub fn on_upstream_packet(&self, now: Timestamp, packet: &Packet, bytes: Bytes) -> Actions {
        let mut cx = Context::new(self, now);
        if packet.returned {
            upstream::on_returned(&mut cx, packet, bytes);
        } else {
            upstream::on_sent(&mut cx, packet, bytes);
        }
        pacing::release(&mut cx);
        cx.actions
    }

    /// Does what is due: packets that wait for a lookup, flows that are forgotten.
    pub fn on_tick(&self, now: Timestamp) -> Actions {
        let mut cx = Context::new(self, now);
        for shard in &self.shards {
            let mut shard = shard.lock();
            lookup::on_tick(&mut cx, &mut shard);
        }
        pacing::release(&mut cx);
        cx.actions
    }

    /// Forgets flows that no packet has come for.
    pub fn expire(&self, now: Timestamp) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.expire(now, &mut self.meter.lock());
        }
    }

    /// Resets every open flow, since the upstream has ended.
    pub fn upstream_ended(&self) -> Actions {
        let mut actions = Actions::new();
        for shard in &self.shards {
            actions.extend(shard.lock().reset_open());
        }
        actions
    }

    fn shard(&self, flow: FlowId) -> MutexGuard<'_, FlowShard> {
        self.shards[flow.shard(self.shards.len())].lock()
    }
}

/// What the decisions of one event share.
struct Context<'a> {
    agent: &'a RelayAgent,
    view: Arc<RelayView>,
    now: Timestamp,
    actions: Actions,
}

impl<'a> Context<'a> {
    fn new(agent: &'a RelayAgent, now: Timestamp) -> Self {
        Self {
            agent,
            view: Arc::clone(&agent.view.read()),
            now,
            actions: Actions::new(),
        }
    }

    fn own(&self) -> SocketAddr {
        self.agent.config.own
    }

    fn count(&self, counter: impl FnOnce(&mut AgentCounters)) {
        counter(&mut self.agent.counters.lock());
    }

    fn with_meter(&self, change: impl FnOnce(&mut LoadMeter)) {
        change(&mut self.agent.meter.lock());
    }

    fn candidates(&self) -> Option<&ServiceCandidates> {
        self.view.service(self.agent.config.service)
    }

    fn note(
        &mut self,
        tuple: FiveTuple,
        decision: Decision,
        agent: Option<SocketAddr>,
        number: u64,
    ) {
        let note = self.view.note(tuple, decision, agent, Some(number));
        self.actions.push(note);
    }

    /// Microseconds since `earlier`, as notes carry them.
    fn micros_since(&self, earlier: Timestamp) -> u64 {
        u64::try_from(self.now.since(earlier).as_micros()).unwrap_or(u64::MAX)
    }

    fn send(&mut self, to: SocketAddr, body: RelayBody) {
        let service = self.agent.config.service;
        self.actions
            .push(Action::Send(to, RelayMessage { service, body }));
    }

    /// Tells a balancer, and whoever asked, that the flow is held here.
    fn announce(&mut self, tuple: FiveTuple, to: SocketAddr) {
        if to != self.own() {
            self.send(to, RelayBody::Located(tuple));
        }
    }
}
