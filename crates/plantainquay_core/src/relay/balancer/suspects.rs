//! Agents that leave opening packets without an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::ServiceCandidates;

/// Time for which a silent agent is left out, after which a flow tries it again.
const SUSPICION: Duration = Duration::from_secs(2);
/// Part of a service that is left out at most, as one over this number, though one agent always is:
/// a balancer that sees more silent agents may be cut off itself, and would flood the others.
const MAX_LEFT_OUT: usize = 3;

/// Agents that were silent, and since when.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    since: HashMap<SocketAddr, Timestamp>,
}

impl Suspects {
    /// Notes that an agent left an opening packet without an answer.
    pub(super) fn add(&mut self, now: Timestamp, agent: SocketAddr) {
        self.since.insert(agent, now);
    }

    /// Notes that an agent has sent something.
    pub(super) fn remove(&mut self, agent: SocketAddr) {
        self.since.remove(&agent);
    }

    /// Forgets agents that have been left out for long enough.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.since.retain(|_, since| now.since(*since) < SUSPICION);
    }

    /// Whether an agent has left an opening packet without an answer lately.
    pub(super) fn contains(&self, now: Timestamp, agent: SocketAddr) -> bool {
        let since = self.since.get(&agent);
        since.is_some_and(|since| now.since(*since) < SUSPICION)
    }

    /// Agents of a service that a flow doesn't try first: the third that was silent last.
    pub(super) fn left_out(
        &self,
        now: Timestamp,
        service: &ServiceCandidates,
    ) -> SmallVec<[SocketAddr; 4]> {
        if self.since.is_empty() {
            return SmallVec::new();
        }
        let mut ready = 0;
        let mut silent: SmallVec<[(Timestamp, SocketAddr); 4]> = SmallVec::new();
        for candidate in service.ready() {
            ready += 1;
            if self.contains(now, candidate.agent) {
                silent.push((self.since[&candidate.agent], candidate.agent));
            }
        }
        silent.sort_unstable_by(|a, b| b.cmp(a));
        let last = silent.into_iter().map(|(_, agent)| agent);
        last.take((ready / MAX_LEFT_OUT).max(1)).collect()
    }
}
