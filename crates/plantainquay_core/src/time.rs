//! Time as an input of the decision functions.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since the process started, on a monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time `millis` milliseconds after the process started.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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
