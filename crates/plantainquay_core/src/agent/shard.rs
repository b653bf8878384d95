//! Flows and redirects of one shard.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{FlowId, Name, UpstreamNumber};

use super::unresolved::UnresolvedFlows;
use crate::{FiveTuple, Timestamp};

/// Time without a packet or an announcement after which a redirect expires.
///
/// Longer than the last retransmission of an opening packet. Siblings are queried again for a flow
/// that is needed after that.
pub(crate) const REDIRECT_TTL: Duration = Duration::from_secs(90);

/// Flows that this agent holds, and redirects for flows that siblings hold.
#[derive(Debug)]
pub struct Shard<T> {
    flows: HashMap<FlowId, FlowEntry<T>>,
    redirects: HashMap<FlowId, Redirect>,
    unresolved: UnresolvedFlows,
    half_open: usize,
    max_half_open: usize,
    max_redirects: usize,
    rejected_redirects: u64,
}

/// A flow that this agent holds, with the front end's data.
#[derive(Debug)]
pub struct FlowEntry<T> {
    /// Source and destination addresses and ports.
    pub tuple: FiveTuple,
    /// Member that the caller belongs to.
    pub member: Name,
    /// True if the caller echoes TCP timestamps, and with them the flow's tag.
    pub echoes: bool,
    /// True if the handshake is complete.
    pub established: bool,
    /// True if both ends have closed; the flow is kept for late packets but doesn't count as open.
    pub in_time_wait: bool,
    /// Data of the front end.
    pub payload: T,
}

#[derive(Clone, Copy, Debug)]
struct Redirect {
    holder: UpstreamNumber,
    expires: Timestamp,
}

impl<T> Shard<T> {
    pub(crate) fn new(max_half_open: usize, max_redirects: usize) -> Self {
        Self {
            flows: HashMap::new(),
            redirects: HashMap::new(),
            unresolved: UnresolvedFlows::default(),
            half_open: 0,
            max_half_open,
            max_redirects,
            rejected_redirects: 0,
        }
    }

    /// Returns the flow, if this agent holds it.
    pub fn get_mut(&mut self, flow: FlowId) -> Option<&mut FlowEntry<T>> {
        self.flows.get_mut(&flow)
    }

    /// Returns the flow, if this agent holds it with exactly these addresses and ports.
    #[must_use]
    pub fn get_exact(&self, flow: FlowId, tuple: &FiveTuple) -> Option<&FlowEntry<T>> {
        self.flows.get(&flow).filter(|entry| entry.tuple == *tuple)
    }

    /// Iterates over the flows that this agent holds.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &FlowEntry<T>)> {
        self.flows.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Returns the number of flows that this agent holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns true if this agent holds no flows in this shard.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the number of redirects.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Returns the number of redirects that were rejected because the shard was full.
    #[must_use]
    pub fn rejected_redirects(&self) -> u64 {
        self.rejected_redirects
    }

    /// Marks the flow's handshake as complete.
    pub fn mark_established(&mut self, flow: FlowId) {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return;
        };
        if !entry.established {
            entry.established = true;
            self.half_open -= 1;
        }
    }

    pub(crate) fn can_open(&self) -> bool {
        self.half_open < self.max_half_open
    }

    pub(crate) fn insert(&mut self, flow: FlowId, entry: FlowEntry<T>) {
        self.half_open += usize::from(!entry.established);
        self.redirects.remove(&flow);
        self.unresolved.remove(flow);
        let previous = self.flows.insert(flow, entry);
        debug_assert!(previous.is_none(), "flow was opened twice");
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<FlowEntry<T>> {
        let entry = self.flows.remove(&flow)?;
        self.half_open -= usize::from(!entry.established);
        Some(entry)
    }

    /// Returns the sibling that holds the flow, if there is a redirect, and extends its lifetime.
    pub(crate) fn redirect(&mut self, now: Timestamp, flow: FlowId) -> Option<UpstreamNumber> {
        let redirect = self.redirects.get_mut(&flow)?;
        if redirect.expires < now {
            self.redirects.remove(&flow);
            return None;
        }
        redirect.expires = now + REDIRECT_TTL;
        Some(redirect.holder)
    }

    /// Adds a redirect to the sibling that holds the flow, unless the shard is full.
    pub(crate) fn set_redirect(&mut self, now: Timestamp, flow: FlowId, holder: UpstreamNumber) {
        let full = self.redirects.len() >= self.max_redirects;
        if full && !self.redirects.contains_key(&flow) {
            self.rejected_redirects += 1;
            return;
        }
        self.unresolved.remove(flow);
        let expires = now + REDIRECT_TTL;
        self.redirects.insert(flow, Redirect { holder, expires });
    }

    /// Removes the flow's redirect if it points to `holder`.
    pub(crate) fn clear_redirect(&mut self, flow: FlowId, holder: UpstreamNumber) {
        if self
            .redirects
            .get(&flow)
            .is_some_and(|r| r.holder == holder)
        {
            self.redirects.remove(&flow);
        }
    }

    /// Returns the unresolved flows of this shard.
    pub(crate) fn unresolved_mut(&mut self) -> &mut UnresolvedFlows {
        &mut self.unresolved
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.redirects.retain(|_, redirect| redirect.expires >= now);
        self.unresolved.expire(now);
    }
}
