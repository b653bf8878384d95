//! Addresses and ports of a flow.

use std::net::{AddrParseError, IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

use crate::FlowId;

/// Addresses and ports of a flow; the protocol is always TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FiveTuple {
    /// Address and port of the caller.
    pub source: SocketAddr,
    /// Address and port of the service.
    pub destination: SocketAddr,
}

impl FiveTuple {
    /// Parses the two addresses of a TCP flow.
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

    /// Identifier of the flow; all processes compute the same value.
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
