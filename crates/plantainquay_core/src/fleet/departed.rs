//! Upstreams that the store no longer names.

use std::time::Duration;

use plantainquay_schema::{Departure, Name};

use super::UpstreamRecord;
use crate::Timestamp;

/// Time for which the entry of an upstream that didn't say it would leave still counts.
///
/// Entries expire by mistake while the store is away, and upstreams that live write theirs anew
/// within two seconds of its return.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How sure it is that an upstream is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// The store names it.
    Listed,
    /// The store no longer names it, maybe by mistake; it counts as if it did.
    Suspect,
    /// It has left, but may still hold flows.
    Former,
}

#[derive(Clone, Debug)]
pub(super) struct DepartedUpstream {
    pub(super) last: Option<UpstreamRecord>,
    pub(super) revision: u64,
    pub(super) departed_at: Timestamp,
    /// Whether the entry may have expired by mistake.
    pub(super) is_unannounced: bool,
}

impl DepartedUpstream {
    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        self.is_unannounced && now.since(self.departed_at) < SUSPECT_TIMEOUT
    }

    pub(super) fn presence(&self, now: Timestamp) -> Presence {
        if self.is_suspect(now) {
            Presence::Suspect
        } else {
            Presence::Former
        }
    }

    pub(super) fn as_departure(&self, id: &Name) -> Departure {
        Departure {
            id: id.clone(),
            revision: self.revision,
            last: self.last.as_ref().map(|record| (*record.entry).clone()),
        }
    }
}
