//! State of one balancer thread.

use std::sync::Arc;

use crate::balancer::{DropReason, Forward, route};
use crate::{RouteMap, Segment};

/// Routes and counters of one thread; each shard lies under its own lock.
#[derive(Debug, Default)]
pub struct BalancerShard {
    routes: Arc<RouteMap>,
    counters: Counters,
}

/// What one shard has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets handed to an agent.
    pub forwarded: u64,
    /// Forwarded packets that open a flow.
    pub openings: u64,
    /// Forwarded packets whose agent was named by the caller's echo.
    pub tagged: u64,
    /// Packets to an address that no service has.
    pub unknown_address: u64,
    /// Packets to a service without an upstream.
    pub no_upstream: u64,
    /// Datagrams that hold no TCP segment.
    pub malformed: u64,
}

impl BalancerShard {
    /// Puts new routes in force.
    pub fn install(&mut self, routes: Arc<RouteMap>) {
        debug_assert!(routes.generation() >= self.routes.generation());
        self.routes = routes;
    }

    /// Routes in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteMap> {
        &self.routes
    }

    /// What the shard has done so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Counts a datagram that holds no TCP segment.
    pub fn count_malformed(&mut self) {
        self.counters.malformed += 1;
    }

    /// Names the agent for a packet and counts the decision.
    ///
    /// # Errors
    ///
    /// Returns why the packet is dropped.
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
    /// Sum of two shards' counters.
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
