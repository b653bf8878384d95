//! A flow that is about to open.

use plantainquay_schema::Name;

use crate::{FiveTuple, Segment};

/// A flow that an agent is about to open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// Source and destination addresses and ports.
    pub tuple: FiveTuple,
    /// Member whose limit the flow is counted against.
    pub member: Name,
    /// True if the caller echoes TCP timestamps.
    pub echoes: bool,
}

impl Opening {
    /// Returns the flow that `segment` opens.
    #[must_use]
    pub fn new(segment: &Segment, member: Name) -> Self {
        Self {
            tuple: segment.tuple,
            member,
            echoes: segment.has_timestamp,
        }
    }
}
