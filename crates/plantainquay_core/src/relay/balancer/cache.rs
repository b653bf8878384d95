//! What a balancer remembers of flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{FiveTuple, FlowId, ServiceId};
use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::due::DueFlows;

/// Time without a packet after which a flow is forgotten; its owner knows more.
const CACHE_TTL: Duration = Duration::from_secs(20);
/// Flows that one shard remembers, so that a flood of opening packets stays within a small process.
const MAX_FLOWS: usize = 16_384;

/// Flows of one shard.
#[derive(Debug, Default)]
pub(super) struct CacheShard {
    flows: HashMap<FlowId, Cached>,
    /// Flows whose opening packet may have to be sent again.
    pub(super) due: DueFlows,
}

/// One flow and the agent that its packets go to.
#[derive(Debug)]
pub(super) struct Cached {
    pub(super) tuple: FiveTuple,
    pub(super) service: ServiceId,
    pub(super) agent: SocketAddr,
    pub(super) last_packet: Timestamp,
    pub(super) caller_ack: u32,
    /// The opening packet, until an upstream has taken it.
    pub(super) pending: Option<Pending>,
    /// Services whose upstreams have all denied the flow.
    pub(super) denied: SmallVec<[ServiceId; 1]>,
}

/// An opening packet without an answer.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) packet: Bytes,
    /// Whether an earlier copy may have opened the flow.
    pub(super) is_repeated: bool,
    /// When it came.
    pub(super) since: Timestamp,
    /// Agents that it was sent to.
    pub(super) tried: SmallVec<[SocketAddr; 3]>,
    /// How many of them refused it.
    pub(super) refusals: usize,
}

impl Cached {
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
            last_packet: now,
            caller_ack: 0,
            pending: None,
            denied: SmallVec::new(),
        }
    }

    pub(super) fn with_pending(self, pending: Pending) -> Self {
        Self {
            pending: Some(pending),
            ..self
        }
    }
}

impl CacheShard {
    pub(super) fn get_mut(&mut self, flow: FlowId, tuple: &FiveTuple) -> Option<&mut Cached> {
        self.flows.get_mut(&flow).filter(|c| c.tuple == *tuple)
    }

    /// Remembers a flow, unless there are too many.
    pub(super) fn insert(&mut self, flow: FlowId, cached: Cached) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&flow) {
            self.flows.insert(flow, cached);
        }
    }

    pub(super) fn remove(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// The next flow whose opening packet may have to be sent again.
    pub(super) fn next_due(&mut self, now: Timestamp) -> Option<(FlowId, &mut Cached)> {
        self.due.next_of(now, &mut self.flows)
    }

    /// Forgets flows without packets.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, cached| now.since(cached.last_packet) < CACHE_TTL);
    }
}
