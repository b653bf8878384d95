//! The parts of a packet that decisions depend on.

use plantainquay_schema::FiveTuple;

/// The parts of a packet that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent flags of one packet"
)]
pub struct Packet {
    /// The flow in the direction from the caller, for packets of either end.
    pub tuple: FiveTuple,
    /// True if SYN is set, by either end.
    pub syn: bool,
    /// True if ACK is set.
    pub acknowledges: bool,
    /// True if FIN is set.
    pub fin: bool,
    /// True if RST is set.
    pub reset: bool,
    /// True if the upstream returned this packet of a caller, because it doesn't hold or accept the
    /// flow.
    pub returned: bool,
    /// Acknowledgement number; in an opening packet, the number of earlier transmissions by the
    /// caller.
    pub ack: u32,
    /// Payload length in bytes.
    pub data_bytes: u16,
}

impl Packet {
    /// Returns true if the packet requests a new flow.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.syn && !self.acknowledges
    }

    /// Returns true if an earlier transmission of this opening packet may have opened the flow.
    #[must_use]
    pub fn is_retransmitted_opening(&self) -> bool {
        self.is_opening() && self.ack > 0
    }
}
