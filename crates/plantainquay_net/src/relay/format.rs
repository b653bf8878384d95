//! How packets are read and written.

use bytes::Bytes;
use plantainquay_core::relay::Packet;
use plantainquay_schema::FiveTuple;

/// A packet format, as plain functions.
#[derive(Clone, Copy, Debug)]
pub struct PacketFormat {
    /// Describes a packet that a caller has sent.
    pub from_caller: fn(&[u8]) -> Option<Packet>,
    /// Describes a packet that an upstream has sent or returned.
    pub from_upstream: fn(&[u8]) -> Option<Packet>,
    /// Makes a returned packet what it was before.
    pub clear_returned: fn(&mut [u8]),
    /// The packet that resets a flow at its caller, who has last acknowledged this number.
    pub reset: fn(&FiveTuple, u32) -> Option<Bytes>,
}
