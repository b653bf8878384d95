//! Flow cache of a balancer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{FiveTuple, FlowId, ServiceId};
use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::flow_timers::FlowTimers;

/// Idle time after which a flow is removed; its owner can still locate it.
const CACHE_TTL: Duration = Duration::from_secs(20);
/// Maximum number of flows in a shard, which bounds memory under a flood of opening packets.
const MAX_FLOWS: usize = 16_384;

/// Flows of one shard.
#[derive(Debug, Default)]
pub(super) struct CacheShard {
    flows: HashMap<FlowId, CacheEntry>,
    /// Retry timers of opening packets.
    pub(super) timers: FlowTimers,
}

/// A flow and the agent that receives its packets.
#[derive(Debug)]
pub(super) struct CacheEntry {
    pub(super) tuple: FiveTuple,
    pub(super) service: ServiceId,
    pub(super) agent: SocketAddr,
    pub(super) last_packet_at: Timestamp,
    pub(super) caller_ack: u32,
    /// The opening packet, until an upstream accepts it.
    pub(super) pending: Option<PendingOpening>,
    /// Services all of whose upstreams have denied the flow.
    pub(super) denied_services: SmallVec<[ServiceId; 1]>,
}

/// An unanswered opening packet.
#[derive(Debug)]
pub(super) struct PendingOpening {
    pub(super) packet: Bytes,
    /// True if an earlier transmission may have opened the flow.
    pub(super) is_retransmission: bool,
    pub(super) received_at: Timestamp,
    /// Agents to which the packet was sent.
    pub(super) tried_agents: SmallVec<[SocketAddr; 3]>,
    /// Number of these agents that refused the packet.
    pub(super) refusals: usize,
}

impl CacheEntry {
    pub(super) fn new(
        now: Timestamp,
        tuple: FiveTuple,
        service: ServiceId,
        agent: SocketAddr,
    ) -> Self {
        Self {
            tuple,
            service,
            agent,
            last_packet_at: now,
            caller_ack: 0,
            pending: None,
            denied_services: SmallVec::new(),
        }
    }

    pub(super) fn with_pending(self, pending: PendingOpening) -> Self {
        Self {
            pending: Some(pending),
            ..self
        }
    }
}

impl CacheShard {
    pub(super) fn get_mut(&mut self, flow: FlowId, tuple: &FiveTuple) -> Option<&mut CacheEntry> {
        self.flows
            .get_mut(&flow)
            .filter(|entry| entry.tuple == *tuple)
    }

    /// Inserts a flow, unless the shard is full.
    pub(super) fn insert(&mut self, flow: FlowId, entry: CacheEntry) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&flow) {
            self.flows.insert(flow, entry);
        }
    }

    pub(super) fn remove(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// Returns the next flow with an expired retry timer.
    pub(super) fn next_expired(&mut self, now: Timestamp) -> Option<(FlowId, &mut CacheEntry)> {
        self.timers.pop_expired(now, &mut self.flows)
    }

    /// Removes idle flows.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, entry| now.since(entry.last_packet_at) < CACHE_TTL);
    }
}
