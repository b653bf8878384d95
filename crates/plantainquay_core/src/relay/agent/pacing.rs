//! Queue of requests at the agent while the upstream is at its limit.
//!
//! An upstream processes its own queue in order of arrival, so that under overload each request
//! waits for the whole queue and misses its deadline. With a short queue at the upstream and
//! newest-first order at the agent, most requests are answered in time.

use std::cmp::Reverse;

use bytes::Bytes;
use plantainquay_schema::FiveTuple;
use smallvec::SmallVec;

use super::flow::FlowState;
use super::{Action, Context};
use crate::Timestamp;
use crate::relay::Packet;

/// Maximum number of queued requests; more are sent to the upstream, which refuses any excess.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Maximum number of queued packets of one request.
const MAX_PACKETS_PER_REQUEST: usize = 8;

/// Queued requests.
#[derive(Debug, Default)]
pub(super) struct PacingQueue {
    requests: Vec<QueuedRequest>,
}

#[derive(Debug)]
struct QueuedRequest {
    tuple: FiveTuple,
    queued_at: Timestamp,
    /// Time at which the caller abandons the request.
    expires_at: Timestamp,
    priority: u32,
    packets: SmallVec<[(Packet, Bytes); 1]>,
}

impl PacingQueue {
    /// Queues a packet with its request; returns false if the request isn't queued.
    fn add_packet(&mut self, packet: &Packet, bytes: &Bytes) -> bool {
        let mut requests = self.requests.iter_mut();
        let Some(request) = requests.find(|r| r.tuple == packet.tuple) else {
            return false;
        };
        let is_duplicate = request.packets.iter().any(|(_, queued)| queued == bytes);
        if !is_duplicate && request.packets.len() < MAX_PACKETS_PER_REQUEST {
            request.packets.push((*packet, bytes.clone()));
        }
        true
    }

    /// Removes up to `capacity` requests, by priority, then newest first.
    fn dequeue(&mut self, now: Timestamp, capacity: u32) -> SmallVec<[QueuedRequest; 2]> {
        if capacity == 0 {
            return SmallVec::new();
        }
        self.requests.retain(|request| now < request.expires_at);
        let order = |request: &QueuedRequest| (Reverse(request.priority), request.queued_at);
        self.requests.sort_by_key(order);
        let capacity = usize::try_from(capacity).unwrap_or(usize::MAX);
        let remaining = self.requests.len().saturating_sub(capacity);
        self.requests.drain(remaining..).rev().collect()
    }
}

/// Removes a request whose caller has closed the flow.
pub(super) fn remove_request(cx: &Context<'_>, tuple: &FiveTuple) {
    let mut queue = cx.agent.pacing.lock();
    queue.requests.retain(|request| request.tuple != *tuple);
}

/// Queues a packet of the caller if the upstream is at its limit; returns false if the packet is to
/// be sent to the upstream immediately.
pub(super) fn enqueue_if_busy(
    cx: &Context<'_>,
    request_started_at: Option<Timestamp>,
    packet: &Packet,
    bytes: &Bytes,
) -> bool {
    if packet.data_bytes == 0 || request_started_at.is_some() {
        return false;
    }
    let mut queue = cx.agent.pacing.lock();
    if queue.add_packet(packet, bytes) {
        return true;
    }
    let is_full = queue.requests.len() >= MAX_QUEUED_REQUESTS;
    if is_full || cx.agent.meter.lock().requests_in_progress() < request_limit(cx) {
        return false;
    }
    let Some(route) = cx.view.route(packet.tuple.destination) else {
        return false;
    };
    queue.requests.push(QueuedRequest {
        tuple: packet.tuple,
        queued_at: cx.now,
        expires_at: cx.now + route.timeout,
        priority: route.priority,
        packets: [(*packet, bytes.clone())].into_iter().collect(),
    });
    true
}

/// Sends queued requests to the upstream, up to its limit.
pub(super) fn release_requests(cx: &mut Context<'_>) {
    if cx.agent.pacing.lock().requests.is_empty() {
        return;
    }
    let capacity = request_limit(cx).saturating_sub(cx.agent.meter.lock().requests_in_progress());
    // The queue's lock is released before a shard's is acquired: packets acquire them in the
    // opposite order.
    let requests = cx.agent.pacing.lock().dequeue(cx.now, capacity);
    for request in requests {
        deliver(cx, request);
    }
}

fn deliver(cx: &mut Context<'_>, request: QueuedRequest) {
    let flow = request.tuple.flow_id();
    let mut shard = cx.agent.shard(flow);
    let Some(entry) = shard.get_mut(flow, &request.tuple) else {
        return;
    };
    if !entry.counts_as_open() && !matches!(entry.state, FlowState::Closing) {
        return;
    }
    for (packet, bytes) in request.packets {
        entry.on_delivered(cx.now, &packet, &mut cx.agent.meter.lock());
        cx.actions.push(Action::ToUpstream(bytes));
    }
}

fn request_limit(cx: &Context<'_>) -> u32 {
    let candidate = cx.candidates().and_then(|c| c.find(cx.own_address()));
    // Nothing is queued until the upstream's slots are known.
    let per_slot = cx.agent.config.policy.requests_per_slot;
    candidate.map_or(u32::MAX, |c| c.slots.saturating_mul(per_slot))
}
