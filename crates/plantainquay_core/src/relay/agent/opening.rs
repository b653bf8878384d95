//! Selection of the upstream for a new flow.

use std::net::SocketAddr;

use plantainquay_schema::{AgentLoad, OpeningPacket, RelayBody};

use super::flow::FlowState;
use super::{Action, Context};
use crate::relay::{CandidateState, Decision, Packet};

/// Maximum number of agents that an opening packet visits, including those whose upstreams returned
/// it.
const MAX_VISITS: usize = 5;
/// Minimum load advantage of another agent, in thousandths of a request per slot.
///
/// A caller doesn't notice a smaller difference, and another hop adds latency.
const MIN_LOAD_ADVANTAGE: u32 = 20;

/// Load of an upstream that accepts no new flows.
const UNAVAILABLE_LOAD: u32 = u32::MAX;

pub(super) fn on_opening(cx: &mut Context<'_>, opening: OpeningPacket, packet: &Packet) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(entry) = shard.get_mut(flow, &packet.tuple) {
        match &entry.state {
            // A retransmission is sent to the upstream that received the first transmission.
            FlowState::Offered(_)
            | FlowState::Accepted
            | FlowState::Presumed { .. }
            | FlowState::Open => {
                entry.last_packet_at = cx.now;
                if entry.counts_as_open() {
                    cx.send(opening.balancer, RelayBody::Accepted(packet.tuple));
                }
                cx.actions.push(Action::ToUpstream(opening.packet));
                return;
            }
            FlowState::Remote(holder) if !opening.chosen => {
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

/// Offers the packet at the least loaded of the visited agents, or forwards it to another agent.
fn place(cx: &mut Context<'_>, mut opening: OpeningPacket, packet: &Packet) {
    let own = cx.own_address();
    let load = own_load(cx);
    if opening.chosen && load != UNAVAILABLE_LOAD {
        return offer(cx, opening, packet, load);
    }
    if !opening.visited.contains(&own) {
        opening.visited.push(own);
    }
    let is_better = |best: AgentLoad| best.load.saturating_add(MIN_LOAD_ADVANTAGE) < load;
    if let Some(next) = next_agent(cx, &opening, packet) {
        if opening.best.is_none_or(|best| load < best.load) {
            opening.best = Some(AgentLoad { agent: own, load });
        }
        opening.chosen = false;
        return forward(cx, next, opening, packet, load);
    }
    match opening.best {
        Some(best) if best.agent != own && !opening.chosen && is_better(best) => {
            opening.chosen = true;
            forward(cx, best.agent, opening, packet, load);
        }
        _ if load == UNAVAILABLE_LOAD => refuse(cx, &opening, packet),
        _ => offer(cx, opening, packet, load),
    }
}

/// Selects the next agent whose load is compared, if another one is needed.
fn next_agent(cx: &Context<'_>, opening: &OpeningPacket, packet: &Packet) -> Option<SocketAddr> {
    let visits = opening.visited.len();
    let max_visits = if opening
        .best
        .is_some_and(|best| best.load == UNAVAILABLE_LOAD)
    {
        MAX_VISITS
    } else {
        cx.agent.config.policy.agents_compared
    };
    if visits >= max_visits {
        return None;
    }
    let seed = packet.tuple.flow_id().0 ^ (visits as u64) << 56 ^ cx.now.0;
    let next = cx
        .candidates()?
        .random_ready(seed, |agent| opening.visited.contains(&agent))?;
    Some(next.agent)
}

fn forward(
    cx: &mut Context<'_>,
    to: SocketAddr,
    opening: OpeningPacket,
    packet: &Packet,
    load: u32,
) {
    cx.count(|c| c.forwarded_openings += 1);
    let agent = Some(to);
    cx.record_decision(packet.tuple, Decision::OpeningForwarded, agent, load.into());
    cx.send(to, RelayBody::Opening(opening));
}

fn offer(cx: &mut Context<'_>, opening: OpeningPacket, packet: &Packet, load: u32) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let bytes = opening.packet.clone();
    let balancer = opening.balancer;
    let state = FlowState::Offered(Box::new(opening));
    if let Some(entry) = shard.insert(cx.now, packet.tuple, state) {
        entry.balancer = Some(balancer);
        cx.with_meter(super::LoadMeter::opening_offered);
    }
    cx.count(|c| c.offered_openings += 1);
    cx.record_decision(packet.tuple, Decision::OpeningOffered, None, load.into());
    cx.actions.push(Action::ToUpstream(bytes));
}

/// Forwards an opening packet that the upstream returned.
pub(super) fn on_returned(cx: &mut Context<'_>, mut opening: OpeningPacket, packet: &Packet) {
    let own = cx.own_address();
    cx.count(|c| c.returned_openings += 1);
    let visits = opening.visited.len() as u64;
    cx.record_decision(packet.tuple, Decision::OpeningReturned, None, visits);
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
            forward(cx, next, opening, packet, load);
        }
        _ => refuse(cx, &opening, packet),
    }
}

/// Notifies the balancer that no agent accepts the flow.
fn refuse(cx: &mut Context<'_>, opening: &OpeningPacket, packet: &Packet) {
    cx.count(|c| c.refused_openings += 1);
    let visited = opening.visited.len() as u64;
    cx.record_decision(packet.tuple, Decision::OpeningRefused, None, visited);
    cx.send(opening.balancer, RelayBody::Refused(packet.tuple));
}

/// Returns the load of the local upstream for comparisons.
fn own_load(cx: &Context<'_>) -> u32 {
    let candidate = cx.candidates().and_then(|c| c.find(cx.own_address()));
    // Until the store lists the upstream, it counts as ready, since a balancer selected it.
    let slots = candidate.map_or(1, |candidate| candidate.slots);
    if candidate.is_some_and(|candidate| candidate.state != CandidateState::Ready) {
        return UNAVAILABLE_LOAD;
    }
    let is_warming_up = candidate.is_some_and(|candidate| cx.now < candidate.warm_at);
    let meter = cx.agent.meter.lock();
    meter.load(cx.now, slots, is_warming_up)
}
