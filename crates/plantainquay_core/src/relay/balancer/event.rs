//! Decisions of a balancer on single events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{
    Claim, EstablishedPacket, Evidence, FiveTuple, FlowId, LostFlow, OpeningPacket, RelayBody,
    RelayMessage, Route, ServiceId, StoreRevision, VisitedAgents,
};
use smallvec::smallvec;

use super::cache::{CacheEntry, CacheShard, PendingOpening};
use super::search::{MAX_VIEW_AGE, SearchInput, SearchStep, ServiceSearch};
use super::{BalancerCounters, RelayBalancer};
use crate::Timestamp;
use crate::relay::{
    Action, Actions, Candidate, CandidateState, Decision, DropReason, Packet, RelayView,
    ResetReason, ServiceCandidates, is_confirmed_since,
};

/// Time after which a caller without an answer may have retransmitted through another balancer.
const MIN_RETRANSMISSION_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of agents to which an opening packet is sent before the caller retransmits it.
const MAX_OPENING_ATTEMPTS: usize = 3;

/// State shared by the decisions on one event.
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
        let is_recent = view_age.is_some_and(|age| age <= MAX_VIEW_AGE);
        if self.view.generation().0 == 0 || !is_recent {
            self.count(|c| c.no_view_packets += 1);
            return self.actions.push(Action::Drop(DropReason::NoView));
        }
        // A packet that was read after a pause may be older than its retransmissions.
        let may_be_open = !packet.is_opening()
            || packet.is_retransmitted_opening()
            || self.balancer.pause_detector.was_paused(self.now);
        if may_be_open && !self.is_confirmed_since_first_packet(view_age, packet) {
            // The flow may have opened on a route that this process doesn't have yet.
            self.count(|c| c.no_view_packets += 1);
            return self.actions.push(Action::Drop(DropReason::NoView));
        }
        self.count(|c| c.unrouted_packets += 1);
        self.reset(packet.tuple, packet.ack, ResetReason::NoRoute);
    }

    /// Returns true if the view matched the store after the first packet of an unrouted flow.
    fn is_confirmed_since_first_packet(&self, view_age: Option<Duration>, packet: &Packet) -> bool {
        let mut shard = self.balancer.shard(packet.tuple.flow_id());
        let first_packet_at = shard.first_unplaced_packet_at(self.now, packet.tuple.flow_id());
        first_packet_at.is_some_and(|at| is_confirmed_since(at, self.now, view_age))
    }

    pub(super) fn on_opening(&mut self, route: &Route, packet: &Packet, bytes: Bytes) {
        let flow = packet.tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let known = shard.get_mut(flow, &packet.tuple);
        let is_lost = |entry: &CacheEntry| entry.search.as_ref().is_some_and(|s| s.has_ended());
        if let Some(entry) = known.filter(|entry| !is_lost(entry)) {
            let is_usable = self.is_listed(entry.service, entry.agent)
                && !self
                    .balancer
                    .suspects
                    .lock()
                    .contains(self.now, entry.agent);
            entry.last_packet_at = self.now;
            if is_usable {
                // The agent that received the first transmission knows where it forwarded that one.
                let (service, agent) = (entry.service, entry.agent);
                return self.send_opening(service, agent, bytes, entry.pending.is_none());
            }
        }
        let Some(service) = RelayView::choose_service(route, flow).map(|s| s.id) else {
            return self.actions.push(Action::Drop(DropReason::NoUpstream));
        };
        let Some(agent) = self.first_agent(service, flow) else {
            return self.refuse_opening(packet.tuple, packet.is_retransmitted_opening());
        };
        let pending = PendingOpening {
            packet: bytes.clone(),
            is_retransmission: packet.is_retransmitted_opening(),
            received_at: self.now,
            tried_agents: smallvec![agent],
            refusals: 0,
        };
        let entry = CacheEntry::new(self.now, packet.tuple, service, agent).with_pending(pending);
        shard.insert(flow, entry);
        let retry_at = self.now + self.balancer.config.policy.opening_timeout;
        shard.timers.schedule(retry_at, flow);
        self.count(|c| c.openings += 1);
        let retransmissions = u64::from(packet.ack);
        self.record_decision(
            packet.tuple,
            Decision::OpeningSent,
            agent,
            Some(retransmissions),
        );
        self.send_opening(service, agent, bytes, false);
    }

    pub(super) fn on_established(
        &mut self,
        view_age: impl FnOnce() -> Option<Duration>,
        route: &Route,
        packet: &Packet,
        bytes: Bytes,
    ) {
        let flow = packet.tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let mut search = None;
        let mut last_service = None;
        if let Some(entry) = shard.get_mut(flow, &packet.tuple) {
            entry.on_caller_packet(self.now, packet.ack);
            let search_state = entry.search.as_ref();
            if search_state.is_some_and(|s| s.has_ended_recently(self.now)) {
                return self.reset(packet.tuple, packet.ack, ResetReason::UnknownFlow);
            }
            let (service, agent) = (entry.service, entry.agent);
            if !entry.needs_search(self.now) && self.is_listed(service, agent) {
                self.count(|c| c.cached_flow_packets += 1);
                let is_searched = entry.search.is_some();
                if let Some(search) = &mut entry.search {
                    search.on_packet(self.now);
                    shard.hold_packet(flow, bytes.clone());
                }
                return self.send_established(service, agent, bytes, is_searched);
            }
            last_service = Some(service);
            search = entry.search.take().filter(|s| !s.is_over(self.now));
        }
        let mut search = search.unwrap_or_else(|| {
            let first_packet_at = shard.known_first_packet_at(flow).unwrap_or(self.now);
            Box::new(ServiceSearch::new(first_packet_at))
        });
        search.on_packet(self.now);
        let step = self.next_step(&mut search, view_age(), route, flow, last_service);
        if let SearchStep::Ask(service, owner) = step {
            let mut entry = CacheEntry::new(self.now, packet.tuple, service, owner);
            entry.on_caller_packet(self.now, packet.ack);
            shard.insert(flow, entry.with_search(search));
            shard.hold_packet(flow, bytes.clone());
            self.count(|c| c.owner_packets += 1);
            self.record_decision(packet.tuple, Decision::SentToOwner, owner, None);
            return self.send_established(service, owner, bytes, true);
        }
        if let Some(entry) = shard.get_mut(flow, &packet.tuple) {
            entry.search = Some(search);
            shard.hold_packet(flow, bytes);
        } else {
            // No service has an agent to ask; the next packet continues the search.
            shard.first_unplaced_packet_at(self.now, flow);
        }
        match step {
            SearchStep::NotHeld => {
                shard.release_packet(flow);
                self.reset(packet.tuple, packet.ack, ResetReason::UnknownFlow);
            }
            SearchStep::AwaitConfirmation => {
                self.await_confirmation(&mut shard, packet.tuple);
                self.drop_undetermined();
            }
            _ => self.drop_undetermined(),
        }
    }

    /// Handles the acceptance of a flow. If several upstreams accept one opening packet, the caller
    /// most likely uses the first answer.
    pub(super) fn on_accepted(&mut self, from: SocketAddr, service: ServiceId, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        if let Some(entry) = shard.get_mut(flow, &tuple)
            && entry.pending.take().is_some()
        {
            entry.service = service;
            entry.agent = from;
            entry.evidence = Some(Evidence::SentPackets);
        }
    }

    /// Handles an agent's claim of a flow, unless another agent has a stronger one.
    pub(super) fn on_located(&mut self, from: SocketAddr, service: ServiceId, claim: Claim) {
        let tuple = claim.tuple;
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let Some(entry) = shard.get_mut(flow, &tuple) else {
            return;
        };
        let is_weaker = entry.agent != from && entry.evidence > Some(claim.evidence);
        if is_weaker && entry.search.is_none() && self.is_listed(entry.service, entry.agent) {
            return;
        }
        entry.pending = None;
        entry.service = service;
        entry.agent = from;
        entry.evidence = Some(claim.evidence);
        entry.search = None;
        shard.release_packet(flow);
    }

    /// Handles an agent's report that its service doesn't hold a flow: asks the next service, waits,
    /// or ends the search.
    pub(super) fn on_lost(
        &mut self,
        view_age: impl FnOnce() -> Option<Duration>,
        service: ServiceId,
        lost: LostFlow,
    ) {
        let tuple = lost.tuple;
        let flow = tuple.flow_id();
        let view = Arc::clone(&self.view);
        let own_revision = view
            .service(service)
            .map_or_else(StoreRevision::default, ServiceCandidates::revision);
        let revision = lost.upstreams_revision.unwrap_or(own_revision);
        let mut shard = self.balancer.shard(flow);
        let Some(entry) = shard.get_mut(flow, &tuple) else {
            return;
        };
        let is_asked = entry.service == service;
        let search = entry.search.as_ref();
        // An agent reports again once its list is confirmed, while others are asked.
        if !is_asked && !search.is_some_and(|search| search.is_denied_by(service)) {
            return;
        }
        let new_search = || Box::new(ServiceSearch::new(self.now));
        let search = entry.search.get_or_insert_with(new_search);
        if search.has_ended() {
            return;
        }
        if is_asked {
            search.on_answer();
        }
        // A denial that waited while this process was paused is old; an agent with an older revision
        // doesn't know every upstream. The caller's next packet asks again.
        if revision < own_revision || self.balancer.pause_detector.was_paused(self.now) {
            return self.actions.push(Action::Drop(DropReason::UnknownFlow));
        }
        search.on_denied(self.now, service, revision, lost.is_complete);
        self.advance_search(&mut shard, view_age(), tuple);
    }

    /// Takes the next step of a search without a packet of the caller.
    pub(super) fn advance_search(
        &mut self,
        shard: &mut CacheShard,
        view_age: Option<Duration>,
        tuple: FiveTuple,
    ) {
        let flow = tuple.flow_id();
        let view = Arc::clone(&self.view);
        let (Some(route), Some(entry)) =
            (view.route(tuple.destination), shard.get_mut(flow, &tuple))
        else {
            return;
        };
        let Some(search) = &mut entry.search else {
            return;
        };
        let step = self.next_step(search, view_age, route, flow, None);
        let denials = search.denial_count();
        match step {
            SearchStep::Ask(service, owner) => {
                entry.service = service;
                entry.agent = owner;
                entry.evidence = None;
                self.count(|c| c.further_services_asked += 1);
                self.record_decision(tuple, Decision::FurtherServiceAsked, owner, Some(denials));
                if let Some(packet) = shard.held_packet(flow) {
                    self.send_established(service, owner, packet, true);
                }
            }
            SearchStep::AwaitPacket => {}
            SearchStep::AwaitConfirmation => self.await_confirmation(shard, tuple),
            SearchStep::Undetermined => self.drop_undetermined(),
            SearchStep::NotHeld => {
                let ack = entry.caller_ack;
                shard.release_packet(flow);
                self.reset(tuple, ack, ResetReason::UnknownFlow);
            }
        }
    }

    /// Asks for a confirmation of the view, and schedules a check whether there was one.
    fn await_confirmation(&mut self, shard: &mut CacheShard, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        self.actions.push(Action::ConfirmView);
        let search = shard.get_mut(flow, &tuple).and_then(|e| e.search.as_mut());
        if let Some(check_at) = search.and_then(|search| search.schedule_check(self.now)) {
            shard.timers.schedule(check_at, flow);
        }
    }

    fn next_step(
        &self,
        search: &mut ServiceSearch,
        view_age: Option<Duration>,
        route: &Route,
        flow: FlowId,
        last_service: Option<ServiceId>,
    ) -> SearchStep {
        search.next_step(&SearchInput {
            now: self.now,
            view: &self.view,
            view_age,
            route,
            flow,
            last_service,
        })
    }

    /// Drops a packet whose flow may be at a service that isn't known or asked.
    fn drop_undetermined(&mut self) {
        self.count(|c| c.undetermined_packets += 1);
        self.actions.push(Action::Drop(DropReason::UnknownService));
    }

    pub(super) fn on_refused(&mut self, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let mut shard = self.balancer.shard(flow);
        let entry = shard.get_mut(flow, &tuple);
        let Some(pending) = entry.and_then(|entry| entry.pending.as_mut()) else {
            return;
        };
        pending.refusals += 1;
        if pending.refusals < pending.tried_agents.len() {
            return;
        }
        let is_old = self.now.since(pending.received_at) >= MIN_RETRANSMISSION_DELAY;
        let may_be_open = pending.is_retransmission || is_old;
        shard.remove(flow);
        self.refuse_opening(tuple, may_be_open);
    }

    /// Resets a flow that no agent accepts, unless the flow may be open.
    fn refuse_opening(&mut self, tuple: FiveTuple, may_be_open: bool) {
        // A packet that was read after a pause may be older than its retransmissions.
        let may_be_open = may_be_open || self.balancer.pause_detector.was_paused(self.now);
        if may_be_open {
            self.actions.push(Action::Drop(DropReason::NoCapacity));
        } else {
            self.reset(tuple, 0, ResetReason::NoCapacity);
        }
    }

    /// Sends an unanswered opening packet to another agent; returns false if there is none to try.
    pub(super) fn retry_opening(&mut self, flow: FlowId, entry: &mut CacheEntry) -> bool {
        let Some(pending) = &mut entry.pending else {
            return false;
        };
        self.balancer.suspects.lock().add(self.now, entry.agent);
        if pending.tried_agents.len() >= MAX_OPENING_ATTEMPTS {
            return false;
        }
        let Some(agent) = self.retry_agent(entry.service, flow, &pending.tried_agents) else {
            return false;
        };
        pending.tried_agents.push(agent);
        entry.agent = agent;
        entry.evidence = None;
        let packet = pending.packet.clone();
        let service = entry.service;
        let attempts = u64::try_from(pending.tried_agents.len()).ok();
        self.count(|c| c.retried_openings += 1);
        self.record_decision(entry.tuple, Decision::OpeningRetried, agent, attempts);
        self.send_opening(service, agent, packet, false);
        true
    }

    /// Returns true if the store lists the agent's upstream for the service.
    fn is_listed(&self, service: ServiceId, agent: SocketAddr) -> bool {
        let candidate = self.view.service(service).and_then(|s| s.find(agent));
        candidate.is_some_and(|c| c.state != CandidateState::Former)
    }

    /// Selects the agent to which an opening packet is sent first.
    fn first_agent(&self, service: ServiceId, flow: FlowId) -> Option<SocketAddr> {
        let candidates = self.view.service(service)?;
        let excluded = self.balancer.suspects.lock().excluded(self.now, candidates);
        let is_usable = |candidate: &Candidate| !excluded.contains(&candidate.agent);
        let candidate = candidates
            .first_choice(flow, is_usable)
            .or_else(|| candidates.first_choice(flow, |_| true));
        Some(candidate?.agent)
    }

    /// Selects the agent to which an opening packet is sent after a timeout, preferably one that
    /// isn't a suspect.
    fn retry_agent(
        &self,
        service: ServiceId,
        flow: FlowId,
        tried_agents: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let candidates = self.view.service(service)?;
        let suspects = self.balancer.suspects.lock();
        let is_untried = |candidate: &Candidate| !tried_agents.contains(&candidate.agent);
        let is_usable = |c: &Candidate| is_untried(c) && !suspects.contains(self.now, c.agent);
        let candidate = candidates
            .first_choice(flow, is_usable)
            .or_else(|| candidates.first_choice(flow, is_untried));
        Some(candidate?.agent)
    }

    fn send_opening(&mut self, service: ServiceId, to: SocketAddr, packet: Bytes, chosen: bool) {
        let opening = OpeningPacket {
            packet,
            balancer: self.balancer.config.own_address,
            visited: VisitedAgents::new(),
            best: None,
            chosen,
        };
        self.send(service, to, RelayBody::Opening(opening));
    }

    fn send_established(
        &mut self,
        service: ServiceId,
        to: SocketAddr,
        packet: Bytes,
        wants_answer: bool,
    ) {
        let established = EstablishedPacket::new(packet, self.balancer.config.own_address)
            .with_wants_answer(wants_answer);
        self.send(service, to, RelayBody::Established(established));
    }

    fn send(&mut self, service: ServiceId, to: SocketAddr, body: RelayBody) {
        self.actions
            .push(Action::Send(to, RelayMessage { service, body }));
    }

    fn record_decision(
        &mut self,
        tuple: FiveTuple,
        decision: Decision,
        agent: SocketAddr,
        number: Option<u64>,
    ) {
        let action = self
            .view
            .record_decision(tuple, decision, Some(agent), number);
        self.actions.push(action);
    }

    fn reset(&mut self, tuple: FiveTuple, ack: u32, reason: ResetReason) {
        self.count(|c| c.reset_flows += 1);
        self.actions.push(Action::Reset { tuple, ack, reason });
    }

    fn count(&self, increment: impl FnOnce(&mut BalancerCounters)) {
        increment(&mut self.balancer.counters.lock());
    }
}
