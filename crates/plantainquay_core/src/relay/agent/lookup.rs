//! Lookup of the agent whose upstream holds a flow that isn't known locally.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{
    Claim, EstablishedPacket, Evidence, FiveTuple, FlowId, LostFlow, RelayBody, StoreRevision,
};
use smallvec::SmallVec;

use super::flow::{FlowEntry, FlowShard, FlowState, Holder, Lookup, Loss, PacketQueue, Trial};
use super::{Action, Context};
use crate::Timestamp;
use crate::relay::{Candidate, CandidateState, Decision, DropReason, Packet, ServiceCandidates};

/// Time without a returned packet after which the upstream is assumed to hold a flow on trial.
///
/// The upstream returns packets of other flows immediately; the rest of the time lets a busy agent
/// read its sockets.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which agents that haven't answered are probed again.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(80);
/// Time for which the claim of an agent that the store doesn't list is valid.
const CLAIM_TTL: Duration = Duration::from_secs(1);
/// Time within which all denials of one flow must arrive.
///
/// An agent with an older denial may have restarted since, and others with it.
const DENIAL_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a lookup that every known agent has denied waits for the confirmation that no
/// other agent is listed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval at which such a lookup checks for the confirmation: at each tick.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which a lookup waits for answers from agents that the store no longer lists.
const FORMER_AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for agents that didn't answer an earlier lookup either: several round trips to an agent
/// that has resumed since.
const SILENT_AGENT_TIMEOUT: Duration = Duration::from_millis(60);

/// Handles a probe: a packet of a flow that `from` looks up.
pub(super) fn on_probe(
    cx: &mut Context<'_>,
    from: SocketAddr,
    probe: EstablishedPacket,
    packet: &Packet,
) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(entry) = shard.get_mut(flow, &packet.tuple) {
        if matches!(entry.state, FlowState::Open) {
            cx.send_located(packet.tuple, Evidence::SentPackets, from);
            cx.send_located(packet.tuple, Evidence::SentPackets, probe.balancer);
            entry.balancer = Some(probe.balancer);
            return super::established::deliver_or_enqueue(cx, entry, probe, packet);
        }
        // The entry may be stale; only the upstream knows whether it holds the flow.
        cx.with_meter(|meter| entry.close(cx.now, meter));
    }
    start_trial(cx, &mut shard, probe, packet, Some(from));
}

/// Starts a trial of a flow: sends its first packet to the upstream to test whether it holds the
/// flow.
pub(super) fn start_trial(
    cx: &mut Context<'_>,
    shard: &mut FlowShard,
    first: EstablishedPacket,
    packet: &Packet,
    requester: Option<SocketAddr>,
) {
    let state = FlowState::OnTrial(Box::new(Trial::new(cx.now, requester)));
    shard
        .timers
        .schedule(cx.now + TRIAL_TIMEOUT, packet.tuple.flow_id());
    if let Some(entry) = shard.insert(cx.now, packet.tuple, state) {
        super::established::try_upstream(cx, entry, first, packet);
    } else {
        cx.actions.push(Action::Drop(DropReason::LookupFull));
    }
}

/// Handles a packet that the upstream returned during a trial.
pub(super) fn on_trial_returned(cx: &mut Context<'_>, entry: &mut FlowEntry, bytes: Bytes) {
    let FlowState::OnTrial(trial) = &mut entry.state else {
        return;
    };
    if let Some(requester) = trial.requester {
        let tuple = entry.tuple;
        // The requester keeps track of the holder; here the holder stays unknown.
        entry.state = FlowState::Remote(Holder {
            agent: requester,
            evidence: Evidence::Silence,
            claimed_at: cx.now,
        });
        return cx.send(requester, RelayBody::NotHeld(tuple));
    }
    let queue = std::mem::take(&mut trial.queue);
    start_lookup(cx, entry, bytes, queue);
}

/// Starts a lookup: probes every other agent of the service with a packet of the flow.
pub(super) fn start_lookup(
    cx: &mut Context<'_>,
    entry: &mut FlowEntry,
    bytes: Bytes,
    queue: PacketQueue,
) {
    let Some(balancer) = entry.balancer else {
        return cx.actions.push(Action::Drop(DropReason::UnknownFlow));
    };
    // The upstream doesn't work on a request whose packet it returned.
    cx.with_meter(|meter| {
        entry.end_request(cx.now, meter);
    });
    cx.count(|c| c.lookups += 1);
    let mut lookup = Lookup {
        requested_at: cx.now,
        started_at: cx.now,
        last_round_at: cx.now,
        next_tick_at: cx.now + PROBE_INTERVAL,
        probe: EstablishedPacket::new(bytes, balancer),
        denied_by: SmallVec::new(),
        awaits_confirmation: false,
        reported_to: None,
        queue,
    };
    let probed_agents = send_probes(cx, &mut lookup);
    cx.record_decision(entry.tuple, Decision::LookupStarted, None, probed_agents);
    entry.state = FlowState::LookingUp(Box::new(lookup));
    finish_if_denied(cx, entry);
}

/// Continues a lookup with another packet of the caller: starts over if the lookup is old, and
/// probes again if the last round was at least [`PROBE_INTERVAL`] ago.
///
/// Returns the time of the next tick, if a timer must be scheduled for it.
pub(super) fn continue_lookup(cx: &mut Context<'_>, entry: &mut FlowEntry) -> Option<Timestamp> {
    let FlowState::LookingUp(lookup) = &mut entry.state else {
        return None;
    };
    entry.last_packet_at = cx.now;
    lookup.reported_to = None;
    if awaits_confirmation(cx, lookup) {
        await_confirmation(cx, entry);
        return confirmation_check_at(entry);
    }
    if restart_if_old(cx, lookup) {
        return Some(cx.now + PROBE_INTERVAL);
    }
    if cx.now.since(lookup.last_round_at) >= PROBE_INTERVAL {
        send_probes(cx, lookup);
    }
    finish_if_denied(cx, entry);
    confirmation_check_at(entry)
}

/// Probes every other agent that hasn't denied the flow; returns the number of probes.
fn send_probes(cx: &mut Context<'_>, lookup: &mut Lookup) -> u64 {
    lookup.last_round_at = cx.now;
    let others: SmallVec<[SocketAddr; 16]> = unanswered(cx, lookup).map(|c| c.agent).collect();
    for agent in &others {
        cx.send(*agent, RelayBody::Probe(lookup.probe.clone()));
    }
    others.len() as u64
}

/// Returns the other agents that haven't denied the flow.
fn unanswered<'a>(cx: &'a Context<'_>, lookup: &'a Lookup) -> impl Iterator<Item = &'a Candidate> {
    let own = cx.own_address();
    let candidates = cx.candidates().into_iter().flat_map(ServiceCandidates::all);
    candidates.filter(move |c| c.agent != own && !lookup.denied_by.contains(&c.agent))
}

/// Handles the claim of an agent that its upstream holds a flow, unless there is a stronger one.
pub(super) fn on_located(cx: &mut Context<'_>, from: SocketAddr, claim: Claim) {
    let tuple = claim.tuple;
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let holder = Holder {
        agent: from,
        evidence: claim.evidence,
        claimed_at: cx.now,
    };
    let Some(entry) = shard.get_mut(flow, &tuple) else {
        shard.insert(cx.now, tuple, FlowState::Remote(holder));
        return;
    };
    if entry.counts_as_open() {
        if entry.evidence() >= claim.evidence {
            return;
        }
        cx.with_meter(|meter| entry.close(cx.now, meter));
    }
    if let FlowState::Remote(current) = &entry.state
        && current.agent != from
        && current.evidence > claim.evidence
        && may_still_hold(cx, current)
    {
        return;
    }
    entry.last_packet_at = cx.now;
    let state = std::mem::replace(&mut entry.state, FlowState::Remote(holder));
    let queue = match state {
        FlowState::LookingUp(lookup) => {
            cx.count(|c| c.found_flows += 1);
            let micros = cx.micros_since(lookup.started_at);
            cx.record_decision(tuple, Decision::LookupFound, Some(from), micros);
            lookup.queue
        }
        FlowState::OnTrial(trial) => trial.queue,
        FlowState::Offered(offered) => {
            // Two upstreams received the opening packet; the caller uses the answer of one of them.
            entry.state = FlowState::Offered(offered);
            return;
        }
        _ => return,
    };
    for established in queue {
        super::established::forward(cx, from, established);
    }
}

/// Handles the acceptance, by another agent's upstream, of a flow that this agent owns.
pub(super) fn on_accepted(cx: &mut Context<'_>, from: SocketAddr, tuple: FiveTuple) {
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if shard.get_mut(flow, &tuple).is_none() {
        let holder = Holder {
            agent: from,
            evidence: Evidence::SentPackets,
            claimed_at: cx.now,
        };
        shard.insert(cx.now, tuple, FlowState::Remote(holder));
    }
}

/// Returns true if packets may be forwarded to an agent that claimed the flow.
///
/// The claim of an agent that the store no longer lists must be recent.
pub(super) fn may_still_hold(cx: &Context<'_>, holder: &Holder) -> bool {
    let candidate = cx.candidates().and_then(|c| c.find(holder.agent));
    let is_listed = candidate.is_some_and(|c| c.state != CandidateState::Former);
    is_listed || cx.now.since(holder.claimed_at) < CLAIM_TTL
}

pub(super) fn on_not_held(cx: &mut Context<'_>, from: SocketAddr, tuple: FiveTuple) {
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(entry) = shard.get_mut(flow, &tuple) else {
        return;
    };
    match &mut entry.state {
        FlowState::LookingUp(lookup) => {
            if lookup.denied_by.contains(&from) {
                return;
            }
            if restart_if_old(cx, lookup) {
                shard.timers.schedule(cx.now + PROBE_INTERVAL, flow);
                return;
            }
            lookup.denied_by.push(from);
            finish_if_denied(cx, entry);
            if let Some(check_at) = confirmation_check_at(entry) {
                shard.timers.schedule(check_at, flow);
            }
        }
        FlowState::Remote(holder) if holder.agent == from => entry.state = FlowState::Closing,
        _ => {}
    }
}

/// Starts over if denials may have been sent more than [`DENIAL_WINDOW`] ago; returns true if so.
fn restart_if_old(cx: &mut Context<'_>, lookup: &mut Lookup) -> bool {
    let is_old = cx.now.since(lookup.started_at) > DENIAL_WINDOW;
    if is_old {
        lookup.restart(cx.now);
        send_probes(cx, lookup);
    }
    is_old
}

/// Logs the agents that a lookup still waits for after its last round.
fn record_unanswered(cx: &mut Context<'_>, entry: &FlowEntry) {
    let FlowState::LookingUp(lookup) = &entry.state else {
        return;
    };
    let first = unanswered(cx, lookup)
        .next()
        .map(|candidate| candidate.agent);
    let count = unanswered(cx, lookup).count() as u64;
    cx.record_decision(entry.tuple, Decision::LookupUnanswered, first, count);
}

/// Ends the lookup if every upstream that may hold the flow has denied it.
fn finish_if_denied(cx: &mut Context<'_>, entry: &mut FlowEntry) {
    let FlowState::LookingUp(lookup) = &entry.state else {
        return;
    };
    let Some(upstreams_revision) = cx.candidates().map(ServiceCandidates::revision) else {
        return;
    };
    if awaits_answer(cx, lookup) {
        return;
    }
    if !cx.is_view_confirmed_since(lookup.requested_at) {
        return await_confirmation(cx, entry);
    }
    let tuple = entry.tuple;
    let micros = cx.micros_since(lookup.requested_at);
    cx.record_decision(tuple, Decision::LookupLost, None, micros);
    entry.state = FlowState::Lost(Loss {
        found_at: cx.now,
        upstreams_revision,
    });
    cx.count(|c| c.lost_flows += 1);
    if let Some(balancer) = entry.balancer {
        send_lost(cx, tuple, balancer, upstreams_revision, true);
    }
}

/// Continues a lookup that every known upstream has denied, since the list of upstreams wasn't
/// confirmed after the flow's first packet: it may lack the one that holds the flow.
///
/// The balancer learns that the known ones have denied it.
fn await_confirmation(cx: &mut Context<'_>, entry: &mut FlowEntry) {
    let FlowState::LookingUp(lookup) = &mut entry.state else {
        return;
    };
    let Some(upstreams_revision) = cx.candidates().map(ServiceCandidates::revision) else {
        return;
    };
    cx.actions.push(Action::ConfirmView);
    lookup.awaits_confirmation = true;
    lookup.next_tick_at = cx.now + CONFIRMATION_CHECK_INTERVAL;
    let balancer = entry.balancer.filter(|b| lookup.reported_to != Some(*b));
    if let Some(balancer) = balancer {
        lookup.reported_to = Some(balancer);
        let denials = lookup.denied_by.len() as u64;
        cx.record_decision(entry.tuple, Decision::LookupUnconfirmed, None, denials);
        send_lost(cx, entry.tuple, balancer, upstreams_revision, false);
    }
}

/// Returns the time at which a lookup that waits for a confirmation checks for it.
pub(super) fn confirmation_check_at(entry: &FlowEntry) -> Option<Timestamp> {
    match &entry.state {
        FlowState::LookingUp(lookup) if lookup.awaits_confirmation => Some(lookup.next_tick_at),
        _ => None,
    }
}

/// Returns true if every known upstream has denied the flow, but the list may lack one.
fn awaits_confirmation(cx: &Context<'_>, lookup: &Lookup) -> bool {
    !awaits_answer(cx, lookup) && !cx.is_view_confirmed_since(lookup.requested_at)
}

/// Returns true if the lookup waits for an agent that may hold the flow.
///
/// An agent that has left the list is awaited for a limited time, which is shorter while it stays
/// silent. If the lookup no longer waits, the agents that haven't answered are recorded as silent.
fn awaits_answer(cx: &Context<'_>, lookup: &Lookup) -> bool {
    let elapsed = cx.now.since(lookup.started_at);
    let mut silent_former = cx.agent.silent_former_agents.lock();
    let is_awaited = |candidate: &Candidate| match candidate.state {
        CandidateState::Former if silent_former.contains(&candidate.agent) => {
            elapsed < SILENT_AGENT_TIMEOUT
        }
        CandidateState::Former => elapsed < FORMER_AGENT_TIMEOUT,
        CandidateState::Ready | CandidateState::Draining => true,
    };
    if unanswered(cx, lookup).any(is_awaited) {
        return true;
    }
    silent_former.extend(unanswered(cx, lookup).map(|candidate| candidate.agent));
    false
}

/// Returns true if no upstream was listed since a flow was found to be lost, and the finding is
/// recent.
pub(super) fn is_still_lost(cx: &Context<'_>, loss: &Loss) -> bool {
    let revision = cx.candidates().map(ServiceCandidates::revision);
    let is_recent = cx.now.since(loss.found_at) < DENIAL_WINDOW;
    is_recent && revision == Some(loss.upstreams_revision)
}

/// Notifies a balancer that no upstream of the service holds a flow, or none of those that are
/// known here if the list isn't complete.
pub(super) fn send_lost(
    cx: &mut Context<'_>,
    tuple: FiveTuple,
    balancer: SocketAddr,
    upstreams_revision: StoreRevision,
    is_complete: bool,
) {
    let flow = LostFlow {
        tuple,
        upstreams_revision: Some(upstreams_revision),
        is_complete,
    };
    cx.send(balancer, RelayBody::Lost(flow));
}

/// Ends trials without a returned packet, and continues unanswered lookups.
pub(super) fn on_tick(cx: &mut Context<'_>, shard: &mut FlowShard) {
    let mut rescheduled: SmallVec<[(Timestamp, FlowId); 4]> = SmallVec::new();
    while let Some(entry) = shard.next_expired(cx.now) {
        match &mut entry.state {
            FlowState::OnTrial(trial) if cx.now.since(trial.started_at) >= TRIAL_TIMEOUT => {
                let requester = trial.requester;
                end_trial(cx, entry, FlowState::Presumed { requester });
            }
            FlowState::LookingUp(lookup) => {
                if cx.now < lookup.next_tick_at {
                    // The timer of the trial before; the lookup has its own.
                    continue;
                }
                if let Some(delay) = continue_on_tick(cx, entry) {
                    rescheduled.push((cx.now + delay, entry.tuple.flow_id()));
                }
            }
            _ => {}
        }
    }
    for (at, flow) in rescheduled {
        shard.timers.schedule(at, flow);
    }
}

/// Continues a lookup without a packet of the caller; returns the delay until the next tick, if
/// there is one.
fn continue_on_tick(cx: &mut Context<'_>, entry: &mut FlowEntry) -> Option<Duration> {
    let FlowState::LookingUp(lookup) = &mut entry.state else {
        return None;
    };
    // A tick is this late after a pause of the process.
    let was_paused = cx.now.since(lookup.last_round_at) > DENIAL_WINDOW;
    let awaited_confirmation = std::mem::take(&mut lookup.awaits_confirmation);
    let delay = if awaits_confirmation(cx, lookup) {
        if cx.now.since(lookup.requested_at) >= CONFIRMATION_TIMEOUT {
            record_unanswered(cx, entry);
            return None;
        }
        lookup.last_round_at = cx.now;
        await_confirmation(cx, entry);
        CONFIRMATION_CHECK_INTERVAL
    } else if (was_paused || awaited_confirmation) && restart_if_old(cx, lookup) {
        PROBE_INTERVAL
    } else if cx.now.since(lookup.started_at) < DENIAL_WINDOW {
        send_probes(cx, lookup);
        finish_if_denied(cx, entry);
        PROBE_INTERVAL
    } else {
        record_unanswered(cx, entry);
        return None;
    };
    if let FlowState::LookingUp(lookup) = &mut entry.state {
        lookup.next_tick_at = cx.now + delay;
    }
    Some(delay)
}

/// Ends a trial without a returned packet: claims the flow, in `state`.
pub(super) fn end_trial(cx: &mut Context<'_>, entry: &mut FlowEntry, state: FlowState) {
    let FlowState::OnTrial(trial) = &mut entry.state else {
        return;
    };
    let recipients = [entry.balancer, trial.requester];
    let queue = std::mem::take(&mut trial.queue);
    cx.with_meter(|meter| entry.open(state, meter));
    for process in recipients.into_iter().flatten() {
        cx.send_located(entry.tuple, entry.evidence(), process);
    }
    for established in queue {
        cx.actions.push(Action::ToUpstream(established.packet));
    }
}
