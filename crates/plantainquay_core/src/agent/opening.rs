//! A flow that may open.

use plantainquay_schema::Name;

use crate::{FiveTuple, Segment};

/// A flow that may open at an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// Addresses and ports.
    pub tuple: FiveTuple,
    /// The member whose limit it is counted against.
    pub member: Name,
    /// Whether the caller echoes timestamps.
    pub echoes: bool,
}

impl Opening {
    /// The flow that `segment` opens.
    #[must_use]
    pub fn new(segment: &Segment, member: Name) -> Self {
        Self {
            tuple: segment.tuple,
            member,
            echoes: segment.has_timestamp,
        }
    }
}
