//! Choices that can be compared by experiment.

use std::time::Duration;

/// Choices of balancers and agents; daemons use the default, experiments compare others with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPolicy {
    /// Agents that compare their loads for one new flow; at least one.
    ///
    /// The second choice takes nearly all of the imbalance away, a third one costs one more hop.
    pub compared: usize,
    /// Time after which an opening packet without an answer is sent to another agent.
    ///
    /// Several times the way to an agent that is not congested and back, and well before the
    /// caller's own copy.
    pub opening_retry: Duration,
    /// Requests that an upstream gets for each of its slots: one that runs and one that is next.
    pub requests_per_slot: u32,
}

impl Default for RelayPolicy {
    fn default() -> Self {
        Self {
            compared: 2,
            opening_retry: Duration::from_millis(60),
            requests_per_slot: 2,
        }
    }
}
