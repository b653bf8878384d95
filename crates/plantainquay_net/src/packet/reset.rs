//! TCP resets for packets of unknown flows.

use std::net::IpAddr;

use etherparse::{PacketBuilder, PacketBuilderStep, TcpHeader, TcpSlice};

use super::PacketError;
use super::parse::slice_tcp;

const HOP_LIMIT: u8 = 64;

/// Builds the reset in response to `packet` as specified by RFC 9293.
///
/// # Errors
///
/// Fails when the packet is not an unfragmented TCP segment.
pub fn reset_for(packet: &[u8]) -> Result<Vec<u8>, PacketError> {
    let (source, destination, tcp) = slice_tcp(packet)?;
    let builder = match (destination, source) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT)
        }
        _ => return Err(PacketError::NotIp),
    };
    let ports = (tcp.destination_port(), tcp.source_port());
    let reset = if tcp.ack() {
        builder
            .tcp(ports.0, ports.1, tcp.acknowledgment_number(), 0)
            .rst()
    } else {
        acknowledge(builder.tcp(ports.0, ports.1, 0, 0).rst(), &tcp)
    };
    let mut buf = Vec::with_capacity(reset.size(0));
    reset
        .write(&mut buf, &[])
        .map_err(|_e| PacketError::NotIp)?;
    Ok(buf)
}

fn acknowledge(
    reset: PacketBuilderStep<TcpHeader>,
    tcp: &TcpSlice<'_>,
) -> PacketBuilderStep<TcpHeader> {
    let payload = u32::try_from(tcp.payload().len()).unwrap_or(0);
    let length = payload + u32::from(tcp.syn()) + u32::from(tcp.fin());
    reset.ack(tcp.sequence_number().wrapping_add(length))
}
