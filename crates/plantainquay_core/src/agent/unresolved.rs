//! Flows that the owner of their bucket can't find, and the queries to siblings for them.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{FlowId, Service, UpstreamNumber};
use smallvec::SmallVec;

use crate::Timestamp;

/// Maximum number of unresolved flows per shard; further flows are neither queried nor reset.
const MAX_UNRESOLVED: usize = 1_024;
/// Time without a packet after which an unresolved flow expires.
const UNRESOLVED_TTL: Duration = Duration::from_mins(5);
/// Time between the first two queries for one flow; it doubles with each further query.
const INITIAL_QUERY_BACKOFF: Duration = Duration::from_secs(1);
const MAX_QUERY_BACKOFF: Duration = Duration::from_secs(32);
/// Minimum age at which an unresolved flow may be declared lost.
///
/// By then, a document that lists the agent holding the flow has reached every process.
const MIN_LOST_AGE: Duration = Duration::from_mins(1);

/// Unresolved flows of one shard.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedFlows {
    flows: HashMap<FlowId, UnresolvedFlow>,
}

#[derive(Debug)]
struct UnresolvedFlow {
    first_packet_at: Timestamp,
    last_packet_at: Timestamp,
    last_query_at: Option<Timestamp>,
    query_backoff: Duration,
    not_held_by: SmallVec<[UpstreamNumber; 8]>,
}

impl UnresolvedFlows {
    /// Records a packet of a flow that can't be found.
    pub(crate) fn record_packet(&mut self, now: Timestamp, flow: FlowId) {
        if let Some(unresolved) = self.flows.get_mut(&flow) {
            unresolved.last_packet_at = now;
        } else if self.flows.len() < MAX_UNRESOLVED {
            let unresolved = UnresolvedFlow {
                first_packet_at: now,
                last_packet_at: now,
                last_query_at: None,
                query_backoff: INITIAL_QUERY_BACKOFF,
                not_held_by: SmallVec::new(),
            };
            self.flows.insert(flow, unresolved);
        }
    }

    /// Removes a flow, for example once its agent is found.
    pub(crate) fn remove(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// Records a sibling's reply that it doesn't hold the flow.
    pub(crate) fn record_not_held(&mut self, flow: FlowId, by: UpstreamNumber) {
        let Some(unresolved) = self.flows.get_mut(&flow) else {
            return;
        };
        // Without a query, this is a late reply to a query for an earlier entry of the flow.
        if unresolved.last_query_at.is_some() && !unresolved.not_held_by.contains(&by) {
            unresolved.not_held_by.push(by);
        }
    }

    /// Returns the flows to query now, and records a query for each.
    pub(crate) fn take_due_queries(&mut self, now: Timestamp) -> Vec<FlowId> {
        let mut flows = Vec::new();
        for (flow, unresolved) in &mut self.flows {
            if unresolved.is_query_due(now) {
                unresolved.record_query(now);
                flows.push(*flow);
            }
        }
        flows.sort_unstable();
        flows
    }

    /// Returns true if the flow is old enough and each agent of the service except `own_number`
    /// has replied that it doesn't hold the flow.
    pub(crate) fn is_lost(
        &self,
        now: Timestamp,
        flow: FlowId,
        service: &Service,
        own_number: UpstreamNumber,
    ) -> bool {
        let Some(unresolved) = self.flows.get(&flow) else {
            return false;
        };
        let is_ruled_out =
            |number| number == own_number || unresolved.not_held_by.contains(&number);
        let is_past_min_age = now.since(unresolved.first_packet_at) >= MIN_LOST_AGE;
        is_past_min_age && service.upstreams.iter().all(|u| is_ruled_out(u.number))
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, unresolved| now.since(unresolved.last_packet_at) < UNRESOLVED_TTL);
    }
}

impl UnresolvedFlow {
    fn is_query_due(&self, now: Timestamp) -> bool {
        let has_elapsed = |at| now.since(at) >= self.query_backoff;
        self.last_query_at.is_none_or(has_elapsed)
    }

    fn record_query(&mut self, now: Timestamp) {
        if self.last_query_at.is_some() {
            self.query_backoff = (self.query_backoff * 2).min(MAX_QUERY_BACKOFF);
        }
        self.last_query_at = Some(now);
    }
}
