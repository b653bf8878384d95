//! What a balancer does with packets, messages and the passing of time.

mod cache;
mod event;
mod suspects;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{FlowId, RelayBody, RelayMessage};

use self::cache::CacheShard;
use self::event::Context;
use self::suspects::Suspects;
use super::pause::PauseMeter;
use super::{Action, Actions, DropReason, Packet, RelayPolicy, RelayView};
use crate::Timestamp;

/// Fixed facts about a balancer.
#[derive(Clone, Debug)]
pub struct RelayBalancerConfig {
    /// Where other processes send messages to the balancer.
    pub own: SocketAddr,
    /// Number of shards of flows.
    pub shards: usize,
    /// What is done where there is a choice.
    pub policy: RelayPolicy,
}

/// A balancer.
#[derive(Debug)]
pub struct RelayBalancer {
    config: RelayBalancerConfig,
    view: RwLock<Arc<RelayView>>,
    shards: Vec<Mutex<CacheShard>>,
    suspects: Mutex<Suspects>,
    pauses: PauseMeter,
    counters: Mutex<BalancerCounters>,
}

/// What a balancer has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerCounters {
    /// Opening packets sent to an agent.
    pub openings: u64,
    /// Opening packets sent to another agent, since the first one didn't answer.
    pub retried_openings: u64,
    /// Packets of open flows whose agent was remembered.
    pub remembered: u64,
    /// Packets of open flows that went to the flow's owner.
    pub to_owner: u64,
    /// Flows reset since no upstream takes or holds them.
    pub reset: u64,
    /// Packets to an address without a route.
    pub no_route: u64,
    /// Packets dropped since nothing is known of routes or upstreams.
    pub no_view: u64,
}

impl RelayBalancer {
    /// A balancer that knows nothing yet.
    #[must_use]
    pub fn new(config: RelayBalancerConfig) -> Self {
        let shards = config.shards.max(1);
        Self {
            view: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::default()).collect(),
            suspects: Mutex::default(),
            pauses: PauseMeter::default(),
            counters: Mutex::default(),
            config,
        }
    }

    /// Puts a new view in force.
    pub fn install(&self, view: Arc<RelayView>) {
        *self.view.write() = view;
    }

    /// What the balancer has done so far.
    #[must_use]
    pub fn counters(&self) -> BalancerCounters {
        *self.counters.lock()
    }

    /// Decides on a packet from a caller.
    ///
    /// `view_age` tells the time since routes were last known to be current; only packets without
    /// a route ask.
    pub fn on_packet(
        &self,
        now: Timestamp,
        view_age: impl FnOnce() -> Option<Duration>,
        packet: &Packet,
        bytes: Bytes,
    ) -> Actions {
        let mut cx = Context::new(self, now);
        let view = Arc::clone(&cx.view);
        let Some(route) = view.route(packet.tuple.destination) else {
            cx.on_unrouted(view_age(), packet);
            return cx.actions;
        };
        if packet.is_opening() {
            cx.on_opening(route, packet, bytes);
        } else {
            cx.on_established(route, packet, bytes);
        }
        cx.actions
    }

    /// Decides on a message from an agent.
    pub fn on_message(&self, now: Timestamp, from: SocketAddr, message: &RelayMessage) -> Actions {
        self.suspects.lock().remove(from);
        let mut cx = Context::new(self, now);
        match message.body {
            RelayBody::Accepted(tuple) => cx.on_accepted(from, tuple),
            RelayBody::Located(tuple) => cx.on_located(from, tuple),
            RelayBody::Lost(tuple) => cx.on_lost(message.service, tuple),
            RelayBody::Refused(tuple) => cx.on_refused(tuple),
            _ => cx.actions.push(Action::Drop(DropReason::UnknownFlow)),
        }
        cx.actions
    }

    /// Does what is due: opening packets without an answer, flows that are forgotten.
    pub fn on_tick(&self, now: Timestamp) -> Actions {
        let mut cx = Context::new(self, now);
        self.pauses.tick(now);
        self.suspects.lock().expire(now);
        for shard in &self.shards {
            let mut shard = shard.lock();
            while let Some((flow, cached)) = shard.next_due(now) {
                if cx.retry_opening(flow, cached) {
                    shard.due.push(now + self.config.policy.opening_retry, flow);
                }
            }
        }
        cx.actions
    }

    /// Forgets flows that no packet has come for.
    pub fn expire(&self, now: Timestamp) {
        for shard in &self.shards {
            shard.lock().expire(now);
        }
    }

    fn shard(&self, flow: FlowId) -> MutexGuard<'_, CacheShard> {
        self.shards[flow.shard(self.shards.len())].lock()
    }
}
