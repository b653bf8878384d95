//! Flows that the owner of their bucket can't find.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{FlowId, Service, UpstreamNumber};
use smallvec::SmallVec;

use crate::Timestamp;

/// Most missed flows of one shard; more are neither asked for nor reset.
const MAX_MISSED: usize = 1_024;
/// Time without a packet after which a missed flow is forgotten.
const MISSED_TTL: Duration = Duration::from_mins(5);
/// Time between the first two questions for one flow; it doubles with each question.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);
const LONGEST_INTERVAL: Duration = Duration::from_secs(32);
/// Age below which a missed flow is never taken for lost.
///
/// Within it, a document that names the flow's holder has reached every process.
const MIN_LOST_AGE: Duration = Duration::from_mins(1);

/// Flows that the owner of their bucket can't find.
#[derive(Debug, Default)]
pub(crate) struct MissedFlows {
    flows: HashMap<FlowId, Missed>,
}

#[derive(Debug)]
struct Missed {
    first: Timestamp,
    last: Timestamp,
    asked: Option<Timestamp>,
    ask_again_after: Duration,
    not_held_by: SmallVec<[UpstreamNumber; 8]>,
}

impl MissedFlows {
    /// Notes a packet of a flow that can't be found.
    pub(crate) fn note(&mut self, now: Timestamp, flow: FlowId) {
        if let Some(missed) = self.flows.get_mut(&flow) {
            missed.last = now;
        } else if self.flows.len() < MAX_MISSED {
            let missed = Missed {
                first: now,
                last: now,
                asked: None,
                ask_again_after: FIRST_INTERVAL,
                not_held_by: SmallVec::new(),
            };
            self.flows.insert(flow, missed);
        }
    }

    /// Forgets a flow that was found.
    pub(crate) fn clear(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
    }

    /// Takes in a sibling's word that it doesn't hold the flow.
    pub(crate) fn not_held(&mut self, flow: FlowId, by: UpstreamNumber) {
        let Some(missed) = self.flows.get_mut(&flow) else {
            return;
        };
        // An answer to a question of an earlier miss would not be asked for here.
        if missed.asked.is_some() && !missed.not_held_by.contains(&by) {
            missed.not_held_by.push(by);
        }
    }

    /// Flows that siblings are to be asked for now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<FlowId> {
        let mut flows = Vec::new();
        for (flow, missed) in &mut self.flows {
            if missed.is_due(now) {
                missed.note_question(now);
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
        let Some(missed) = self.flows.get(&flow) else {
            return false;
        };
        let denied = |number| number == own || missed.not_held_by.contains(&number);
        let old_enough = now.since(missed.first) >= MIN_LOST_AGE;
        old_enough && service.upstreams.iter().all(|u| denied(u.number))
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, missed| now.since(missed.last) < MISSED_TTL);
    }
}

impl Missed {
    fn is_due(&self, now: Timestamp) -> bool {
        let due = |at| now.since(at) >= self.ask_again_after;
        self.asked.is_none_or(due)
    }

    fn note_question(&mut self, now: Timestamp) {
        if self.asked.is_some() {
            self.ask_again_after = (self.ask_again_after * 2).min(LONGEST_INTERVAL);
        }
        self.asked = Some(now);
    }
}
