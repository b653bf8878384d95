//! IP packets: what the decisions need of them, and the tag in their timestamp option.

mod parse;
mod reset;
mod tag;

use thiserror::Error;

pub use parse::parse_segment;
pub use reset::reset_for;
pub use tag::write_tag;

/// Why a packet can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// It is no well-formed IP packet.
    #[error("not an IP packet")]
    NotIp,
    /// It carries something other than a whole TCP header.
    #[error("not a TCP segment")]
    NotTcp,
    /// It is a fragment.
    #[error("a fragment")]
    Fragment,
}
