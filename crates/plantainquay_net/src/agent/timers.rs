//! Timer queues, one per shard.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use plantainquay_core::Timestamp;
use plantainquay_schema::FlowId;
use tokio::sync::Notify;

use super::runtime::AgentRuntime;

/// Flows ordered by the time of their next poll.
#[derive(Debug, Default)]
pub(super) struct ShardTimers {
    queue: Mutex<BinaryHeap<Reverse<(Timestamp, FlowId)>>>,
    earlier_timer: Notify,
}

impl ShardTimers {
    /// Sets a timer. Timers are never cancelled; a superfluous poll is harmless.
    pub(super) fn set(&self, poll_at: Timestamp, flow: FlowId) {
        let mut queue = self.queue.lock();
        let is_earliest = queue.peek().is_none_or(|Reverse((at, _))| poll_at < *at);
        queue.push(Reverse((poll_at, flow)));
        drop(queue);
        if is_earliest {
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
    /// Polls the flows of one shard when their timers expire.
    pub(super) async fn run_timers(self: Arc<Self>, index: usize) {
        /// Sleep time without timers; setting one ends the sleep.
        const IDLE_WAIT: Duration = Duration::from_hours(1);
        let timers = &self.timers[index];
        loop {
            let now = self.clock.now();
            let flows = timers.pop_expired(now);
            self.poll_flows(&flows, now);
            let wait = timers
                .next_poll()
                .map_or(IDLE_WAIT, |at| at.since(self.clock.now()));
            // Tokio timers have millisecond resolution; shorter waits would make the loop spin.
            let wait = wait.max(Duration::from_millis(1));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = timers.earlier_timer.notified() => {}
            }
        }
    }
}
