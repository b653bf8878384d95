//! Flow cache of a balancer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{Evidence, FiveTuple, FlowId, ServiceId};
use smallvec::SmallVec;

use super::search::ServiceSearch;
use crate::Timestamp;
use crate::relay::flow_timers::FlowTimers;

/// Idle time after which a flow is removed; its owner can still locate it.
const CACHE_TTL: Duration = Duration::from_secs(20);
/// Time for which the first packet of an unplaced flow is remembered.
const UNPLACED_TTL: Duration = Duration::from_secs(5);
/// Maximum number of packets in a shard whose flows are searched; the caller retransmits others.
const MAX_HELD_PACKETS: usize = 256;
/// Maximum number of unplaced flows in a shard; packets of others are dropped.
const MAX_UNPLACED_FLOWS: usize = 1_024;
/// Maximum number of flows in a shard, which bounds memory under a flood of opening packets.
const MAX_FLOWS: usize = 16_384;

/// Flows of one shard.
#[derive(Debug, Default)]
pub(super) struct CacheShard {
    flows: HashMap<FlowId, CacheEntry>,
    /// The last packet of each flow whose service is searched.
    held_packets: HashMap<FlowId, Bytes>,
    /// First packet of each unplaced flow: it has no route, or no service with an agent to ask.
    unplaced: HashMap<FlowId, Timestamp>,
    /// Retry timers of opening packets.
    pub(super) timers: FlowTimers,
}

/// A flow and the agent that receives its packets.
#[derive(Debug)]
pub(super) struct CacheEntry {
    pub(super) tuple: FiveTuple,
    pub(super) service: ServiceId,
    pub(super) agent: SocketAddr,
    /// Evidence for the agent's claim; `None` if it hasn't claimed the flow.
    pub(super) evidence: Option<Evidence>,
    pub(super) last_packet_at: Timestamp,
    pub(super) caller_ack: u32,
    /// The opening packet, until an upstream accepts it.
    pub(super) pending: Option<PendingOpening>,
    /// Search for the flow's service, until an upstream has claimed the flow.
    pub(super) search: Option<Box<ServiceSearch>>,
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
            evidence: None,
            last_packet_at: now,
            caller_ack: 0,
            pending: None,
            search: None,
        }
    }

    /// Records a packet of the caller, which has accepted an upstream's answer.
    pub(super) fn on_caller_packet(&mut self, now: Timestamp, ack: u32) {
        self.last_packet_at = now;
        self.pending = None;
        self.caller_ack = ack;
    }

    /// Returns true if the search for the flow's service continues or starts over with this packet.
    pub(super) fn needs_search(&self, now: Timestamp) -> bool {
        let search = self.search.as_ref();
        search.is_some_and(|search| search.awaits_packet(now) || search.is_over(now))
    }

    pub(super) fn with_search(self, search: Box<ServiceSearch>) -> Self {
        Self {
            search: Some(search),
            ..self
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
        self.release_packet(flow);
    }

    /// Holds the last packet of a flow whose service is searched, unless too many are held.
    pub(super) fn hold_packet(&mut self, flow: FlowId, packet: Bytes) {
        if self.held_packets.len() < MAX_HELD_PACKETS || self.held_packets.contains_key(&flow) {
            self.held_packets.insert(flow, packet);
        }
    }

    /// Returns the packet that is held for a flow.
    pub(super) fn held_packet(&self, flow: FlowId) -> Option<Bytes> {
        self.held_packets.get(&flow).cloned()
    }

    /// Drops the packet that is held for a flow.
    pub(super) fn release_packet(&mut self, flow: FlowId) {
        self.held_packets.remove(&flow);
    }

    /// Returns the time of the first packet of an unplaced flow; `None` if too many are known.
    pub(super) fn first_unplaced_packet_at(
        &mut self,
        now: Timestamp,
        flow: FlowId,
    ) -> Option<Timestamp> {
        let is_known = self.unplaced.contains_key(&flow);
        let has_room = is_known || self.unplaced.len() < MAX_UNPLACED_FLOWS;
        has_room.then(|| *self.unplaced.entry(flow).or_insert(now))
    }

    /// Returns the time of the first packet of an unplaced flow, if it had one.
    pub(super) fn known_first_packet_at(&self, flow: FlowId) -> Option<Timestamp> {
        self.unplaced.get(&flow).copied()
    }

    /// Returns the next flow with an expired retry timer.
    pub(super) fn next_expired(&mut self, now: Timestamp) -> Option<(FlowId, &mut CacheEntry)> {
        self.timers.pop_expired(now, &mut self.flows)
    }

    /// Removes idle flows.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, entry| now.since(entry.last_packet_at) < CACHE_TTL);
        self.unplaced
            .retain(|_, first_packet_at| now.since(*first_packet_at) < UNPLACED_TTL);
        let flows = &self.flows;
        self.held_packets
            .retain(|flow, _| flows.get(flow).is_some_and(|e| e.search.is_some()));
    }
}
