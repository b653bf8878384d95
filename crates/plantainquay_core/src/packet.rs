//! What the decisions need to know of a packet.

use plantainquay_schema::{FiveTuple, UpstreamNumber};

/// A TCP segment, as far as the decisions look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Addresses and ports.
    pub tuple: FiveTuple,
    /// SYN without ACK: the segment opens a flow.
    pub opening: bool,
    /// RST: the segment ends a flow at once.
    pub reset: bool,
    /// Whether the timestamp option is present, so that the caller echoes tags.
    pub has_timestamp: bool,
    /// Upstream number echoed in the timestamp option.
    pub tag: Option<UpstreamNumber>,
}

impl Segment {
    /// A segment that opens a flow.
    #[must_use]
    pub fn opening(tuple: FiveTuple) -> Self {
        Self {
            opening: true,
            ..Self::established(tuple)
        }
    }

    /// A segment of an established flow, without the timestamp option.
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

    /// The same segment with the timestamp option, echoing `tag`.
    #[must_use]
    pub fn with_tag(mut self, tag: Option<UpstreamNumber>) -> Self {
        self.has_timestamp = true;
        self.tag = tag;
        self
    }
}
