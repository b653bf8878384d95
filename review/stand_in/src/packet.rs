//! The platform's packet header, as PROTOCOL.md describes it.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const ACK: u8 = 1;
pub const SYN: u8 = 4;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 128;
const HEADER_BYTES: usize = 32;

#[derive(Clone, Debug)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sum: u16,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet with a keyed sum over all fields except `echo`, `pad` and BOUNCED.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[6..10].copy_from_slice(&self.destination.ip().octets());
        bytes[10..12].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[12..16].copy_from_slice(&self.source.ip().octets());
        bytes[16..18].copy_from_slice(&self.destination.port().to_be_bytes());
        bytes[22..26].copy_from_slice(&self.seq.to_be_bytes());
        bytes[26..30].copy_from_slice(&self.ack.to_be_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = keyed_sum(&bytes);
        bytes[2..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let ip =
            |at: usize| Ipv4Addr::new(header[at], header[at + 1], header[at + 2], header[at + 3]);
        let port = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let number = |at: usize| {
            u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        Some(Self {
            source: SocketAddrV4::new(ip(12), port(10)),
            destination: SocketAddrV4::new(ip(6), port(16)),
            sum: port(2),
            seq: number(22),
            ack: number(26),
            flags: header[30],
            data: bytes[HEADER_BYTES..].to_vec(),
        })
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// Returns true if the sender's end wrote the packet so.
pub fn is_intact(bytes: &[u8]) -> bool {
    bytes.len() >= HEADER_BYTES && keyed_sum(bytes).to_be_bytes() == bytes[2..4]
}

fn keyed_sum(bytes: &[u8]) -> u16 {
    let mut hash: u32 = 0x5bd1_e995;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            2 | 3 | 18..=21 | 31 => 0,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    let sum = (hash >> 16) as u16 ^ hash as u16;
    sum.max(1)
}
