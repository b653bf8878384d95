//! What a balancer decides on one event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{
    EstablishedPacket, FiveTuple, FlowId, OpeningPacket, RelayBody, RelayMessage, Route, ServiceId,
    VisitedAgents,
};
use smallvec::smallvec;

use super::cache::{Cached, Pending};
use super::{BalancerCounters, RelayBalancer};
use crate::Timestamp;
use crate::relay::{
    Action, Actions, Candidate, CandidateState, Decision, DropReason, Packet, RelayView,
    ResetReason,
};

/// Time after which a caller that got no answer may have sent a copy through another balancer.
const FIRST_COPY: Duration = Duration::from_millis(150);
/// Agents that one opening packet is sent to before the caller's own copy.
const MAX_OPENING_TRIES: usize = 3;

/// Age of the view up to which a missing route is taken not to exist.
const CURRENT_VIEW: Duration = Duration::from_secs(4);

/// What the decisions of one event share.
pub(super) struct Context<'a> {
    balancer: &'a RelayBalancer,
    pub(super) view: Arc<RelayView>,
    now: Timestamp,
    pub(super) actions: Actions,
}

impl<'a> Context<'a> {
    pub(super) fn new(balancer: &'a RelayBalancer, now: Timestamp) -> Self {
        Self {
            balancer,
            view: Arc::clone(&balancer.view.read()),
            now,
            actions: Actions::new(),
        }
    }

    pub(super) fn on_unrouted(&mut self, view_age: Option<Duration>, packet: &Packet) {
        let is_current = view_age.is_some_and(|age| age <= CURRENT_VIEW);
        if self.view.generation().0 == 0 || !is_current {
            self.count(|c| c.no_view += 1);
            return self.actions.push(Action::Drop(DropReason::NoView));
        }
        self.count(|c| c.no_route += 1);
        self.reset(packet.tuple, packet.ack, ResetReason::NoRoute);
    }

    pub(super) fn on_opening(&mut self, route: &Route, packet: &Packet, bytes: Bytes) {
        let flow = packet.tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        if let Some(cached) = shard.get_mut(flow, &packet.tuple) {
            let is_usable = self.may_hold(cached.service, cached.agent)
                && !self
                    .balancer
                    .suspects
                    .lock()
                    .contains(self.now, cached.agent);
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
        let Some(agent) = self.first_entry(service, flow) else {
            return self.refuse_opening(packet.tuple, packet.is_repeated_opening());
        };
        let pending = Pending {
            packet: bytes.clone(),
            is_repeated: packet.is_repeated_opening(),
            since: self.now,
            tried: smallvec![agent],
            refusals: 0,
        };
        let cached = Cached::new(self.now, packet.tuple, service, agent).with_pending(pending);
        shard.insert(flow, cached);
        let retry_at = self.now + self.balancer.config.policy.opening_retry;
        shard.due.push(retry_at, flow);
        self.count(|c| c.openings += 1);
        let copies = u64::from(packet.ack);
        self.note(packet.tuple, Decision::OpeningSent, agent, Some(copies));
        self.send_opening(service, agent, bytes, false);
    }

    pub(super) fn on_established(&mut self, route: &Route, packet: &Packet, bytes: Bytes) {
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
    pub(super) fn on_accepted(&mut self, from: SocketAddr, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        if let Some(cached) = shard.get_mut(flow, &tuple)
            && cached.pending.take().is_some()
        {
            cached.agent = from;
        }
    }

    pub(super) fn on_located(&mut self, from: SocketAddr, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let Some(cached) = shard.get_mut(flow, &tuple) else {
            return;
        };
        cached.pending = None;
        cached.agent = from;
    }

    /// Tries the route's other services, then resets the flow.
    pub(super) fn on_lost(&mut self, service: ServiceId, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let view = Arc::clone(&self.view);
        let Some(route) = view.route(tuple.destination) else {
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

    pub(super) fn on_refused(&mut self, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let cached = shard.get_mut(flow, &tuple);
        let Some(pending) = cached.and_then(|cached| cached.pending.as_mut()) else {
            return;
        };
        pending.refusals += 1;
        if pending.refusals < pending.tried.len() {
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
    pub(super) fn retry_opening(&mut self, flow: FlowId, cached: &mut Cached) -> bool {
        let Some(pending) = &mut cached.pending else {
            return false;
        };
        self.balancer.suspects.lock().add(self.now, cached.agent);
        if pending.tried.len() >= MAX_OPENING_TRIES {
            return false;
        }
        let Some(agent) = self.next_entry(cached.service, flow, &pending.tried) else {
            return false;
        };
        pending.tried.push(agent);
        cached.agent = agent;
        let packet = pending.packet.clone();
        let service = cached.service;
        let tries = u64::try_from(pending.tried.len()).ok();
        self.count(|c| c.retried_openings += 1);
        self.note(cached.tuple, Decision::OpeningRetried, agent, tries);
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

    /// The agent that an opening packet goes to at first.
    fn first_entry(&self, service: ServiceId, flow: FlowId) -> Option<SocketAddr> {
        let service = self.view.service(service)?;
        let left_out = self.balancer.suspects.lock().left_out(self.now, service);
        let usable = |candidate: &Candidate| !left_out.contains(&candidate.agent);
        let entry = service
            .entry(flow, usable)
            .or_else(|| service.entry(flow, |_| true));
        Some(entry?.agent)
    }

    /// The agent that an opening packet goes to after others were silent; one that has lately
    /// answered, if there is any.
    fn next_entry(
        &self,
        service: ServiceId,
        flow: FlowId,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let service = self.view.service(service)?;
        let suspects = self.balancer.suspects.lock();
        let untried = |candidate: &Candidate| !tried.contains(&candidate.agent);
        let usable = |c: &Candidate| untried(c) && !suspects.contains(self.now, c.agent);
        let entry = service
            .entry(flow, usable)
            .or_else(|| service.entry(flow, untried));
        Some(entry?.agent)
    }

    fn send_opening(&mut self, service: ServiceId, to: SocketAddr, packet: Bytes, chosen: bool) {
        let opening = OpeningPacket {
            packet,
            balancer: self.balancer.config.own,
            visited: VisitedAgents::new(),
            best: None,
            chosen,
        };
        self.send(service, to, RelayBody::Opening(opening));
    }

    fn send_established(&mut self, service: ServiceId, to: SocketAddr, packet: Bytes) {
        let established = EstablishedPacket::new(packet, self.balancer.config.own);
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
