//! Detection of pauses of the process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Timestamp;

/// Interval between two ticks above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// Time after a pause during which packets that arrived in the pause may still be read.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Detects pauses by late ticks.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_tick_at: AtomicU64,
    /// End of the last pause, or zero if there was none.
    resumed_at: AtomicU64,
}

impl PauseDetector {
    pub(super) fn tick(&self, now: Timestamp) {
        let last = Timestamp(self.last_tick_at.swap(now.0, Ordering::Relaxed));
        if now.since(last) > PAUSE_THRESHOLD {
            self.resumed_at.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns true if a packet that is read now may have arrived during a pause.
    pub(super) fn was_paused(&self, now: Timestamp) -> bool {
        let last = Timestamp(self.last_tick_at.load(Ordering::Relaxed));
        let resumed_at = self.resumed_at.load(Ordering::Relaxed);
        let is_resumed = resumed_at > 0 && now.since(Timestamp(resumed_at)) < CATCH_UP_TIME;
        is_resumed || now.since(last) > PAUSE_THRESHOLD
    }
}
