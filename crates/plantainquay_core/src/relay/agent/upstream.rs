//! Packets that the upstream sends or returns.

use bytes::Bytes;
use plantainquay_schema::RelayBody;

use super::flow::{FlowState, Waiting};
use super::{Action, Context, lookup, opening};
use crate::relay::{Decision, DropReason, Packet, ResetReason};

/// A packet that the upstream has returned, since it doesn't hold the flow or takes no new one.
pub(super) fn on_returned(cx: &mut Context<'_>, packet: &Packet, bytes: Bytes) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(known) = shard.get_mut(flow, &packet.tuple) else {
        // Given to the upstream before this process started; the caller repeats it.
        cx.actions.push(Action::Drop(DropReason::UnknownFlow));
        return;
    };
    if packet.is_opening() {
        let state = std::mem::replace(&mut known.state, FlowState::Closing);
        let FlowState::Offered(offered) = state else {
            known.state = state;
            return;
        };
        drop(shard);
        cx.with_meter(super::LoadMeter::settled);
        return opening::on_returned(cx, *offered, packet);
    }
    cx.count(|c| c.returned += 1);
    let may_ask = !matches!(known.state, FlowState::Open | FlowState::Asked(_));
    match &known.state {
        FlowState::Tried(_) => lookup::on_trial_returned(cx, known, bytes),
        FlowState::Open => {
            cx.with_meter(|meter| known.close(cx.now, meter));
            known.caller_ack = packet.ack;
            cx.count(|c| c.reset += 1);
            cx.note(packet.tuple, Decision::UpstreamLostFlow, None, 0);
            cx.actions.push(known.reset(ResetReason::UpstreamLostFlow));
        }
        FlowState::Accepted | FlowState::Presumed => {
            // The caller may have taken another upstream's answer to a copy of its opening.
            cx.with_meter(|meter| known.close(cx.now, meter));
            lookup::ask(cx, known, bytes, Waiting::new());
        }
        FlowState::Closing if packet.fin || packet.reset => {
            cx.actions.push(Action::Drop(DropReason::EndedFlow));
        }
        FlowState::Closing | FlowState::Offered(_) => {
            lookup::ask(cx, known, bytes, Waiting::new());
        }
        FlowState::Asked(_) | FlowState::Elsewhere(_) | FlowState::Lost => {
            cx.actions.push(Action::Drop(DropReason::UnknownFlow));
        }
    }
    if may_ask {
        shard.due.push(cx.now + lookup::ASK_INTERVAL, flow);
    }
}

/// A packet of the upstream for a caller.
pub(super) fn on_sent(cx: &mut Context<'_>, packet: &Packet, bytes: Bytes) {
    let flow = packet.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    if let Some(known) = shard.get_mut(flow, &packet.tuple) {
        known.last_packet = cx.now;
        if packet.data_bytes > 0 || packet.fin || packet.reset {
            let begun = known.end_request(cx.now, &mut cx.agent.meter.lock());
            if let Some(since) = begun.filter(|_| packet.data_bytes > 0) {
                cx.actions.push(Action::Answered {
                    listener: packet.tuple.destination,
                    after: cx.now.since(since),
                });
            }
        }
        match &known.state {
            FlowState::Offered(offered) if packet.syn => {
                let balancer = offered.balancer;
                cx.with_meter(|meter| known.open(FlowState::Accepted, meter));
                let micros = cx.micros_since(known.since);
                cx.note(packet.tuple, Decision::FlowAccepted, None, micros);
                cx.send(balancer, RelayBody::Accepted(packet.tuple));
                let owner = cx.candidates().and_then(|c| c.owner(flow));
                let owner = owner.map(|owner| owner.agent);
                if let Some(owner) = owner.filter(|owner| *owner != cx.own()) {
                    cx.send(owner, RelayBody::Accepted(packet.tuple));
                }
            }
            FlowState::Tried(_) if !packet.syn => lookup::hold_tried(cx, known, FlowState::Open),
            FlowState::Accepted | FlowState::Presumed if !packet.syn => {
                known.state = FlowState::Open;
            }
            FlowState::Elsewhere(_) | FlowState::Asked(_) if !packet.syn && !packet.reset => {
                cx.with_meter(|meter| known.open(FlowState::Open, meter));
            }
            _ => {}
        }
        if packet.fin || packet.reset {
            cx.with_meter(|meter| known.close(cx.now, meter));
        }
    } else if !packet.syn && !packet.reset {
        // The flow was open before this process started.
        if let Some(known) = shard.insert(cx.now, packet.tuple, FlowState::Closing) {
            cx.with_meter(|meter| known.open(FlowState::Open, meter));
        }
    }
    cx.actions
        .push(Action::ToCaller(packet.tuple.source, bytes));
}
