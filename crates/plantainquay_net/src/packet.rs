//! IP packets: parsing, resets and the tag in the TCP timestamp option.

mod parse;
mod reset;
mod tag;

use thiserror::Error;

pub use parse::parse_segment;
pub use reset::reset_for;
pub use tag::write_tag;

/// An error in a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum PacketError {
    /// The bytes are not a well-formed IP packet.
    #[error("not an IP packet")]
    NotIp,
    /// The packet has no complete TCP header.
    #[error("not a TCP segment")]
    NotTcp,
    /// The packet is an IP fragment.
    #[error("a fragment")]
    Fragment,
}
