//! One timer queue for each shard.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use plantainquay_core::Timestamp;
use plantainquay_schema::FlowId;
use tokio::sync::Notify;

use super::runtime::AgentRuntime;

/// Flows by the moment at which they are due.
#[derive(Debug, Default)]
pub(super) struct ShardTimers {
    queue: Mutex<BinaryHeap<Reverse<(Timestamp, FlowId)>>>,
    earlier_timer: Notify,
}

impl ShardTimers {
    /// Sets a timer; one that is no longer needed does no harm.
    pub(super) fn set(&self, poll_at: Timestamp, flow: FlowId) {
        let mut queue = self.queue.lock();
        let first = queue.peek().is_none_or(|Reverse((at, _))| poll_at < *at);
        queue.push(Reverse((poll_at, flow)));
        drop(queue);
        if first {
            self.earlier_timer.notify_one();
        }
    }

    fn pop_expired(&self, now: Timestamp) -> Vec<FlowId> {
        let mut queue = self.queue.lock();
        let mut expired = Vec::new();
        while let Some(Reverse((at, flow))) = queue.peek().copied() {
            if at > now {
                break;
            }
            queue.pop();
            expired.push(flow);
        }
        expired
    }

    fn next_poll(&self) -> Option<Timestamp> {
        self.queue.lock().peek().map(|Reverse((at, _))| *at)
    }
}

impl AgentRuntime {
    /// Polls the flows of one shard when they are due.
    pub(super) async fn run_timers(self: Arc<Self>, index: usize) {
        /// A wait that ends when an earlier timer is set.
        const IDLE_WAIT: Duration = Duration::from_hours(1);
        let timers = &self.timers[index];
        loop {
            let now = self.clock.now();
            let flows = timers.pop_expired(now);
            self.poll_flows(&flows, now);
            let wait = timers
                .next_poll()
                .map_or(IDLE_WAIT, |at| at.since(self.clock.now()));
            // A timer of a millisecond's resolution must not make the loop spin below it.
            let wait = wait.max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = timers.earlier_timer.notified() => {}
            }
        }
    }
}
