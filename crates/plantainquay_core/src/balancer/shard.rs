//! State of one balancer thread.

use std::sync::Arc;

use crate::balancer::{DropReason, Forward, route};
use crate::{RouteMap, Segment};

/// Routes and counters of one thread; each shard has its own lock.
#[derive(Debug, Default)]
pub struct BalancerShard {
    routes: Arc<RouteMap>,
    counters: Counters,
}

/// Packet counters of one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets forwarded to an agent.
    pub forwarded: u64,
    /// Forwarded packets that open a flow.
    pub openings: u64,
    /// Forwarded packets with a tag echoed by the caller.
    pub tagged: u64,
    /// Packets dropped because no service has their destination address and port.
    pub unknown_address: u64,
    /// Packets dropped because no upstream of the service accepts them.
    pub no_upstream: u64,
    /// Datagrams without a valid TCP segment.
    pub malformed: u64,
}

impl BalancerShard {
    /// Replaces the routes.
    pub fn install(&mut self, routes: Arc<RouteMap>) {
        debug_assert!(routes.generation() >= self.routes.generation());
        self.routes = routes;
    }

    /// Returns the current routes.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteMap> {
        &self.routes
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Counts a datagram without a valid TCP segment.
    pub fn count_malformed(&mut self) {
        self.counters.malformed += 1;
    }

    /// Selects the agent for a packet and counts the decision.
    ///
    /// # Errors
    ///
    /// Returns the reason for dropping the packet.
    pub fn on_packet(&mut self, segment: &Segment) -> Result<Forward, DropReason> {
        let verdict = route(&self.routes, segment);
        match &verdict {
            Ok(_) => self.count_forwarded(segment),
            Err(DropReason::UnknownAddress) => self.counters.unknown_address += 1,
            Err(DropReason::NoUpstream) => self.counters.no_upstream += 1,
        }
        verdict
    }

    fn count_forwarded(&mut self, segment: &Segment) {
        self.counters.forwarded += 1;
        self.counters.openings += u64::from(segment.opening);
        self.counters.tagged += u64::from(segment.tag.is_some());
    }
}

impl Counters {
    /// Returns the sum of two shards' counters.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            forwarded: self.forwarded + other.forwarded,
            openings: self.openings + other.openings,
            tagged: self.tagged + other.tagged,
            unknown_address: self.unknown_address + other.unknown_address,
            no_upstream: self.no_upstream + other.no_upstream,
            malformed: self.malformed + other.malformed,
        }
    }
}
