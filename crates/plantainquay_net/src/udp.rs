//! UDP sockets.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// Kernel buffer of a tunnel socket, in bytes; absorbs bursts while a thread is not scheduled.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a UDP socket with large buffers.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    bind(address, false)
}

/// Binds a UDP socket that shares its address with other sockets bound by this function.
///
/// The kernel distributes datagrams over these sockets by sender.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn bind_reuse_port(address: SocketAddr) -> io::Result<UdpSocket> {
    bind(address, true)
}

fn bind(address: SocketAddr, reuse_port: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_reuse_port(reuse_port)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
