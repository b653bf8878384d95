//! Enforcement of voted limits, exact and without messages between agents on admission.
//!
//! A limit is split over the upstreams of its service, and each agent enforces only its own share.
//! When a document changes the split, a lower share applies at once; a higher one applies only
//! after every agent of the service has had that document in force, so that the shares in use
//! never add up to more than the limit.

mod share;
mod share_tracker;
mod usage;

use plantainquay_schema::{Name, Resource};

pub use share::share_of;
pub use share_tracker::ShareTracker;
pub use usage::{LimitReached, Limits};

/// Identifies a limit within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitKey {
    /// Member whose use is limited.
    pub member: Name,
    /// Class of requests; `None` for open flows.
    pub class: Option<Name>,
    /// Limited resource.
    pub resource: Resource,
}
