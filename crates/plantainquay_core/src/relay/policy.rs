//! Tunable parameters of balancers and agents.

use std::time::Duration;

/// Tunable parameters; daemons use the defaults, experiments compare other values with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPolicy {
    /// Number of agents whose loads are compared for a new flow; at least one.
    ///
    /// A second agent removes nearly all of the imbalance; a third costs another hop.
    pub agents_compared: usize,
    /// Time after which an unanswered opening packet is sent to another agent.
    ///
    /// Several round trips to an agent without congestion, and well below the caller's
    /// retransmission timeout.
    pub opening_timeout: Duration,
    /// Requests in progress per slot of an upstream: one running and one queued.
    pub requests_per_slot: u32,
}

impl Default for RelayPolicy {
    fn default() -> Self {
        Self {
            agents_compared: 2,
            opening_timeout: Duration::from_millis(60),
            requests_per_slot: 2,
        }
    }
}
