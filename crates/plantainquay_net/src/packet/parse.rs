//! Parsing of the packet fields that the decisions use.

use std::net::{IpAddr, SocketAddr};

use etherparse::{NetSlice, SlicedPacket, TcpOptionElement, TcpSlice, TransportSlice};
use plantainquay_core::{FiveTuple, Segment};
use plantainquay_schema::UpstreamNumber;

use super::PacketError;

/// Mask of the timestamp bits that carry a tag.
pub(super) const TAG_MASK: u32 = (1 << UpstreamNumber::BITS) - 1;

/// Reads addresses, flags and the echoed tag of a TCP segment.
///
/// # Errors
///
/// Fails when the packet is not an unfragmented TCP segment.
pub fn parse_segment(packet: &[u8]) -> Result<Segment, PacketError> {
    let (source, destination, tcp) = slice_tcp(packet)?;
    let timestamp = timestamp_option(&tcp);
    let echoed = timestamp.and_then(|(_, echo)| UpstreamNumber::new(echo & TAG_MASK));
    Ok(Segment {
        tuple: FiveTuple {
            source: SocketAddr::new(source, tcp.source_port()),
            destination: SocketAddr::new(destination, tcp.destination_port()),
        },
        opening: tcp.syn() && !tcp.ack(),
        reset: tcp.rst(),
        has_timestamp: timestamp.is_some(),
        tag: echoed.filter(|_| !tcp.syn()),
    })
}

/// Returns source address, destination address and TCP segment of a packet.
pub(super) fn slice_tcp(packet: &[u8]) -> Result<(IpAddr, IpAddr, TcpSlice<'_>), PacketError> {
    let sliced = SlicedPacket::from_ip(packet).map_err(|_e| PacketError::NotIp)?;
    let net = sliced.net.ok_or(PacketError::NotIp)?;
    if net
        .ip_payload_ref()
        .is_some_and(|payload| payload.fragmented)
    {
        return Err(PacketError::Fragment);
    }
    let (source, destination) = addresses(&net)?;
    match sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => Ok((source, destination, tcp)),
        _ => Err(PacketError::NotTcp),
    }
}

fn addresses(net: &NetSlice<'_>) -> Result<(IpAddr, IpAddr), PacketError> {
    match net {
        NetSlice::Ipv4(ip) => {
            let header = ip.header();
            Ok((
                header.source_addr().into(),
                header.destination_addr().into(),
            ))
        }
        NetSlice::Ipv6(ip) => {
            let header = ip.header();
            Ok((
                header.source_addr().into(),
                header.destination_addr().into(),
            ))
        }
        NetSlice::Arp(_) => Err(PacketError::NotIp),
    }
}

fn timestamp_option(tcp: &TcpSlice<'_>) -> Option<(u32, u32)> {
    tcp.options_iterator().find_map(|option| match option {
        Ok(TcpOptionElement::Timestamp(value, echo)) => Some((value, echo)),
        _ => None,
    })
}
