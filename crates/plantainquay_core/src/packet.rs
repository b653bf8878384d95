//! What the decisions need to know of a packet.

use std::net::{AddrParseError, IpAddr, SocketAddr};

use plantainquay_schema::{FlowId, UpstreamNumber};
use xxhash_rust::xxh3::xxh3_64;

/// Addresses and ports of a TCP flow; the protocol is TCP throughout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FiveTuple {
    /// The caller.
    pub source: SocketAddr,
    /// The service's address and port.
    pub destination: SocketAddr,
}

impl FiveTuple {
    /// A TCP flow between two addresses given as text.
    ///
    /// # Errors
    ///
    /// Fails when either text is not `ip:port`.
    pub fn tcp(source: &str, destination: &str) -> Result<Self, AddrParseError> {
        Ok(Self {
            source: source.parse()?,
            destination: destination.parse()?,
        })
    }

    /// The flow's identifier, the same in every process.
    #[must_use]
    pub fn flow_id(&self) -> FlowId {
        const ENCODED_BYTES: usize = 36;
        let mut buf = [0; ENCODED_BYTES];
        encode(self.source, &mut buf[..ENCODED_BYTES / 2]);
        encode(self.destination, &mut buf[ENCODED_BYTES / 2..]);
        FlowId(xxh3_64(&buf))
    }
}

fn encode(address: SocketAddr, buf: &mut [u8]) {
    match address.ip() {
        IpAddr::V4(ip) => buf[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => buf[..16].copy_from_slice(&ip.octets()),
    }
    buf[16..18].copy_from_slice(&address.port().to_be_bytes());
}

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
