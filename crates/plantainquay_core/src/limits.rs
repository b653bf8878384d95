//! Voted limits, held exactly and without talk while work is admitted.
//!
//! A limit is split over the upstreams of its service, and each agent enforces its own share alone.
//! When a document changes the split, a lowered share binds at once; a raised one only after each
//! agent of the service has had that document in force, so that the shares in use never add up to
//! more than the limit.

mod share;
mod share_tracker;
mod usage;

use plantainquay_schema::{Name, Resource};

pub use share::share_of;
pub use share_tracker::ShareTracker;
pub use usage::{LimitReached, Limits};

/// What a limit is for, within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitKey {
    /// The member.
    pub member: Name,
    /// The class of work; none for open flows.
    pub class: Option<Name>,
    /// What is counted.
    pub resource: Resource,
}
