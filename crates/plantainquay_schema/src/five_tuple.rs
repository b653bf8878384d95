//! Addresses and ports of a flow.

use std::net::{AddrParseError, IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

use crate::FlowId;

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
