//! Requests that wait at the agent while their upstream has enough of them.
//!
//! An upstream works off its own queue in the order of arrival. Under overload each request then
//! waits for the whole queue and comes late; with a short queue there, and the newest request
//! first here, most come in time.

use std::cmp::Reverse;

use bytes::Bytes;
use plantainquay_schema::FiveTuple;
use smallvec::SmallVec;

use super::flow::FlowState;
use super::{Action, Context};
use crate::Timestamp;
use crate::relay::Packet;

/// Requests that wait at most; more go to the upstream, which refuses what it can't take.
const MAX_REQUESTS: usize = 64;
/// Packets of one request that wait at most.
const MAX_PACKETS: usize = 8;

/// Requests that wait.
#[derive(Debug, Default)]
pub(super) struct PacingQueue {
    requests: Vec<WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    tuple: FiveTuple,
    since: Timestamp,
    /// Moment at which the caller gives the request up.
    until: Timestamp,
    priority: u32,
    packets: SmallVec<[(Packet, Bytes); 1]>,
}

impl PacingQueue {
    /// Lets a packet wait with its request, if that waits already.
    fn add_packet(&mut self, packet: &Packet, bytes: &Bytes) -> bool {
        let mut requests = self.requests.iter_mut();
        let Some(request) = requests.find(|r| r.tuple == packet.tuple) else {
            return false;
        };
        let is_repeated = request.packets.iter().any(|(_, known)| known == bytes);
        if !is_repeated && request.packets.len() < MAX_PACKETS {
            request.packets.push((*packet, bytes.clone()));
        }
        true
    }

    /// Takes out as many requests as there is room for: by priority, then the newest first.
    fn take_next(&mut self, now: Timestamp, room: u32) -> SmallVec<[WaitingRequest; 2]> {
        if room == 0 {
            return SmallVec::new();
        }
        self.requests.retain(|request| now < request.until);
        let order = |request: &WaitingRequest| (Reverse(request.priority), request.since);
        self.requests.sort_by_key(order);
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let kept = self.requests.len().saturating_sub(room);
        self.requests.drain(kept..).rev().collect()
    }
}

/// Forgets a request whose caller has closed its flow.
pub(super) fn forget(cx: &Context<'_>, tuple: &FiveTuple) {
    let mut queue = cx.agent.pacing.lock();
    queue.requests.retain(|request| request.tuple != *tuple);
}

/// Whether a packet of the caller waits here; the rest goes to the upstream at once.
pub(super) fn must_wait(
    cx: &Context<'_>,
    request_since: Option<Timestamp>,
    packet: &Packet,
    bytes: &Bytes,
) -> bool {
    if packet.data_bytes == 0 || request_since.is_some() {
        return false;
    }
    let mut queue = cx.agent.pacing.lock();
    if queue.add_packet(packet, bytes) {
        return true;
    }
    let is_full = queue.requests.len() >= MAX_REQUESTS;
    if is_full || cx.agent.meter.lock().waiting() < limit(cx) {
        return false;
    }
    let Some(route) = cx.view.route(packet.tuple.destination) else {
        return false;
    };
    queue.requests.push(WaitingRequest {
        tuple: packet.tuple,
        since: cx.now,
        until: cx.now + route.timeout,
        priority: route.priority,
        packets: [(*packet, bytes.clone())].into_iter().collect(),
    });
    true
}

/// Gives waiting requests to the upstream, as far as it has room.
pub(super) fn release(cx: &mut Context<'_>) {
    if cx.agent.pacing.lock().requests.is_empty() {
        return;
    }
    let room = limit(cx).saturating_sub(cx.agent.meter.lock().waiting());
    // The queue's lock is let go before a shard's is taken: packets take them the other way round.
    let next = cx.agent.pacing.lock().take_next(cx.now, room);
    for request in next {
        deliver(cx, request);
    }
}

fn deliver(cx: &mut Context<'_>, request: WaitingRequest) {
    let flow = request.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(known) = shard.get_mut(flow, &request.tuple) else {
        return;
    };
    if !known.is_counted() && !matches!(known.state, FlowState::Closing) {
        return;
    }
    for (packet, bytes) in request.packets {
        known.note_delivered(cx.now, &packet, &mut cx.agent.meter.lock());
        cx.actions.push(Action::ToUpstream(bytes));
    }
}

fn limit(cx: &Context<'_>) -> u32 {
    let own = cx.candidates().and_then(|c| c.find(cx.own()));
    // Nothing waits before the upstream's slots are known.
    let per_slot = cx.agent.config.policy.requests_per_slot;
    own.map_or(u32::MAX, |own| own.slots.saturating_mul(per_slot))
}
