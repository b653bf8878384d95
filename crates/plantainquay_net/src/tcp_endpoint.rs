//! One end of one TCP flow inside the tunnel.
//!
//! Each flow has its own interface and socket set: a poll visits every socket of the set, so its
//! cost would grow with the number of flows in a shared set.

use std::fmt;
use std::net::SocketAddr;

use plantainquay_core::{FiveTuple, Timestamp};
use smallvec::SmallVec;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{self, State};
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Packets to send.
pub type Packets = SmallVec<[Vec<u8>; 2]>;

/// Largest IP packet inside the tunnel, in bytes; leaves room for the outer headers.
const MTU: usize = 1_400;
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Interval of keep-alive probes on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Time without a packet from the other end after which a flow is aborted.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// Number of bytes read.
    Bytes(usize),
    /// No bytes are available yet.
    Nothing,
    /// The other end has closed, and all bytes have been read.
    Finished,
    /// The flow was reset.
    Reset,
}

/// One end of one TCP flow.
pub struct TcpEndpoint {
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl TcpEndpoint {
    /// Creates the passive endpoint of `tuple`, at its destination.
    #[must_use]
    pub fn listen(tuple: &FiveTuple, seed: u64, now: Timestamp) -> Self {
        let mut endpoint = Self::new(tuple.destination, seed, now);
        let local = (
            IpAddress::from(tuple.destination.ip()),
            tuple.destination.port(),
        );
        let listening = endpoint.socket().listen(local);
        debug_assert!(listening.is_ok(), "a new socket can listen on a port");
        endpoint
    }

    /// Creates the active endpoint of `tuple`, at its source.
    #[must_use]
    pub fn connect(tuple: &FiveTuple, seed: u64, now: Timestamp) -> Self {
        let mut endpoint = Self::new(tuple.source, seed, now);
        let Self {
            iface,
            sockets,
            handle,
        } = &mut endpoint;
        let remote = (
            IpAddress::from(tuple.destination.ip()),
            tuple.destination.port(),
        );
        let local = (IpAddress::from(tuple.source.ip()), tuple.source.port());
        let socket = sockets.get_mut::<tcp::Socket<'_>>(*handle);
        let connecting = socket.connect(iface.context(), remote, local);
        debug_assert!(connecting.is_ok(), "a new socket can connect to a port");
        endpoint
    }

    /// Disables the TCP timestamp option.
    #[must_use]
    pub fn without_timestamps(mut self) -> Self {
        self.socket().set_tsval_generator(None);
        self
    }

    fn new(own: SocketAddr, seed: u64, now: Timestamp) -> Self {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut device = PollDevice {
            received: None,
            sent: &mut Packets::new(),
        };
        let mut iface = Interface::new(config, &mut device, to_instant(now));
        let address = IpAddress::from(own.ip());
        let prefix_bits = if own.is_ipv4() { 32 } else { 128 };
        iface.update_ip_addrs(|addresses| {
            let pushed = addresses.push(IpCidr::new(address, prefix_bits));
            debug_assert!(pushed.is_ok(), "an interface holds one address");
        });
        add_default_route(&mut iface, address);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(new_socket());
        Self {
            iface,
            sockets,
            handle,
        }
    }

    /// Processes a received packet and returns the packets to send.
    pub fn deliver(&mut self, now: Timestamp, packet: &[u8]) -> Packets {
        self.poll_interface(now, Some(packet))
    }

    /// Processes expired timers and returns the packets to send.
    pub fn poll(&mut self, now: Timestamp) -> Packets {
        self.poll_interface(now, None)
    }

    /// Returns the time at which [`Self::poll`] must be called next, if any.
    pub fn poll_at(&mut self, now: Timestamp) -> Option<Timestamp> {
        let poll_at = self.iface.poll_at(to_instant(now), &self.sockets)?;
        Some(Timestamp(
            u64::try_from(poll_at.total_micros()).unwrap_or(0),
        ))
    }

    /// Reads received bytes into `buf`.
    pub fn recv(&mut self, buf: &mut [u8]) -> Received {
        match self.socket().recv_slice(buf) {
            Ok(0) => Received::Nothing,
            Ok(bytes) => Received::Bytes(bytes),
            Err(tcp::RecvError::Finished) => Received::Finished,
            Err(tcp::RecvError::InvalidState) if self.is_closed() => Received::Reset,
            Err(tcp::RecvError::InvalidState) => Received::Nothing,
        }
    }

    /// Queues bytes to send; returns the number that fitted the send buffer.
    pub fn send(&mut self, buf: &[u8]) -> usize {
        self.socket().send_slice(buf).unwrap_or(0)
    }

    /// Closes the sending side once the queued bytes are sent.
    pub fn close(&mut self) {
        self.socket().close();
    }

    /// Aborts the flow with a reset.
    pub fn abort(&mut self) {
        self.socket().abort();
    }

    /// Returns true if bytes can be queued now, or later when the handshake is complete.
    pub fn may_send(&mut self) -> bool {
        let handshaking = !self.is_established() && !self.is_closed();
        handshaking || self.socket().may_send()
    }

    /// Returns true if the handshake is complete.
    pub fn is_established(&mut self) -> bool {
        !matches!(
            self.socket().state(),
            State::Listen | State::SynReceived | State::SynSent | State::Closed
        )
    }

    /// Returns true if both ends have closed and the socket only waits for late packets.
    pub fn is_time_wait(&mut self) -> bool {
        self.socket().state() == State::TimeWait
    }

    /// Returns true if the flow has ended.
    ///
    /// A socket whose handshake is reset returns to the listen state, but its only flow has ended.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.socket().state(), State::Closed | State::Listen)
    }

    fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn poll_interface(&mut self, now: Timestamp, received: Option<&[u8]>) -> Packets {
        let mut sent = Packets::new();
        let mut device = PollDevice {
            received,
            sent: &mut sent,
        };
        self.iface
            .poll(to_instant(now), &mut device, &mut self.sockets);
        sent
    }
}

impl fmt::Debug for TcpEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TcpEndpoint").finish_non_exhaustive()
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let receive = tcp::SocketBuffer::new(vec![0; RECEIVE_BUFFER_BYTES]);
    let send = tcp::SocketBuffer::new(vec![0; SEND_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(receive, send);
    // The tag replaces the value before the packet is sent; the option only has to be present.
    socket.set_tsval_generator(Some(|| 1));
    socket.set_nagle_enabled(false);
    socket.set_ack_delay(None);
    socket.set_keep_alive(Some(KEEP_ALIVE_INTERVAL));
    socket.set_timeout(Some(SILENCE_TIMEOUT));
    socket
}

/// Adds a default route, without which no remote address is reachable; its gateway is unused.
fn add_default_route(iface: &mut Interface, address: IpAddress) {
    let routes = iface.routes_mut();
    let added = match address {
        IpAddress::Ipv4(gateway) => routes.add_default_ipv4_route(gateway).is_ok(),
        IpAddress::Ipv6(gateway) => routes.add_default_ipv6_route(gateway).is_ok(),
    };
    debug_assert!(added, "a new interface holds one route");
}

fn to_instant(now: Timestamp) -> Instant {
    Instant::from_micros(i64::try_from(now.0).unwrap_or(i64::MAX))
}

// ---------------------------------------------------------------------------
// Device that exists for one poll

struct PollDevice<'a> {
    received: Option<&'a [u8]>,
    sent: &'a mut Packets,
}

struct ReceivedPacket<'a>(&'a [u8]);

struct SentPackets<'a>(&'a mut Packets);

impl Device for PollDevice<'_> {
    type RxToken<'b>
        = ReceivedPacket<'b>
    where
        Self: 'b;
    type TxToken<'b>
        = SentPackets<'b>
    where
        Self: 'b;

    fn receive(&mut self, _timestamp: Instant) -> Option<(ReceivedPacket<'_>, SentPackets<'_>)> {
        let packet = self.received.take()?;
        Some((ReceivedPacket(packet), SentPackets(self.sent)))
    }

    fn transmit(&mut self, _timestamp: Instant) -> Option<SentPackets<'_>> {
        Some(SentPackets(self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

impl RxToken for ReceivedPacket<'_> {
    fn consume<R, F>(self, f: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        f(self.0)
    }
}

impl TxToken for SentPackets<'_> {
    fn consume<R, F>(self, len: usize, f: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}
