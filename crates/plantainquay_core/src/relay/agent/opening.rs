//! Opening packets: which upstream takes a new flow.

use std::net::SocketAddr;

use plantainquay_schema::{AgentLoad, OpeningPacket, RelayBody};

use super::flow::FlowState;
use super::{Action, Context};
use crate::relay::{CandidateState, Decision, Packet};

/// Agents that an opening packet visits at most, counting those whose upstreams returned it.
const MAX_VISITS: usize = 5;
/// Advantage that another agent must have, in thousandths of a request for each slot.
///
/// Loads closer than this are the same for a caller, and the detour costs time.
const MARGIN: u32 = 20;

/// Load of an upstream that takes no new flow.
const UNAVAILABLE: u32 = u32::MAX;

pub(super) fn on_opening(cx: &mut Context<'_>, opening: OpeningPacket, packet: &Packet) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(known) = shard.get_mut(flow, &packet.tuple) {
        match &known.state {
            // A copy of an opening packet goes where the first one went.
            FlowState::Offered(_) | FlowState::Accepted | FlowState::Presumed | FlowState::Open => {
                known.last_packet = cx.now;
                if known.is_counted() {
                    cx.send(opening.balancer, RelayBody::Accepted(packet.tuple));
                }
                cx.actions.push(Action::ToUpstream(opening.packet));
                return;
            }
            FlowState::Elsewhere(holder) if !opening.chosen => {
                let holder = holder.agent;
                let chosen = true;
                cx.send(
                    holder,
                    RelayBody::Opening(OpeningPacket { chosen, ..opening }),
                );
                return;
            }
            _ => {}
        }
    }
    drop(shard);
    place(cx, opening, packet);
}

/// Gives the packet to the least loaded of the agents that have seen it, or shows it to another.
fn place(cx: &mut Context<'_>, mut opening: OpeningPacket, packet: &Packet) {
    let own = cx.own();
    let load = own_load(cx);
    if opening.chosen && load != UNAVAILABLE {
        return offer(cx, opening, packet, load);
    }
    if !opening.visited.contains(&own) {
        opening.visited.push(own);
    }
    let is_better = |bid: AgentLoad| bid.load.saturating_add(MARGIN) < load;
    if let Some(next) = next_visit(cx, &opening, packet) {
        if opening.best.is_none_or(|best| load < best.load) {
            opening.best = Some(AgentLoad { agent: own, load });
        }
        opening.chosen = false;
        return pass_on(cx, next, opening, packet, load);
    }
    match opening.best {
        Some(best) if best.agent != own && !opening.chosen && is_better(best) => {
            opening.chosen = true;
            pass_on(cx, best.agent, opening, packet, load);
        }
        _ if load == UNAVAILABLE => refuse(cx, &opening, packet),
        _ => offer(cx, opening, packet, load),
    }
}

/// The next agent that is to name its load.
fn next_visit(cx: &Context<'_>, opening: &OpeningPacket, packet: &Packet) -> Option<SocketAddr> {
    let compared = opening.visited.len();
    let wanted = if opening.best.is_some_and(|best| best.load == UNAVAILABLE) {
        MAX_VISITS
    } else {
        cx.agent.config.policy.compared
    };
    if compared >= wanted {
        return None;
    }
    let seed = packet.tuple.flow_id().0 ^ (compared as u64) << 56 ^ cx.now.0;
    let next = cx
        .candidates()?
        .random_ready(seed, |agent| opening.visited.contains(&agent))?;
    Some(next.agent)
}

fn pass_on(
    cx: &mut Context<'_>,
    to: SocketAddr,
    opening: OpeningPacket,
    packet: &Packet,
    load: u32,
) {
    cx.count(|c| c.passed_on += 1);
    let agent = Some(to);
    cx.note(packet.tuple, Decision::OpeningPassedOn, agent, load.into());
    cx.send(to, RelayBody::Opening(opening));
}

fn offer(cx: &mut Context<'_>, opening: OpeningPacket, packet: &Packet, load: u32) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let bytes = opening.packet.clone();
    let balancer = opening.balancer;
    let state = FlowState::Offered(Box::new(opening));
    if let Some(known) = shard.insert(cx.now, packet.tuple, state) {
        known.balancer = Some(balancer);
        cx.with_meter(super::LoadMeter::offered);
    }
    cx.count(|c| c.offered += 1);
    cx.note(packet.tuple, Decision::OpeningOffered, None, load.into());
    cx.actions.push(Action::ToUpstream(bytes));
}

/// Passes an opening packet on that the upstream has returned.
pub(super) fn on_returned(cx: &mut Context<'_>, mut opening: OpeningPacket, packet: &Packet) {
    let own = cx.own();
    cx.count(|c| c.returned_openings += 1);
    let visits = opening.visited.len() as u64;
    cx.note(packet.tuple, Decision::OpeningReturned, None, visits);
    if !opening.visited.contains(&own) {
        opening.visited.push(own);
    }
    let seed = packet.tuple.flow_id().0 ^ cx.now.0;
    let next = cx.candidates().and_then(|candidates| {
        candidates.random_ready(seed, |agent| opening.visited.contains(&agent))
    });
    match next.map(|next| next.agent) {
        Some(next) if opening.visited.len() < MAX_VISITS => {
            opening.chosen = true;
            let load = own_load(cx);
            pass_on(cx, next, opening, packet, load);
        }
        _ => refuse(cx, &opening, packet),
    }
}

/// Tells the balancer that no agent takes the flow.
fn refuse(cx: &mut Context<'_>, opening: &OpeningPacket, packet: &Packet) {
    cx.count(|c| c.refused += 1);
    let visited = opening.visited.len() as u64;
    cx.note(packet.tuple, Decision::OpeningRefused, None, visited);
    cx.send(opening.balancer, RelayBody::Refused(packet.tuple));
}

/// Load of the upstream beside this agent, as it counts in comparisons.
fn own_load(cx: &Context<'_>) -> u32 {
    let own = cx.candidates().and_then(|c| c.find(cx.own()));
    // Before the store names the upstream, a balancer's word that it is ready counts.
    let slots = own.map_or(1, |own| own.slots);
    if own.is_some_and(|own| own.state != CandidateState::Ready) {
        return UNAVAILABLE;
    }
    let is_cold = own.is_some_and(|own| cx.now < own.warm_at);
    let meter = cx.agent.meter.lock();
    meter.load(cx.now, slots, is_cold)
}
