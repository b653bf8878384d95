//! The clock that gives deciding functions the present time.

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use plantainquay_core::Timestamp;

/// Waits for `time`, as far as the runtime's timers reach.
pub(crate) async fn sleep_for(duration: Duration) {
    sleep(Millis(
        u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
    ))
    .await;
}

/// A clock that starts with the process and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
