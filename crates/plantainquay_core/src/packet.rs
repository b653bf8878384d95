//! Packet fields that the decisions use.

use plantainquay_schema::{FiveTuple, UpstreamNumber};

/// Fields of a TCP segment that the decisions use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Source and destination addresses and ports.
    pub tuple: FiveTuple,
    /// SYN without ACK: the segment opens a flow.
    pub opening: bool,
    /// RST: the segment ends a flow at once.
    pub reset: bool,
    /// The timestamp option is present, so the caller echoes tags.
    pub has_timestamp: bool,
    /// Upstream number that the caller echoes in the timestamp option.
    pub tag: Option<UpstreamNumber>,
}

impl Segment {
    /// Returns a segment that opens a flow, without the timestamp option.
    #[must_use]
    pub fn opening(tuple: FiveTuple) -> Self {
        Self {
            opening: true,
            ..Self::established(tuple)
        }
    }

    /// Returns a segment of an established flow, without the timestamp option.
    #[must_use]
    pub fn established(tuple: FiveTuple) -> Self {
        Self {
            tuple,
            opening: false,
            reset: false,
            has_timestamp: false,
            tag: None,
        }
    }

    /// Adds the timestamp option, which echoes `tag`.
    #[must_use]
    pub fn with_tag(mut self, tag: Option<UpstreamNumber>) -> Self {
        self.has_timestamp = true;
        self.tag = tag;
        self
    }
}
