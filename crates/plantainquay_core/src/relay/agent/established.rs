//! Packets of open flows on their way to the upstream.

use std::net::SocketAddr;

use plantainquay_schema::{EstablishedPacket, RelayBody};

use super::flow::{Flow, FlowState, wait};
use super::{Action, Context, lookup, pacing};
use crate::relay::{DropReason, Packet};

/// Agents that may pass one packet on.
const MAX_HOPS: u32 = 2;
/// Packets that the upstream gets before it is known whether it holds their flow.
///
/// One fewer than the number of stray packets that counts as a broken flow.
const MAX_TRIED: u32 = 2;

pub(super) fn on_established(
    cx: &mut Context<'_>,
    from: SocketAddr,
    established: EstablishedPacket,
    packet: &Packet,
) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(known) = shard.get_mut(flow, &packet.tuple) else {
        return lookup::start_trial(cx, &mut shard, established, packet, None);
    };
    known.caller_ack = packet.ack;
    known.balancer = Some(established.balancer);
    match &mut known.state {
        FlowState::Offered(_)
        | FlowState::Accepted
        | FlowState::Presumed
        | FlowState::Open
        | FlowState::Closing => {
            let is_detour = established.hops > 0 || from != established.balancer;
            if is_detour && matches!(known.state, FlowState::Open) {
                cx.announce(packet.tuple, established.balancer);
            }
            deliver(cx, known, established, packet);
        }
        FlowState::Tried(_) => try_upstream(cx, known, established, packet),
        FlowState::Asked(asked) => {
            if !wait(&mut asked.waiting, established) {
                cx.actions.push(Action::Drop(DropReason::LookupFull));
            }
            lookup::ask_again(cx, known);
        }
        FlowState::Elsewhere(holder)
            if established.hops < MAX_HOPS && lookup::may_still_hold(cx, holder) =>
        {
            let holder = holder.agent;
            known.last_packet = cx.now;
            pass_on(cx, holder, established);
        }
        FlowState::Elsewhere(_) => {
            // The holder is gone, or two agents believe that the other holds the flow.
            lookup::start_trial(cx, &mut shard, established, packet, None);
        }
        FlowState::Lost => cx.send(established.balancer, RelayBody::Lost(packet.tuple)),
    }
}

pub(super) fn deliver(
    cx: &mut Context<'_>,
    known: &mut Flow,
    established: EstablishedPacket,
    packet: &Packet,
) {
    if packet.fin || packet.reset {
        pacing::forget(cx, &packet.tuple);
    }
    if pacing::must_wait(cx, known.request_since, packet, &established.packet) {
        known.last_packet = cx.now;
        return;
    }
    cx.with_meter(|meter| known.note_delivered(cx.now, packet, meter));
    cx.actions.push(Action::ToUpstream(established.packet));
}

pub(super) fn pass_on(cx: &mut Context<'_>, to: SocketAddr, mut established: EstablishedPacket) {
    established.hops += 1;
    cx.send(to, RelayBody::Established(established));
}

/// Gives a packet to the upstream to see whether it holds the flow.
pub(super) fn try_upstream(
    cx: &mut Context<'_>,
    known: &mut Flow,
    established: EstablishedPacket,
    packet: &Packet,
) {
    known.last_packet = cx.now;
    known.caller_ack = packet.ack;
    known.balancer = Some(established.balancer);
    let FlowState::Tried(trial) = &mut known.state else {
        return;
    };
    if trial.given < MAX_TRIED {
        trial.given += 1;
        cx.actions.push(Action::ToUpstream(established.packet));
    } else if !wait(&mut trial.waiting, established) {
        cx.actions.push(Action::Drop(DropReason::LookupFull));
    }
}
