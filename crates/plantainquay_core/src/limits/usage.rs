//! Usage of an agent's shares.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use plantainquay_schema::{Name, Resource, UpstreamNumber};
use thiserror::Error;

use super::{LimitKey, ShareTracker};
use crate::Timestamp;

/// Sliding window in which starts are counted against a rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The agent's share of a limit is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("limit_reached")]
pub struct LimitReached;

/// Shares of an agent and their usage.
#[derive(Debug)]
pub struct Limits {
    /// Shares that the agent may use.
    pub shares: ShareTracker,
    in_use: HashMap<LimitKey, u64>,
    recent_starts: HashMap<LimitKey, VecDeque<Timestamp>>,
}

impl Limits {
    /// Creates the limits of an agent that has no document yet.
    #[must_use]
    pub fn new(own_number: UpstreamNumber) -> Self {
        Self {
            shares: ShareTracker::new(own_number),
            in_use: HashMap::new(),
            recent_starts: HashMap::new(),
        }
    }

    /// Returns true if `member` may open one more flow.
    #[must_use]
    pub fn can_open_flow(&self, member: &Name) -> bool {
        self.has_capacity(&flow_key(member))
    }

    /// Counts a new flow of `member`.
    ///
    /// # Errors
    ///
    /// Fails without counting the flow if the share is used up.
    pub fn open_flow(&mut self, member: &Name) -> Result<(), LimitReached> {
        self.acquire(flow_key(member))
    }

    /// Releases a flow of `member`.
    pub fn close_flow(&mut self, member: &Name) {
        self.release(&flow_key(member));
    }

    /// Counts a new request.
    ///
    /// # Errors
    ///
    /// Fails without counting the request if a share is used up.
    pub fn start_request(
        &mut self,
        now: Timestamp,
        member: &Name,
        class: &Name,
    ) -> Result<(), LimitReached> {
        let rate = request_key(member, class, Resource::RequestsPerSecond);
        if !self.is_below_rate(now, &rate) {
            return Err(LimitReached);
        }
        self.acquire(request_key(member, class, Resource::ConcurrentRequests))?;
        if self.shares.allowed(&rate).is_some() {
            self.recent_starts.entry(rate).or_default().push_back(now);
        }
        Ok(())
    }

    /// Releases a running request.
    pub fn finish_request(&mut self, member: &Name, class: &Name) {
        self.release(&request_key(member, class, Resource::ConcurrentRequests));
    }

    /// Current usage under `key`.
    #[must_use]
    pub fn in_use(&self, key: &LimitKey) -> u64 {
        self.in_use.get(key).copied().unwrap_or(0)
    }

    fn has_capacity(&self, key: &LimitKey) -> bool {
        let allowed = self.shares.allowed(key);
        allowed.is_none_or(|allowed| self.in_use(key) < allowed)
    }

    fn acquire(&mut self, key: LimitKey) -> Result<(), LimitReached> {
        if !self.has_capacity(&key) {
            return Err(LimitReached);
        }
        // Usage is counted even without a limit, since the next document may set one.
        *self.in_use.entry(key).or_default() += 1;
        Ok(())
    }

    fn release(&mut self, key: &LimitKey) {
        if let Some(in_use) = self.in_use.get_mut(key) {
            *in_use = in_use.saturating_sub(1);
        }
    }

    fn is_below_rate(&mut self, now: Timestamp, key: &LimitKey) -> bool {
        let Some(allowed) = self.shares.allowed(key) else {
            return true;
        };
        let Some(starts) = self.recent_starts.get_mut(key) else {
            return allowed > 0;
        };
        while starts
            .front()
            .is_some_and(|start| now.since(*start) >= RATE_WINDOW)
        {
            starts.pop_front();
        }
        (starts.len() as u64) < allowed
    }
}

fn flow_key(member: &Name) -> LimitKey {
    LimitKey {
        member: member.clone(),
        class: None,
        resource: Resource::OpenFlows,
    }
}

fn request_key(member: &Name, class: &Name, resource: Resource) -> LimitKey {
    LimitKey {
        member: member.clone(),
        class: Some(class.clone()),
        resource,
    }
}
