//! Decisions of a balancer on packets, messages and ticks.

mod cache;
mod event;
mod search;
mod suspects;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{FiveTuple, FlowId, RelayBody, RelayMessage};
use smallvec::SmallVec;

use self::cache::CacheShard;
use self::event::Context;
use self::suspects::Suspects;
use super::pause::PauseDetector;
use super::{Action, Actions, DropReason, Packet, RelayPolicy, RelayView};
use crate::Timestamp;

/// Configuration of a balancer.
#[derive(Clone, Debug)]
pub struct RelayBalancerConfig {
    /// Address at which the balancer receives messages from other processes.
    pub own_address: SocketAddr,
    /// Number of flow shards.
    pub shards: usize,
    /// Tunable parameters.
    pub policy: RelayPolicy,
}

/// A balancer that forwards packets of callers to agents.
#[derive(Debug)]
pub struct RelayBalancer {
    config: RelayBalancerConfig,
    view: RwLock<Arc<RelayView>>,
    shards: Vec<Mutex<CacheShard>>,
    suspects: Mutex<Suspects>,
    pause_detector: PauseDetector,
    counters: Mutex<BalancerCounters>,
}

/// Counters of a balancer's decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerCounters {
    /// Opening packets sent to an agent.
    pub openings: u64,
    /// Opening packets sent to another agent after a timeout.
    pub retried_openings: u64,
    /// Packets of open flows whose agent was in the cache.
    pub cached_flow_packets: u64,
    /// Packets of open flows sent to the flow's owner.
    pub owner_packets: u64,
    /// Further services asked about a flow that one service has denied.
    pub further_services_asked: u64,
    /// Packets dropped because their flow may be at a service that is unknown here.
    pub undetermined_packets: u64,
    /// Flows reset because no route matches or no upstream accepts or holds them.
    pub reset_flows: u64,
    /// Packets to an address without a route.
    pub unrouted_packets: u64,
    /// Packets dropped because there are no routes or they may be stale.
    pub no_view_packets: u64,
}

impl RelayBalancer {
    /// Creates a balancer without a view or flows.
    #[must_use]
    pub fn new(config: RelayBalancerConfig) -> Self {
        let shards = config.shards.max(1);
        Self {
            view: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::default()).collect(),
            suspects: Mutex::default(),
            pause_detector: PauseDetector::default(),
            counters: Mutex::default(),
            config,
        }
    }

    /// Installs a new view.
    pub fn install(&self, view: Arc<RelayView>) {
        *self.view.write() = view;
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> BalancerCounters {
        *self.counters.lock()
    }

    /// Handles a packet from a caller.
    ///
    /// `view_age` returns the time since the routes were last confirmed to match the store; it is
    /// called only for packets without a route and for flows that aren't in the cache.
    pub fn on_packet(
        &self,
        now: Timestamp,
        view_age: impl FnOnce() -> Option<Duration>,
        packet: &Packet,
        bytes: Bytes,
    ) -> Actions {
        let mut cx = Context::new(self, now);
        let view = Arc::clone(&cx.view);
        let view_age = || self.age_of(&view, view_age());
        let Some(route) = view.route(packet.tuple.destination) else {
            cx.on_unrouted(view_age(), packet);
            return cx.actions;
        };
        if packet.is_opening() {
            cx.on_opening(route, packet, bytes);
        } else {
            cx.on_established(view_age, route, packet, bytes);
        }
        cx.actions
    }

    /// Handles a message from an agent; `view_age` is called only for flows that a service denies.
    pub fn on_message(
        &self,
        now: Timestamp,
        view_age: impl FnOnce() -> Option<Duration>,
        from: SocketAddr,
        message: &RelayMessage,
    ) -> Actions {
        self.suspects.lock().remove(from);
        let mut cx = Context::new(self, now);
        let view = Arc::clone(&cx.view);
        let view_age = || self.age_of(&view, view_age());
        match message.body {
            RelayBody::Accepted(tuple) => cx.on_accepted(from, message.service, tuple),
            RelayBody::Located(claim) => cx.on_located(from, message.service, claim),
            RelayBody::Lost(lost) => cx.on_lost(view_age, message.service, lost),
            RelayBody::Refused(tuple) => cx.on_refused(tuple),
            _ => cx.actions.push(Action::Drop(DropReason::UnknownFlow)),
        }
        cx.actions
    }

    /// Retries unanswered opening packets, continues searches that wait for a confirmation of the
    /// view, and expires suspects; `view_age` is called only for such searches.
    pub fn on_tick(&self, now: Timestamp, view_age: impl Fn() -> Option<Duration>) -> Actions {
        let mut cx = Context::new(self, now);
        self.pause_detector.tick(now);
        self.suspects.lock().expire(now);
        for shard in &self.shards {
            let mut shard = shard.lock();
            let mut searched: SmallVec<[FiveTuple; 4]> = SmallVec::new();
            while let Some((flow, entry)) = shard.next_expired(now) {
                if entry.search.as_ref().is_some_and(|s| s.is_check_due(now)) {
                    searched.push(entry.tuple);
                } else if cx.retry_opening(flow, entry) {
                    shard
                        .timers
                        .schedule(now + self.config.policy.opening_timeout, flow);
                }
            }
            for tuple in searched {
                let age = self.age_of(&cx.view, view_age());
                cx.advance_search(&mut shard, age, tuple);
            }
        }
        cx.actions
    }

    /// Removes idle flows.
    pub fn expire(&self, now: Timestamp) {
        for shard in &self.shards {
            shard.lock().expire(now);
        }
    }

    /// Returns `age` if it is that of `view`: a newer view may have come before the age was read.
    fn age_of(&self, view: &Arc<RelayView>, age: Option<Duration>) -> Option<Duration> {
        age.filter(|_| Arc::ptr_eq(view, &self.view.read()))
    }

    fn shard(&self, flow: FlowId) -> MutexGuard<'_, CacheShard> {
        self.shards[flow.shard_index(self.shards.len())].lock()
    }
}
