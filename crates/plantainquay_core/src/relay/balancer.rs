//! What a balancer does with packets, messages and the passing of time.

mod cache;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::{Mutex, MutexGuard, RwLock};
use plantainquay_schema::{
    EstablishedPacket, FiveTuple, FlowId, OpeningPacket, RelayBody, RelayMessage, Route, ServiceId,
    Visited,
};

use self::cache::{CacheShard, Cached, Pending};
use super::pause::PauseMeter;
use super::{
    Action, Actions, CandidateState, Decision, DropReason, Packet, RelayView, ResetReason,
};
use crate::Timestamp;

/// Time after which an opening packet without an answer is sent to another agent.
///
/// Several times the way to an agent that is not congested and back, and well before the caller's
/// own copy.
const OPENING_RETRY: Duration = Duration::from_millis(60);
/// Time after which a caller that got no answer may have sent a copy through another balancer.
const FIRST_COPY: Duration = Duration::from_millis(150);
/// Agents that one opening packet is sent to before the caller's own copy.
const MAX_OPENING_TRIES: u32 = 3;
/// Time for which an agent that didn't answer an opening packet gets no other one.
const SUSPICION: Duration = Duration::from_secs(2);

/// Fixed facts about a balancer.
#[derive(Clone, Debug)]
pub struct RelayBalancerConfig {
    /// Where other processes send messages to the balancer.
    pub own: SocketAddr,
    /// Number of shards of flows.
    pub shards: usize,
}

/// A balancer.
#[derive(Debug)]
pub struct RelayBalancer {
    config: RelayBalancerConfig,
    view: RwLock<Arc<RelayView>>,
    shards: Vec<Mutex<CacheShard>>,
    suspects: Mutex<HashMap<SocketAddr, Timestamp>>,
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

/// Whether what is known was confirmed lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Certainty {
    /// A route that is missing doesn't exist.
    Current,
    /// There may be newer routes.
    Stale,
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
    /// `view_age` is the time since routes were last known to be current.
    pub fn on_packet(
        &self,
        now: Timestamp,
        view_age: Option<Duration>,
        packet: &Packet,
        bytes: Bytes,
    ) -> Actions {
        let mut cx = Context::new(self, now);
        let Some(route) = cx.view.route(packet.tuple.destination).cloned() else {
            cx.on_unrouted(certainty(view_age), packet);
            return cx.actions;
        };
        if packet.is_opening() {
            cx.on_opening(&route, packet, bytes);
        } else {
            cx.on_established(&route, packet, bytes);
        }
        cx.actions
    }

    /// Decides on a message from an agent.
    pub fn on_message(&self, now: Timestamp, from: SocketAddr, message: &RelayMessage) -> Actions {
        self.suspects.lock().remove(&from);
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
        self.suspects
            .lock()
            .retain(|_, since| now.since(*since) < SUSPICION);
        for shard in &self.shards {
            let mut shard = shard.lock();
            while let Some((flow, cached)) = shard.next_due(now) {
                if cx.retry_opening(flow, cached) {
                    shard.due.push(now + OPENING_RETRY, flow);
                }
            }
        }
        cx.actions
    }

    /// Forgets flows that no packet has come for; returns how many are left.
    pub fn expire(&self, now: Timestamp) -> usize {
        let shards = self.shards.iter();
        shards.map(|shard| shard.lock().expire(now)).sum()
    }

    fn shard(&self, flow: FlowId) -> MutexGuard<'_, CacheShard> {
        let index = usize::try_from(flow.0 >> 32).unwrap_or(0) % self.shards.len();
        self.shards[index].lock()
    }

    fn is_suspect(&self, now: Timestamp, agent: SocketAddr) -> bool {
        let suspects = self.suspects.lock();
        let since = suspects.get(&agent);
        since.is_some_and(|since| now.since(*since) < SUSPICION)
    }
}

/// What the decisions of one event share.
struct Context<'a> {
    balancer: &'a RelayBalancer,
    view: Arc<RelayView>,
    now: Timestamp,
    actions: Actions,
}

impl<'a> Context<'a> {
    fn new(balancer: &'a RelayBalancer, now: Timestamp) -> Self {
        Self {
            balancer,
            view: Arc::clone(&balancer.view.read()),
            now,
            actions: Actions::new(),
        }
    }

    fn on_unrouted(&mut self, certainty: Certainty, packet: &Packet) {
        if self.view.generation().0 == 0 || certainty == Certainty::Stale {
            self.count(|c| c.no_view += 1);
            return self.actions.push(Action::Drop(DropReason::NoView));
        }
        self.count(|c| c.no_route += 1);
        self.reset(packet.tuple, packet.ack, ResetReason::NoRoute);
    }

    fn on_opening(&mut self, route: &Route, packet: &Packet, bytes: Bytes) {
        let flow = packet.tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        if let Some(cached) = shard.get_mut(flow, &packet.tuple) {
            let is_usable = self.may_hold(cached.service, cached.agent)
                && !self.balancer.is_suspect(self.now, cached.agent);
            cached.last_packet = self.now;
            if is_usable {
                // A copy follows the first packet; the agent knows where it went.
                let (service, agent) = (cached.service, cached.agent);
                return self.send_opening(service, agent, bytes, cached.pending.is_none());
            }
        }
        let Some(service) = RelayView::choose_service(route, flow).map(|s| s.id) else {
            return self.actions.push(Action::Drop(DropReason::NoUpstream));
        };
        let Some(agent) = self.entry(service, flow, None) else {
            return self.refuse_opening(packet.tuple, packet.is_repeated_opening());
        };
        let pending = Pending {
            packet: bytes.clone(),
            is_repeated: packet.is_repeated_opening(),
            since: self.now,
            tries: 1,
            refusals: 0,
        };
        let cached = Cached::new(self.now, packet.tuple, service, agent).with_pending(pending);
        shard.insert(flow, cached);
        shard.due.push(self.now + OPENING_RETRY, flow);
        self.count(|c| c.openings += 1);
        let copies = u64::from(packet.ack);
        self.note(packet.tuple, Decision::OpeningSent, agent, Some(copies));
        self.send_opening(service, agent, bytes, false);
    }

    fn on_established(&mut self, route: &Route, packet: &Packet, bytes: Bytes) {
        let flow = packet.tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let (service, agent) = match shard.get_mut(flow, &packet.tuple) {
            Some(cached) if self.may_hold(cached.service, cached.agent) => {
                cached.last_packet = self.now;
                cached.pending = None;
                cached.caller_ack = packet.ack;
                self.count(|c| c.remembered += 1);
                (cached.service, cached.agent)
            }
            _ => {
                let Some(service) = RelayView::choose_service(route, flow).map(|s| s.id) else {
                    return self.actions.push(Action::Drop(DropReason::NoUpstream));
                };
                let Some(owner) = self.owner(service, flow) else {
                    return self.actions.push(Action::Drop(DropReason::NoUpstream));
                };
                let mut cached = Cached::new(self.now, packet.tuple, service, owner);
                cached.caller_ack = packet.ack;
                shard.insert(flow, cached);
                self.count(|c| c.to_owner += 1);
                self.note(packet.tuple, Decision::OwnerAsked, owner, None);
                (service, owner)
            }
        };
        self.send_established(service, agent, bytes);
    }

    /// Of several upstreams that accept copies of one opening packet, the caller most likely takes
    /// the first.
    fn on_accepted(&mut self, from: SocketAddr, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        if let Some(cached) = shard.get_mut(flow, &tuple)
            && cached.pending.take().is_some()
        {
            cached.agent = from;
        }
    }

    fn on_located(&mut self, from: SocketAddr, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let Some(cached) = shard.get_mut(flow, &tuple) else {
            return;
        };
        cached.pending = None;
        cached.agent = from;
    }

    /// Tries the route's other services, then resets the flow.
    fn on_lost(&mut self, service: ServiceId, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let Some(route) = self.view.route(tuple.destination).cloned() else {
            return;
        };
        let mut shard = self.balancer.shard(flow);
        let Some(cached) = shard.get_mut(flow, &tuple) else {
            return;
        };
        if cached.service != service {
            return;
        }
        cached.denied.push(service);
        let other = route
            .services
            .iter()
            .map(|s| s.id)
            .find(|id| !cached.denied.contains(id));
        let owner = other.and_then(|id| Some((id, self.owner(id, flow)?)));
        if let Some((service, owner)) = owner {
            // The caller repeats its packet, which then goes there.
            cached.service = service;
            cached.agent = owner;
            return;
        }
        let ack = cached.caller_ack;
        shard.remove(flow);
        self.reset(tuple, ack, ResetReason::UnknownFlow);
    }

    fn on_refused(&mut self, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let cached = shard.get_mut(flow, &tuple);
        let Some(pending) = cached.and_then(|cached| cached.pending.as_mut()) else {
            return;
        };
        pending.refusals += 1;
        if pending.refusals < pending.tries {
            return;
        }
        let is_old = self.now.since(pending.since) >= FIRST_COPY;
        let may_be_open = pending.is_repeated || is_old;
        shard.remove(flow);
        self.refuse_opening(tuple, may_be_open);
    }

    /// Tells the caller at once that nobody takes its flow, unless the flow may be open.
    fn refuse_opening(&mut self, tuple: FiveTuple, is_repeated: bool) {
        // A packet that has waited in a paused process may be older than its copies.
        let may_be_open = is_repeated || self.balancer.pauses.is_recent(self.now);
        if may_be_open {
            self.actions.push(Action::Drop(DropReason::NoCapacity));
        } else {
            self.reset(tuple, 0, ResetReason::NoCapacity);
        }
    }

    /// Sends an opening packet that got no answer to another agent; returns whether it did.
    fn retry_opening(&mut self, flow: FlowId, cached: &mut Cached) -> bool {
        let Some(pending) = &mut cached.pending else {
            return false;
        };
        if pending.tries >= MAX_OPENING_TRIES {
            return false;
        }
        let silent = cached.agent;
        self.balancer.suspects.lock().insert(silent, self.now);
        let Some(agent) = self.entry(cached.service, flow, Some(silent)) else {
            return false;
        };
        pending.tries += 1;
        cached.agent = agent;
        let packet = pending.packet.clone();
        let service = cached.service;
        let tries = u64::from(pending.tries);
        self.count(|c| c.retried_openings += 1);
        self.note(cached.tuple, Decision::OpeningRetried, agent, Some(tries));
        self.send_opening(service, agent, packet, false);
        true
    }

    /// Whether the agent's upstream is one that may hold flows of the service.
    fn may_hold(&self, service: ServiceId, agent: SocketAddr) -> bool {
        let candidate = self.view.service(service).and_then(|s| s.find(agent));
        candidate.is_some_and(|c| c.state != CandidateState::Former)
    }

    fn owner(&self, service: ServiceId, flow: FlowId) -> Option<SocketAddr> {
        let owner = self.view.service(service)?.owner(flow)?;
        Some(owner.agent)
    }

    fn entry(
        &self,
        service: ServiceId,
        flow: FlowId,
        excluded: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let usable = |candidate: &super::Candidate| {
            Some(candidate.agent) != excluded
                && !self.balancer.is_suspect(self.now, candidate.agent)
        };
        let entry = self.view.service(service)?.entry(flow, usable)?;
        Some(entry.agent)
    }

    fn send_opening(&mut self, service: ServiceId, to: SocketAddr, packet: Bytes, chosen: bool) {
        let opening = OpeningPacket {
            packet,
            balancer: self.balancer.config.own,
            visited: Visited::new(),
            best: None,
            chosen,
        };
        self.send(service, to, RelayBody::Opening(opening));
    }

    fn send_established(&mut self, service: ServiceId, to: SocketAddr, packet: Bytes) {
        let established = EstablishedPacket {
            packet,
            balancer: self.balancer.config.own,
            hops: 0,
        };
        self.send(service, to, RelayBody::Established(established));
    }

    fn send(&mut self, service: ServiceId, to: SocketAddr, body: RelayBody) {
        self.actions
            .push(Action::Send(to, RelayMessage { service, body }));
    }

    fn note(
        &mut self,
        tuple: FiveTuple,
        decision: Decision,
        agent: SocketAddr,
        number: Option<u64>,
    ) {
        let note = self.view.note(tuple, decision, Some(agent), number);
        self.actions.push(note);
    }

    fn reset(&mut self, tuple: FiveTuple, ack: u32, reason: ResetReason) {
        self.count(|c| c.reset += 1);
        self.actions.push(Action::Reset { tuple, ack, reason });
    }

    fn count(&self, counter: impl FnOnce(&mut BalancerCounters)) {
        counter(&mut self.balancer.counters.lock());
    }
}

/// Age of the view up to which a missing route is taken not to exist.
const CURRENT_VIEW: Duration = Duration::from_secs(4);

fn certainty(view_age: Option<Duration>) -> Certainty {
    match view_age {
        Some(age) if age <= CURRENT_VIEW => Certainty::Current,
        _ => Certainty::Stale,
    }
}
