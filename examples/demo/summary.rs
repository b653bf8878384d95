//! Summary of a run, printed as the demo's last line.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) flows: u64,
    pub(crate) failed: u64,
    pub(crate) bookings: u64,
    pub(crate) doubled: u64,
    pub(crate) misdelivered: u64,
    pub(crate) imbalance: f64,
    pub(crate) in_force_after: Duration,
}

impl Summary {
    /// Returns true if no operation failed, no booking ran twice and nothing was misdelivered.
    pub(crate) fn is_success(&self) -> bool {
        self.failed == 0 && self.doubled == 0 && self.misdelivered == 0
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "demo flows={} broken={} bookings={} doubled={} misdelivered={} imbalance={:.2} \
             in_force_ms={}",
            self.flows,
            self.failed,
            self.bookings,
            self.doubled,
            self.misdelivered,
            self.imbalance,
            self.in_force_after.as_millis()
        )
    }
}

/// Returns the largest ratio of the flows at one upstream to the mean of its service.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn imbalance(
    feeds: &HashMap<(String, u32), u64>,
    upstreams: &HashMap<String, usize>,
) -> f64 {
    let mut max_imbalance: f64 = 1.0;
    for (service, count) in upstreams {
        let service_feeds = feeds.iter().filter(|((name, _), _)| name == service);
        let flows: Vec<u64> = service_feeds.map(|(_, flows)| *flows).collect();
        let total: u64 = flows.iter().sum();
        if total > 0 {
            let largest = flows.iter().max().copied().unwrap_or(0);
            max_imbalance = max_imbalance.max(largest as f64 * *count as f64 / total as f64);
        }
    }
    max_imbalance
}
