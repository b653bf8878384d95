//! Handling of packets that the upstream sends or returns.

use bytes::Bytes;
use plantainquay_schema::{Evidence, RelayBody};

use super::flow::{FlowState, PacketQueue};
use super::{Action, Context, lookup, opening};
use crate::relay::{Decision, DropReason, Packet, ResetReason};

/// Handles a packet that the upstream returned, since it doesn't hold or accept the flow.
pub(super) fn on_returned(cx: &mut Context<'_>, packet: &Packet, bytes: Bytes) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(entry) = shard.get_mut(flow, &packet.tuple) else {
        // Sent to the upstream before this process started; the caller retransmits it.
        cx.actions.push(Action::Drop(DropReason::UnknownFlow));
        return;
    };
    if packet.is_opening() {
        let state = std::mem::replace(&mut entry.state, FlowState::Closing);
        let FlowState::Offered(offered) = state else {
            entry.state = state;
            return;
        };
        drop(shard);
        cx.with_meter(super::LoadMeter::opening_settled);
        return opening::on_returned(cx, *offered, packet);
    }
    cx.count(|c| c.returned_packets += 1);
    let needs_timer = !matches!(entry.state, FlowState::Open | FlowState::LookingUp(_));
    match &entry.state {
        FlowState::OnTrial(_) => lookup::on_trial_returned(cx, entry, bytes),
        FlowState::Open => {
            cx.with_meter(|meter| entry.close(cx.now, meter));
            entry.caller_ack = packet.ack;
            cx.count(|c| c.reset_flows += 1);
            cx.record_decision(packet.tuple, Decision::UpstreamLostFlow, None, 0);
            cx.actions.push(entry.reset(ResetReason::UpstreamLostFlow));
        }
        FlowState::Accepted | FlowState::Presumed { .. } => {
            // The caller may have accepted another upstream's answer to a retransmission.
            cx.with_meter(|meter| entry.close(cx.now, meter));
            lookup::start_lookup(cx, entry, bytes, PacketQueue::new());
        }
        FlowState::Closing if packet.fin || packet.reset => {
            cx.actions.push(Action::Drop(DropReason::EndedFlow));
        }
        FlowState::Closing | FlowState::Offered(_) => {
            lookup::start_lookup(cx, entry, bytes, PacketQueue::new());
        }
        FlowState::LookingUp(_) | FlowState::Remote(_) | FlowState::Lost(_) => {
            cx.actions.push(Action::Drop(DropReason::UnknownFlow));
        }
    }
    if needs_timer {
        let check_at = lookup::confirmation_check_at(entry);
        let tick_at = check_at.unwrap_or(cx.now + lookup::PROBE_INTERVAL);
        shard.timers.schedule(tick_at, flow);
    }
}

/// Handles a packet of the upstream for a caller.
pub(super) fn on_sent(cx: &mut Context<'_>, packet: &Packet, bytes: Bytes) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(entry) = shard.get_mut(flow, &packet.tuple) {
        entry.last_packet_at = cx.now;
        if packet.data_bytes > 0 || packet.fin || packet.reset {
            let request_start = entry.end_request(cx.now, &mut cx.agent.meter.lock());
            if let Some(started_at) = request_start.filter(|_| packet.data_bytes > 0) {
                cx.actions.push(Action::RecordAnswerTime {
                    listener: packet.tuple.destination,
                    elapsed: cx.now.since(started_at),
                });
            }
        }
        match &entry.state {
            FlowState::Offered(offered) if packet.syn => {
                let balancer = offered.balancer;
                cx.with_meter(|meter| entry.open(FlowState::Accepted, meter));
                let micros = cx.micros_since(entry.created_at);
                cx.record_decision(packet.tuple, Decision::FlowAccepted, None, micros);
                cx.send(balancer, RelayBody::Accepted(packet.tuple));
                let owner = cx.candidates().and_then(|c| c.owner(flow));
                let owner = owner.map(|owner| owner.agent);
                if let Some(owner) = owner.filter(|owner| *owner != cx.own_address()) {
                    cx.send(owner, RelayBody::Accepted(packet.tuple));
                }
            }
            FlowState::OnTrial(_) if !packet.syn => lookup::end_trial(cx, entry, FlowState::Open),
            FlowState::Accepted if !packet.syn => entry.state = FlowState::Open,
            FlowState::Presumed { requester } if !packet.syn => {
                // Replaces the claims of other agents that only presume to hold the flow.
                let recipients = [entry.balancer, *requester];
                entry.state = FlowState::Open;
                for process in recipients.into_iter().flatten() {
                    cx.send_located(packet.tuple, Evidence::SentPackets, process);
                }
            }
            FlowState::Remote(_) | FlowState::LookingUp(_) if !packet.syn && !packet.reset => {
                cx.with_meter(|meter| entry.open(FlowState::Open, meter));
            }
            _ => {}
        }
        if packet.fin || packet.reset {
            cx.with_meter(|meter| entry.close(cx.now, meter));
        }
    } else if !packet.syn && !packet.reset {
        // The flow was open before this process started.
        if let Some(entry) = shard.insert(cx.now, packet.tuple, FlowState::Closing) {
            cx.with_meter(|meter| entry.open(FlowState::Open, meter));
        }
    }
    cx.actions
        .push(Action::ToCaller(packet.tuple.source, bytes));
}
