//! The tag that callers echo: the upstream's number in the low bits of TCP timestamps.

use plantainquay_core::Timestamp;
use plantainquay_schema::UpstreamNumber;

use super::parse::{TAG_MASK, slice_tcp};

const OPTION_END: u8 = 0;
const OPTION_NOP: u8 = 1;
const OPTION_TIMESTAMP: u8 = 8;
const TIMESTAMP_OPTION_BYTES: usize = 10;
/// Offset of the checksum in a TCP header.
const CHECKSUM_OFFSET: usize = 16;
/// Time between two values of the upper bits, in microseconds.
///
/// With the remaining bits, values increase for 24 days before a receiver could take them for
/// old ones, which is the time after which RFC 7323 lets it discard the last value.
const TICK_MICROS: u64 = 4_000_000;

/// Writes `number` into the packet's timestamp option, if present, and updates the checksum.
///
/// Returns true if the packet has the option.
pub fn write_tag(packet: &mut [u8], number: UpstreamNumber, now: Timestamp) -> bool {
    let Some((tcp, option)) = find_option(packet) else {
        return false;
    };
    let value = tagged_value(number, now).to_be_bytes();
    let value_offset = tcp + option + 2;
    let mut checksum = packet_u16(packet, tcp + CHECKSUM_OFFSET);
    for (i, new) in value.into_iter().enumerate() {
        // Bytes at even offsets of the segment are the upper halves of its 16-bit words.
        let upper = (option + i).is_multiple_of(2);
        let old = packet[value_offset + i];
        checksum = update_checksum(checksum, to_word(old, upper), to_word(new, upper));
        packet[value_offset + i] = new;
    }
    packet[tcp + CHECKSUM_OFFSET..][..2].copy_from_slice(&checksum.to_be_bytes());
    true
}

fn tagged_value(number: UpstreamNumber, now: Timestamp) -> u32 {
    let ticks = u32::try_from((now.0 / TICK_MICROS) & u64::from(u32::MAX)).unwrap_or(0);
    (ticks << UpstreamNumber::BITS) | (u32::from(number.get()) & TAG_MASK)
}

/// Returns the offset of the TCP header in the packet, and of the timestamp option in the header.
fn find_option(packet: &[u8]) -> Option<(usize, usize)> {
    let (_, _, tcp) = slice_tcp(packet).ok()?;
    let segment = tcp.slice().len();
    let tcp_offset = packet.len().checked_sub(segment)?;
    let header_bytes = tcp.header_slice().len();
    let options = tcp.options();
    let mut at = 0;
    while at < options.len() {
        match options[at] {
            OPTION_END => return None,
            OPTION_NOP => at += 1,
            OPTION_TIMESTAMP if at + TIMESTAMP_OPTION_BYTES <= options.len() => {
                return Some((tcp_offset, header_bytes - options.len() + at));
            }
            _ => at += usize::from(*options.get(at + 1)?).max(2),
        }
    }
    None
}

fn packet_u16(packet: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([packet[at], packet[at + 1]])
}

fn to_word(byte: u8, upper: bool) -> u16 {
    if upper {
        u16::from(byte) << 8
    } else {
        u16::from(byte)
    }
}

/// Returns the checksum after one word changed from `old` to `new`, as in RFC 1624.
fn update_checksum(checksum: u16, old: u16, new: u16) -> u16 {
    let sum = u32::from(!checksum) + u32::from(!old) + u32::from(new);
    let folded = (sum & 0xffff) + (sum >> 16);
    let folded = (folded & 0xffff) + (folded >> 16);
    !u16::try_from(folded).unwrap_or(u16::MAX)
}
