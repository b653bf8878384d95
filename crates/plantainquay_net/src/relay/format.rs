//! The interface to a packet format.

use bytes::Bytes;
use plantainquay_core::relay::Packet;
use plantainquay_schema::FiveTuple;

/// A packet format as a set of functions.
#[derive(Clone, Copy, Debug)]
pub struct PacketFormat {
    /// Parses a packet sent by a caller.
    pub from_caller: fn(&[u8]) -> Option<Packet>,
    /// Parses a packet sent or returned by an upstream.
    pub from_upstream: fn(&[u8]) -> Option<Packet>,
    /// Clears the mark of a returned packet, which restores the original.
    pub clear_returned: fn(&mut [u8]),
    /// Builds the packet that resets a flow at its caller, given the caller's last acknowledgment
    /// number.
    pub reset: fn(&FiveTuple, u32) -> Option<Bytes>,
}
