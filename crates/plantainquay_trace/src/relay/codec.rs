//! Encoding of simulated packets, limited to the fields that decisions, callers and upstreams use.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use bytes::Bytes;
use plantainquay_core::relay::Packet;
use plantainquay_schema::FiveTuple;

/// Destination of every simulated flow.
pub(super) const LISTENER: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443));

/// Kind of a simulated packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PacketKind {
    Open = 1,
    Accept = 2,
    Data = 3,
    Answer = 4,
    /// A retransmitted opening packet.
    RetransmittedOpen = 5,
}

/// A simulated packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SimulatedPacket {
    pub(super) flow: u16,
    pub(super) kind: PacketKind,
    /// Number of the upstream that the caller is connected to, or that sends the packet.
    pub(super) upstream: u16,
    /// Incarnation of that upstream; flows accepted by an earlier incarnation are invalid.
    pub(super) incarnation: u16,
    /// Sequence number of the caller's data packet on the flow; zero in opening packets.
    pub(super) sequence: u16,
}

impl SimulatedPacket {
    pub(super) fn encode(self) -> Bytes {
        let [f0, f1] = self.flow.to_be_bytes();
        let [u0, u1] = self.upstream.to_be_bytes();
        let [i0, i1] = self.incarnation.to_be_bytes();
        let [s0, s1] = self.sequence.to_be_bytes();
        Bytes::copy_from_slice(&[f0, f1, self.kind as u8, u0, u1, i0, i1, s0, s1])
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let [f0, f1, kind, u0, u1, i0, i1, s0, s1] = *bytes else {
            return None;
        };
        let kinds = [
            PacketKind::Open,
            PacketKind::Accept,
            PacketKind::Data,
            PacketKind::Answer,
            PacketKind::RetransmittedOpen,
        ];
        Some(Self {
            flow: u16::from_be_bytes([f0, f1]),
            kind: kinds.into_iter().find(|k| *k as u8 == kind)?,
            upstream: u16::from_be_bytes([u0, u1]),
            incarnation: u16::from_be_bytes([i0, i1]),
            sequence: u16::from_be_bytes([s0, s1]),
        })
    }

    pub(super) fn is_opening(self) -> bool {
        matches!(self.kind, PacketKind::Open | PacketKind::RetransmittedOpen)
    }

    /// Converts the packet to the form that the decisions use.
    pub(super) fn to_packet(self, returned: bool) -> Packet {
        Packet {
            tuple: flow_tuple(self.flow),
            syn: self.is_opening() || self.kind == PacketKind::Accept,
            acknowledges: !self.is_opening(),
            fin: false,
            reset: false,
            returned,
            ack: u32::from(self.kind == PacketKind::RetransmittedOpen),
            data_bytes: u16::from(matches!(self.kind, PacketKind::Data | PacketKind::Answer)),
        }
    }
}

/// Returns the five-tuple of a flow.
pub(super) fn flow_tuple(flow: u16) -> FiveTuple {
    let caller = SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), 10_000 + flow);
    FiveTuple {
        source: caller.into(),
        destination: LISTENER,
    }
}
