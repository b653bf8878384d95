//! Handling of packets of established flows from callers.

use std::net::SocketAddr;

use plantainquay_schema::{EstablishedPacket, RelayBody};

use super::flow::{FlowEntry, FlowState, enqueue};
use super::{Action, Context, lookup, pacing};
use crate::relay::{DropReason, Packet};

/// Maximum number of times that agents forward one packet.
const MAX_HOPS: u32 = 2;
/// Maximum number of packets sent to the upstream before it is known whether it holds their flow.
///
/// One fewer than the number of stray packets that counts as a broken flow.
const MAX_TRIAL_PACKETS: u32 = 2;

pub(super) fn on_established(
    cx: &mut Context<'_>,
    from: SocketAddr,
    established: EstablishedPacket,
    packet: &Packet,
) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(entry) = shard.get_mut(flow, &packet.tuple) else {
        return lookup::start_trial(cx, &mut shard, established, packet, None);
    };
    entry.caller_ack = packet.ack;
    entry.balancer = Some(established.balancer);
    match &mut entry.state {
        FlowState::Offered(_)
        | FlowState::Accepted
        | FlowState::Presumed { .. }
        | FlowState::Open
        | FlowState::Closing => {
            let is_detour = established.hops > 0 || from != established.balancer;
            let is_open = matches!(entry.state, FlowState::Open);
            if is_detour && is_open || established.wants_answer && entry.counts_as_open() {
                cx.send_located(packet.tuple, entry.evidence(), established.balancer);
            }
            deliver_or_enqueue(cx, entry, established, packet);
        }
        FlowState::OnTrial(_) => try_upstream(cx, entry, established, packet),
        FlowState::LookingUp(lookup) => {
            if !enqueue(&mut lookup.queue, established) {
                cx.actions.push(Action::Drop(DropReason::LookupFull));
            }
            if let Some(tick_at) = lookup::continue_lookup(cx, entry) {
                shard.timers.schedule(tick_at, flow);
            }
        }
        FlowState::Remote(holder)
            if established.hops < MAX_HOPS && lookup::may_still_hold(cx, holder) =>
        {
            let holder = holder.agent;
            entry.last_packet_at = cx.now;
            forward(cx, holder, established);
        }
        FlowState::Remote(_) => {
            // The holder is no longer listed, or two agents each regard the other as the holder.
            lookup::start_trial(cx, &mut shard, established, packet, None);
        }
        FlowState::Lost(loss) if lookup::is_still_lost(cx, loss) => {
            let revision = loss.upstreams_revision;
            lookup::send_lost(cx, packet.tuple, established.balancer, revision, true);
        }
        FlowState::Lost(_) => {
            lookup::start_trial(cx, &mut shard, established, packet, None);
        }
    }
}

pub(super) fn deliver_or_enqueue(
    cx: &mut Context<'_>,
    entry: &mut FlowEntry,
    established: EstablishedPacket,
    packet: &Packet,
) {
    if packet.fin || packet.reset {
        pacing::remove_request(cx, &packet.tuple);
    }
    if pacing::enqueue_if_busy(cx, entry.request_started_at, packet, &established.packet) {
        entry.last_packet_at = cx.now;
        return;
    }
    cx.with_meter(|meter| entry.on_delivered(cx.now, packet, meter));
    cx.actions.push(Action::ToUpstream(established.packet));
}

pub(super) fn forward(cx: &mut Context<'_>, to: SocketAddr, mut established: EstablishedPacket) {
    established.hops += 1;
    cx.send(to, RelayBody::Established(established));
}

/// Sends a packet to the upstream to test whether it holds the flow.
pub(super) fn try_upstream(
    cx: &mut Context<'_>,
    entry: &mut FlowEntry,
    established: EstablishedPacket,
    packet: &Packet,
) {
    entry.last_packet_at = cx.now;
    entry.caller_ack = packet.ack;
    entry.balancer = Some(established.balancer);
    let FlowState::OnTrial(trial) = &mut entry.state else {
        return;
    };
    if trial.packets_sent < MAX_TRIAL_PACKETS {
        trial.packets_sent += 1;
        cx.actions.push(Action::ToUpstream(established.packet));
    } else if !enqueue(&mut trial.queue, established) {
        cx.actions.push(Action::Drop(DropReason::LookupFull));
    }
}
