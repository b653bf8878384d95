//! Flows that the owner of their bucket can't find.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{FlowId, Service, UpstreamNumber};
use smallvec::SmallVec;

use crate::Timestamp;

/// Most missed flows of one shard; more are neither asked for nor reset.
const MAX_UNRESOLVED: usize = 1_024;
/// Time without a packet after which a missed flow is forgotten.
const UNRESOLVED_TTL: Duration = Duration::from_mins(5);
/// Time between the first two questions for one flow; it doubles with each question.
const INITIAL_QUERY_BACKOFF: Duration = Duration::from_secs(1);
const MAX_QUERY_BACKOFF: Duration = Duration::from_secs(32);
/// Age below which a missed flow is never taken for lost.
///
/// Within it, a document that names the flow's holder has reached every process.
const MIN_LOST_AGE: Duration = Duration::from_mins(1);

/// Flows that the owner of their bucket can't find.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedFlows {
    flows: HashMap<FlowId, UnresolvedFlow>,
}

#[derive(Debug)]
struct UnresolvedFlow {
    first_packet_at: Timestamp,
    last_packet_at: Timestamp,
    queried_at: Option<Timestamp>,
    query_backoff: Duration,
    not_held_by: SmallVec<[UpstreamNumber; 8]>,
}

impl UnresolvedFlows {
    /// Notes a packet of a flow that can't be found.
    pub(crate) fn record_packet(&mut self, now: Timestamp, flow: FlowId) {
        if let Some(unresolved) = self.flows.get_mut(&flow) {
            unresolved.last_packet_at = now;
        } else if self.flows.len() < MAX_UNRESOLVED {
            let unresolved = UnresolvedFlow {
                first_packet_at: now,
                last_packet_at: now,
                queried_at: None,
                query_backoff: INITIAL_QUERY_BACKOFF,
                not_held_by: SmallVec::new(),
            };
            self.flows.insert(flow, unresolved);
        }
    }

    /// Forgets a flow that was found.
    pub(crate) fn remove(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// Takes in a sibling's word that it doesn't hold the flow.
    pub(crate) fn record_not_held(&mut self, flow: FlowId, by: UpstreamNumber) {
        let Some(unresolved) = self.flows.get_mut(&flow) else {
            return;
        };
        // An answer to a question of an earlier miss would not be asked for here.
        if unresolved.queried_at.is_some() && !unresolved.not_held_by.contains(&by) {
            unresolved.not_held_by.push(by);
        }
    }

    /// Flows that siblings are to be asked for now.
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

    /// Whether each agent of the service except `own` has said that it doesn't hold the flow.
    pub(crate) fn is_lost(
        &self,
        now: Timestamp,
        flow: FlowId,
        service: &Service,
        own: UpstreamNumber,
    ) -> bool {
        let Some(unresolved) = self.flows.get(&flow) else {
            return false;
        };
        let denied = |number| number == own || unresolved.not_held_by.contains(&number);
        let is_past_min_age = now.since(unresolved.first_packet_at) >= MIN_LOST_AGE;
        is_past_min_age && service.upstreams.iter().all(|u| denied(u.number))
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, unresolved| now.since(unresolved.last_packet_at) < UNRESOLVED_TTL);
    }
}

impl UnresolvedFlow {
    fn is_query_due(&self, now: Timestamp) -> bool {
        let has_elapsed = |at| now.since(at) >= self.query_backoff;
        self.queried_at.is_none_or(has_elapsed)
    }

    fn record_query(&mut self, now: Timestamp) {
        if self.queried_at.is_some() {
            self.query_backoff = (self.query_backoff * 2).min(MAX_QUERY_BACKOFF);
        }
        self.queried_at = Some(now);
    }
}
