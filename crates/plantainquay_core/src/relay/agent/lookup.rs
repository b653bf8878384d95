//! Flows that this agent doesn't know: who holds them?

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{EstablishedPacket, FiveTuple, FlowId, RelayBody};
use smallvec::SmallVec;

use super::flow::{Flow, FlowShard, FlowState, Holder, Lookup, Trial, Waiting};
use super::{Action, Context};
use crate::relay::{Candidate, CandidateState, Decision, DropReason, Packet, ServiceCandidates};

/// Time without a returned packet after which the upstream is taken to hold a tried flow.
///
/// It returns packets of other flows at once; the rest is the time that a busy agent takes to
/// read its sockets.
const TRIAL_TIME: Duration = Duration::from_millis(60);
/// Time after which agents that have not answered are asked again.
pub(super) const ASK_INTERVAL: Duration = Duration::from_millis(80);
/// Rounds of questions, unless the caller goes on sending.
const MAX_ROUNDS: u32 = 4;
/// Time for which the claim of an agent counts that the store doesn't list.
const CLAIM_TIME: Duration = Duration::from_secs(1);
/// Time within which all denials of one flow must come.
///
/// An agent that has denied the flow before may have restarted since, and others with it.
const DENIAL_TIME: Duration = Duration::from_secs(1);
/// Time for which agents that the store no longer names may claim a flow.
const FORMER_TIME: Duration = Duration::from_millis(300);

/// A packet of a flow that `from` looks for.
pub(super) fn on_probe(
    cx: &mut Context<'_>,
    from: SocketAddr,
    probe: EstablishedPacket,
    packet: &Packet,
) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(known) = shard.get_mut(flow, &packet.tuple) {
        if matches!(known.state, FlowState::Open) {
            cx.announce(packet.tuple, from);
            cx.announce(packet.tuple, probe.balancer);
            known.balancer = Some(probe.balancer);
            return super::established::deliver(cx, known, probe, packet);
        }
        // Only the upstream's reaction tells, whatever was thought before.
        cx.with_meter(|meter| known.close(cx.now, meter));
    }
    start_trial(cx, &mut shard, probe, packet, Some(from));
}

/// Gives a first packet of a flow to the upstream to see whether it holds the flow.
pub(super) fn start_trial(
    cx: &mut Context<'_>,
    shard: &mut FlowShard,
    first: EstablishedPacket,
    packet: &Packet,
    asker: Option<SocketAddr>,
) {
    let state = FlowState::Tried(Box::new(Trial::new(cx.now, asker)));
    shard.due.push(cx.now + TRIAL_TIME, packet.tuple.flow_id());
    if let Some(known) = shard.insert(cx.now, packet.tuple, state) {
        super::established::try_upstream(cx, known, first, packet);
    } else {
        cx.actions.push(Action::Drop(DropReason::LookupFull));
    }
}

/// The upstream has returned a packet of a flow that it was tried with.
pub(super) fn on_trial_returned(cx: &mut Context<'_>, known: &mut Flow, bytes: Bytes) {
    let FlowState::Tried(trial) = &mut known.state else {
        return;
    };
    if let Some(asker) = trial.asker {
        let tuple = known.tuple;
        // The asker remembers where the flow is; here it stays unknown.
        known.state = FlowState::Elsewhere(Holder {
            agent: asker,
            heard: cx.now,
        });
        return cx.send(asker, RelayBody::NotHeld(tuple));
    }
    let waiting = std::mem::take(&mut trial.waiting);
    ask(cx, known, bytes, waiting);
}

/// Asks every other agent of the service for a flow, with one of its packets.
pub(super) fn ask(cx: &mut Context<'_>, known: &mut Flow, bytes: Bytes, waiting: Waiting) {
    let Some(balancer) = known.balancer else {
        return cx.actions.push(Action::Drop(DropReason::UnknownFlow));
    };
    cx.count(|c| c.lookups += 1);
    let mut lookup = Lookup {
        since: cx.now,
        asked: cx.now,
        rounds: 0,
        probe: EstablishedPacket::new(bytes, balancer),
        denied: SmallVec::new(),
        waiting,
    };
    let asked = send_probes(cx, &mut lookup);
    cx.note(known.tuple, Decision::LookupStarted, None, asked);
    known.state = FlowState::Asked(Box::new(lookup));
    conclude(cx, known);
}

/// Asks again when the last question is a while ago.
pub(super) fn ask_again(cx: &mut Context<'_>, known: &mut Flow) {
    let FlowState::Asked(lookup) = &mut known.state else {
        return;
    };
    known.last_packet = cx.now;
    if cx.now.since(lookup.asked) >= ASK_INTERVAL {
        send_probes(cx, lookup);
    }
}

/// Asks every agent that has not denied the flow; returns how many.
fn send_probes(cx: &mut Context<'_>, lookup: &mut Lookup) -> u64 {
    lookup.asked = cx.now;
    lookup.rounds += 1;
    let own = cx.own();
    let others: SmallVec<[SocketAddr; 16]> = cx
        .candidates()
        .into_iter()
        .flat_map(ServiceCandidates::all)
        .map(|candidate| candidate.agent)
        .filter(|agent| *agent != own && !lookup.denied.contains(agent))
        .collect();
    for agent in &others {
        cx.send(*agent, RelayBody::Probe(lookup.probe.clone()));
    }
    others.len() as u64
}

pub(super) fn on_located(cx: &mut Context<'_>, from: SocketAddr, tuple: FiveTuple) {
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let holder = Holder {
        agent: from,
        heard: cx.now,
    };
    let Some(known) = shard.get_mut(flow, &tuple) else {
        shard.insert(cx.now, tuple, FlowState::Elsewhere(holder));
        return;
    };
    if known.is_counted() {
        return;
    }
    known.last_packet = cx.now;
    let state = std::mem::replace(&mut known.state, FlowState::Elsewhere(holder));
    let waiting = match state {
        FlowState::Asked(lookup) => {
            cx.count(|c| c.found += 1);
            let micros = cx.micros_since(lookup.since);
            cx.note(tuple, Decision::LookupFound, Some(from), micros);
            lookup.waiting
        }
        FlowState::Tried(trial) => trial.waiting,
        FlowState::Offered(offered) => {
            // Two upstreams have the opening packet; the caller decides.
            known.state = FlowState::Offered(offered);
            return;
        }
        _ => return,
    };
    for packet in waiting {
        super::established::pass_on(cx, from, packet);
    }
}

/// Another agent's upstream has answered the opening packet of a flow that this agent owns.
pub(super) fn on_accepted(cx: &mut Context<'_>, from: SocketAddr, tuple: FiveTuple) {
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if shard.get_mut(flow, &tuple).is_none() {
        let holder = Holder {
            agent: from,
            heard: cx.now,
        };
        shard.insert(cx.now, tuple, FlowState::Elsewhere(holder));
    }
}

/// Whether packets may go on to an agent that has claimed the flow.
///
/// An agent that the store no longer lists must have claimed it lately.
pub(super) fn may_still_hold(cx: &Context<'_>, holder: &Holder) -> bool {
    let candidate = cx.candidates().and_then(|c| c.find(holder.agent));
    let is_listed = candidate.is_some_and(|c| c.state != CandidateState::Former);
    is_listed || cx.now.since(holder.heard) < CLAIM_TIME
}

pub(super) fn on_not_held(cx: &mut Context<'_>, from: SocketAddr, tuple: FiveTuple) {
    let flow = tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(known) = shard.get_mut(flow, &tuple) else {
        return;
    };
    match &mut known.state {
        FlowState::Asked(lookup) => {
            if cx.now.since(lookup.since) > DENIAL_TIME {
                lookup.start_over(cx.now);
                send_probes(cx, lookup);
                shard.due.push(cx.now + ASK_INTERVAL, flow);
                return;
            }
            if !lookup.denied.contains(&from) {
                lookup.denied.push(from);
            }
            conclude(cx, known);
        }
        FlowState::Elsewhere(holder) if holder.agent == from => known.state = FlowState::Closing,
        _ => {}
    }
}

/// Ends the lookup when every upstream has denied the flow.
fn conclude(cx: &mut Context<'_>, known: &mut Flow) {
    let FlowState::Asked(lookup) = &known.state else {
        return;
    };
    let own = cx.own();
    let may_be_former = cx.now.since(lookup.since) < FORMER_TIME;
    let Some(candidates) = cx.candidates().filter(|_| cx.view.is_confirmed()) else {
        return;
    };
    let is_open_question = |candidate: &Candidate| {
        let counts = candidate.state != CandidateState::Former || may_be_former;
        counts && candidate.agent != own && !lookup.denied.contains(&candidate.agent)
    };
    if candidates.all().any(is_open_question) {
        return;
    }
    let tuple = known.tuple;
    let micros = cx.micros_since(lookup.since);
    cx.note(tuple, Decision::LookupLost, None, micros);
    known.state = FlowState::Lost;
    cx.count(|c| c.lost += 1);
    if let Some(balancer) = known.balancer {
        cx.send(balancer, RelayBody::Lost(tuple));
    }
}

/// Ends trials that were not returned, and goes on with lookups that are not answered.
pub(super) fn on_tick(cx: &mut Context<'_>, shard: &mut FlowShard) {
    let mut due_again: SmallVec<[FlowId; 4]> = SmallVec::new();
    while let Some(known) = shard.next_due(cx.now) {
        match &mut known.state {
            FlowState::Tried(trial) if cx.now.since(trial.since) >= TRIAL_TIME => {
                hold_tried(cx, known, FlowState::Presumed);
            }
            FlowState::Asked(lookup) => {
                if lookup.rounds < MAX_ROUNDS {
                    send_probes(cx, lookup);
                    due_again.push(known.tuple.flow_id());
                }
                conclude(cx, known);
            }
            _ => {}
        }
    }
    for flow in due_again {
        shard.due.push(cx.now + ASK_INTERVAL, flow);
    }
}

/// Takes the upstream to hold a flow that it was tried with.
pub(super) fn hold_tried(cx: &mut Context<'_>, known: &mut Flow, state: FlowState) {
    let FlowState::Tried(trial) = &mut known.state else {
        return;
    };
    let told = [known.balancer, trial.asker];
    let waiting = std::mem::take(&mut trial.waiting);
    cx.with_meter(|meter| known.open(state, meter));
    for process in told.into_iter().flatten() {
        cx.announce(known.tuple, process);
    }
    for packet in waiting {
        cx.actions.push(Action::ToUpstream(packet.packet));
    }
}
