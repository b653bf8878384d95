//! Flows and redirects of one shard.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{FlowId, Name, UpstreamNumber};

use super::unresolved::UnresolvedFlows;
use crate::{FiveTuple, Timestamp};

/// Time for which a redirect is kept without a packet or an announcement that needs it.
///
/// Longer than the last repetition of an opening packet. A flow that is needed after that is
/// asked for again.
pub(crate) const REDIRECT_TTL: Duration = Duration::from_secs(90);

/// Flows that are held here and flows that are known to be held by siblings.
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

/// One flow that is held here, with what the front end keeps for it.
#[derive(Debug)]
pub struct FlowEntry<T> {
    /// Addresses and ports.
    pub tuple: FiveTuple,
    /// The member that the caller belongs to.
    pub member: Name,
    /// Whether the caller echoes timestamps, and with them the flow's tag.
    pub echoes: bool,
    /// Whether the handshake is finished.
    pub established: bool,
    /// Whether both ends have closed, so that the flow no longer counts as open.
    pub in_time_wait: bool,
    /// The front end's part.
    pub payload: T,
}

#[derive(Clone, Copy, Debug)]
struct Redirect {
    to: UpstreamNumber,
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

    /// The flow, when it is held here.
    pub fn get_mut(&mut self, flow: FlowId) -> Option<&mut FlowEntry<T>> {
        self.flows.get_mut(&flow)
    }

    /// The flow, when it is held here and has exactly these addresses and ports.
    #[must_use]
    pub fn get_exact(&self, flow: FlowId, tuple: &FiveTuple) -> Option<&FlowEntry<T>> {
        self.flows.get(&flow).filter(|entry| entry.tuple == *tuple)
    }

    /// Flows held here.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &FlowEntry<T>)> {
        self.flows.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Number of flows held here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Number of redirects.
    #[must_use]
    pub fn redirect_count(&self) -> usize {
        self.redirects.len()
    }

    /// Redirects that were refused because too many are kept.
    #[must_use]
    pub fn rejected_redirects(&self) -> u64 {
        self.rejected_redirects
    }

    /// Notes that the flow's handshake is finished.
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
        debug_assert!(previous.is_none(), "a held flow was opened again");
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<FlowEntry<T>> {
        let entry = self.flows.remove(&flow)?;
        self.half_open -= usize::from(!entry.established);
        Some(entry)
    }

    /// The sibling that holds the flow, as far as is known.
    pub(crate) fn redirect(&mut self, now: Timestamp, flow: FlowId) -> Option<UpstreamNumber> {
        let redirect = self.redirects.get_mut(&flow)?;
        if redirect.expires < now {
            self.redirects.remove(&flow);
            return None;
        }
        redirect.expires = now + REDIRECT_TTL;
        Some(redirect.to)
    }

    /// Remembers that a sibling holds the flow.
    pub(crate) fn set_redirect(&mut self, now: Timestamp, flow: FlowId, to: UpstreamNumber) {
        let full = self.redirects.len() >= self.max_redirects;
        if full && !self.redirects.contains_key(&flow) {
            self.rejected_redirects += 1;
            return;
        }
        self.unresolved.remove(flow);
        let expires = now + REDIRECT_TTL;
        self.redirects.insert(flow, Redirect { to, expires });
    }

    /// Forgets that `to` holds the flow.
    pub(crate) fn clear_redirect(&mut self, flow: FlowId, to: UpstreamNumber) {
        if self.redirects.get(&flow).is_some_and(|r| r.to == to) {
            self.redirects.remove(&flow);
        }
    }

    /// Flows that the owner of their bucket can't find.
    pub(crate) fn unresolved_mut(&mut self) -> &mut UnresolvedFlows {
        &mut self.unresolved
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.redirects.retain(|_, redirect| redirect.expires >= now);
        self.unresolved.expire(now);
    }
}
