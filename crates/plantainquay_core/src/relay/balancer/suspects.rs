//! Agents suspected of failure because they don't answer opening packets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::ServiceCandidates;

/// Time for which a silent agent is excluded before it is tried again.
const SUSPECT_TTL: Duration = Duration::from_secs(2);
/// At most one in this many agents of a service is excluded, though one always may be: a balancer
/// that sees more silent agents may itself be cut off, and would overload the other agents.
const MAX_EXCLUDED_DIVISOR: usize = 3;

/// Silent agents and the time of their last unanswered opening packet.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    suspected_at: HashMap<SocketAddr, Timestamp>,
}

impl Suspects {
    /// Records that an agent didn't answer an opening packet.
    pub(super) fn add(&mut self, now: Timestamp, agent: SocketAddr) {
        self.suspected_at.insert(agent, now);
    }

    /// Records that an agent sent a message.
    pub(super) fn remove(&mut self, agent: SocketAddr) {
        self.suspected_at.remove(&agent);
    }

    /// Removes suspects after [`SUSPECT_TTL`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.suspected_at
            .retain(|_, suspected_at| now.since(*suspected_at) < SUSPECT_TTL);
    }

    /// Returns true if an agent recently didn't answer an opening packet.
    pub(super) fn contains(&self, now: Timestamp, agent: SocketAddr) -> bool {
        let suspected_at = self.suspected_at.get(&agent);
        suspected_at.is_some_and(|suspected_at| now.since(*suspected_at) < SUSPECT_TTL)
    }

    /// Returns the most recent suspects of a service, which new flows don't try first.
    pub(super) fn excluded(
        &self,
        now: Timestamp,
        candidates: &ServiceCandidates,
    ) -> SmallVec<[SocketAddr; 4]> {
        if self.suspected_at.is_empty() {
            return SmallVec::new();
        }
        let mut ready_count = 0;
        let mut silent: SmallVec<[(Timestamp, SocketAddr); 4]> = SmallVec::new();
        for candidate in candidates.ready() {
            ready_count += 1;
            if self.contains(now, candidate.agent) {
                silent.push((self.suspected_at[&candidate.agent], candidate.agent));
            }
        }
        silent.sort_unstable_by(|a, b| b.cmp(a));
        let most_recent = silent.into_iter().map(|(_, agent)| agent);
        most_recent
            .take((ready_count / MAX_EXCLUDED_DIVISOR).max(1))
            .collect()
    }
}
