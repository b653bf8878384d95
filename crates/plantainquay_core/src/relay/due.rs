//! Flows for which something is due at a known time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use plantainquay_schema::FlowId;

use crate::Timestamp;

/// Flows in the order of the times at which they are to be looked at.
#[derive(Debug, Default)]
pub(super) struct DueFlows {
    heap: BinaryHeap<Reverse<(Timestamp, FlowId)>>,
}

impl DueFlows {
    pub(super) fn push(&mut self, at: Timestamp, flow: FlowId) {
        self.heap.push(Reverse((at, flow)));
    }

    /// The next one of `flows` whose time has come; those that are gone are passed over.
    pub(super) fn next_of<'a, T>(
        &mut self,
        now: Timestamp,
        flows: &'a mut HashMap<FlowId, T>,
    ) -> Option<(FlowId, &'a mut T)> {
        loop {
            let flow = self.pop(now)?;
            if flows.contains_key(&flow) {
                return flows.get_mut(&flow).map(|known| (flow, known));
            }
        }
    }

    fn pop(&mut self, now: Timestamp) -> Option<FlowId> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, flow))| flow)
    }
}
