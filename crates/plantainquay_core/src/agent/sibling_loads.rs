//! Loads that siblings reported.

use std::collections::HashMap;
use std::time::Duration;

use plantainquay_schema::{Load, UpstreamNumber};

use crate::Timestamp;

/// Age up to which a report is preferred to older ones.
const RECENT_AGE: Duration = Duration::from_millis(500);
/// Age at which a report says nothing any more.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Last reports of an agent's siblings.
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

    /// The sibling's load, unless the report is too old.
    pub(crate) fn fresh(&self, now: Timestamp, number: UpstreamNumber) -> Option<Load> {
        let report = self.reports.get(&number)?;
        (now.since(report.received_at) <= REPORT_TTL).then_some(report.load)
    }

    /// Like [`Self::fresh`], for a report that is recent.
    pub(crate) fn recent(&self, now: Timestamp, number: UpstreamNumber) -> Option<Load> {
        let report = self.reports.get(&number)?;
        (now.since(report.received_at) <= RECENT_AGE).then_some(report.load)
    }

    /// Counts a flow that was passed to a sibling since its last report.
    pub(crate) fn add_flow(&mut self, number: UpstreamNumber) {
        if let Some(report) = self.reports.get_mut(&number) {
            report.load.open_flows = report.load.open_flows.saturating_add(1);
        }
    }

    /// Forgets everything, as after a pause whose length is unknown.
    pub(crate) fn clear(&mut self) {
        self.reports.clear();
    }
}
