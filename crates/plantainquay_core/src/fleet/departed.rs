//! Upstreams that the store no longer lists.

use std::time::Duration;

use plantainquay_schema::{Departure, Name, StoreRevision};

use super::UpstreamRecord;
use crate::Timestamp;

/// Time for which an upstream that departed unannounced is still used.
///
/// Entries expire by mistake while the store is unavailable, and live upstreams register again
/// within two seconds of its return.
const DEPARTURE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Certainty that an upstream is still present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// The store lists the upstream.
    Listed,
    /// The store no longer lists the upstream, but the entry may have expired by mistake; until the
    /// grace period ends, the upstream is used as if listed.
    InGracePeriod,
    /// The upstream has left, but may still have open flows.
    Former,
}

#[derive(Clone, Debug)]
pub(super) struct DepartedUpstream {
    pub(super) last: Option<UpstreamRecord>,
    pub(super) revision: StoreRevision,
    pub(super) departed_at: Timestamp,
    /// True if the upstream did not announce its departure, so that its entry may have expired by
    /// mistake or is missing in the copy of a restored store.
    pub(super) is_unannounced: bool,
}

impl DepartedUpstream {
    pub(super) fn is_in_grace_period(&self, now: Timestamp) -> bool {
        self.is_unannounced && now.since(self.departed_at) < DEPARTURE_GRACE_PERIOD
    }

    pub(super) fn presence(&self, now: Timestamp) -> Presence {
        if self.is_in_grace_period(now) {
            Presence::InGracePeriod
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
