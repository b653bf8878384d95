//! The present time, as deciding functions take it.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since the process started, on a clock that never goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment `millis` milliseconds after the start.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time since `earlier`, or zero when that lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
