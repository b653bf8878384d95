//! Upstreams that the store no longer names.

use std::time::Duration;

use plantainquay_schema::{Departure, Name};

use super::Known;
use crate::Timestamp;

/// Time for which the entry of an upstream that didn't say it would leave still counts.
///
/// Entries expire by mistake while the store is away, and upstreams that live write theirs anew
/// within two seconds of its return.
const DOUBT: Duration = Duration::from_millis(2_200);

/// How sure it is that an upstream is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The store names it.
    Named,
    /// The store no longer names it, maybe by mistake; it counts as if it did.
    Doubted,
    /// It has left, but may still hold flows.
    Former,
}

#[derive(Clone, Debug)]
pub(super) struct Departed {
    pub(super) last: Option<Known>,
    pub(super) revision: u64,
    pub(super) at: Timestamp,
    /// Whether the entry may have expired by mistake.
    pub(super) doubtful: bool,
}

impl Departed {
    pub(super) fn is_doubted(&self, now: Timestamp) -> bool {
        self.doubtful && now.since(self.at) < DOUBT
    }

    pub(super) fn standing(&self, now: Timestamp) -> Standing {
        if self.is_doubted(now) {
            Standing::Doubted
        } else {
            Standing::Former
        }
    }

    pub(super) fn as_departure(&self, id: &Name) -> Departure {
        Departure {
            id: id.clone(),
            revision: self.revision,
            last: self.last.as_ref().map(|known| (*known.entry).clone()),
        }
    }
}
