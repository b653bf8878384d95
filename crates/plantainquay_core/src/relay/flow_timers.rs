//! Timers of flows.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use plantainquay_schema::FlowId;

use crate::Timestamp;

/// Timers of flows, ordered by expiry.
#[derive(Debug, Default)]
pub(super) struct FlowTimers {
    heap: BinaryHeap<Reverse<(Timestamp, FlowId)>>,
}

impl FlowTimers {
    pub(super) fn schedule(&mut self, at: Timestamp, flow: FlowId) {
        self.heap.push(Reverse((at, flow)));
    }

    /// Removes the next expired timer whose flow is in `flows`; other expired timers are discarded.
    pub(super) fn pop_expired<'a, T>(
        &mut self,
        now: Timestamp,
        flows: &'a mut HashMap<FlowId, T>,
    ) -> Option<(FlowId, &'a mut T)> {
        loop {
            let flow = self.pop(now)?;
            if flows.contains_key(&flow) {
                return flows.get_mut(&flow).map(|state| (flow, state));
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
