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

/// A point in time that may be before the start of the process, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTimestamp(i64);

impl SignedTimestamp {
    /// Earlier than any other point in time.
    pub(crate) const MIN: Self = Self(i64::MIN);

    /// Returns the time `duration` before `now`.
    pub(crate) fn before(now: Timestamp, duration: Duration) -> Self {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        Self(Self::from(now).0.saturating_sub(micros))
    }

    /// Returns the time elapsed until `now`, or zero if `self` is later.
    pub(crate) fn age(self, now: Timestamp) -> Duration {
        let micros = Self::from(now).0.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

impl From<Timestamp> for SignedTimestamp {
    fn from(time: Timestamp) -> Self {
        Self(i64::try_from(time.0).unwrap_or(i64::MAX))
    }
}
