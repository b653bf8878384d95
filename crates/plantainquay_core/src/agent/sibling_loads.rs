//! Load reports of siblings.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{Load, UpstreamNumber};

use crate::Timestamp;

/// Maximum age of a report that is preferred over older ones.
const RECENT_AGE: Duration = Duration::from_millis(500);
/// Age after which a report expires.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Latest load report of each sibling.
#[derive(Debug, Default)]
pub(crate) struct SiblingLoads {
    reports: HashMap<UpstreamNumber, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    received_at: Timestamp,
}

impl SiblingLoads {
    pub(crate) fn record(&mut self, now: Timestamp, from: UpstreamNumber, load: Load) {
        self.reports.insert(
            from,
            Report {
                load,
                received_at: now,
            },
        );
    }

    /// Returns the sibling's load, unless the report has expired.
    pub(crate) fn fresh(&self, now: Timestamp, number: UpstreamNumber) -> Option<Load> {
        let report = self.reports.get(&number)?;
        (now.since(report.received_at) <= REPORT_TTL).then_some(report.load)
    }

    /// Returns the sibling's load if its report is at most [`RECENT_AGE`] old.
    pub(crate) fn recent(&self, now: Timestamp, number: UpstreamNumber) -> Option<Load> {
        let report = self.reports.get(&number)?;
        (now.since(report.received_at) <= RECENT_AGE).then_some(report.load)
    }

    /// Adds a flow that was forwarded to a sibling to the sibling's last report.
    pub(crate) fn add_flow(&mut self, number: UpstreamNumber) {
        if let Some(report) = self.reports.get_mut(&number) {
            report.load.open_flows = report.load.open_flows.saturating_add(1);
        }
    }

    /// Discards all reports, as after a pause of the process.
    pub(crate) fn clear(&mut self) {
        self.reports.clear();
    }
}
