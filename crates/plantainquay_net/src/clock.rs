//! The monotonic clock whose timestamps the core's decisions use.

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use plantainquay_core::Timestamp;

/// Sleeps for `duration`, capped at the longest interval of the runtime's timers.
pub(crate) async fn sleep_for(duration: Duration) {
    sleep(Millis(
        u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
    ))
    .await;
}

/// A monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
