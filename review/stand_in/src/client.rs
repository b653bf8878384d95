//! A stand-in of the clients of one address.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::packet::{ACK, Packet, SYN};

/// What the clients have received on each flow.
type Received = HashMap<u16, Vec<(Instant, Packet)>>;

pub struct Client {
    socket: UdpSocket,
    pub address: SocketAddrV4,
    received: Arc<Mutex<Received>>,
    /// Flows whose SYN+ACK was taken.
    taken: Mutex<HashSet<u16>>,
}

impl Client {
    /// Starts at the address and port at which the system sends packets to clients.
    pub fn start(address: SocketAddrV4) -> Self {
        let socket = UdpSocket::bind(address).expect("the client's address is free");
        let received = Arc::<Mutex<Received>>::default();
        let (reader, shared) = (
            socket.try_clone().expect("a second handle"),
            Arc::clone(&received),
        );
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while let Ok((length, _)) = reader.recv_from(&mut buf) {
                if let Some(packet) = Packet::decode(&buf[..length]) {
                    let mut received = shared.lock().unwrap();
                    let flow = received.entry(packet.destination.port()).or_default();
                    flow.push((Instant::now(), packet));
                }
            }
        });
        Self {
            socket,
            address,
            received,
            taken: Mutex::default(),
        }
    }

    /// Address of the flow with this port.
    pub fn flow(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.address.ip(), port)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of a packet")]
    pub fn send(
        &self,
        balancer: SocketAddrV4,
        port: u16,
        route: SocketAddrV4,
        seq: u32,
        ack: u32,
        flags: u8,
        data: &[u8],
    ) {
        let packet = Packet {
            source: self.flow(port),
            destination: route,
            sum: 0,
            seq,
            ack,
            flags,
            data: data.to_vec(),
        };
        let _result = self.socket.send_to(&packet.encode(), balancer);
    }

    /// Returns the first packet of the flow that `matches` accepts.
    pub fn find(&self, port: u16, matches: impl Fn(&Packet) -> bool) -> Option<(Instant, Packet)> {
        let received = self.received.lock().unwrap();
        let packets = received.get(&port)?;
        packets.iter().find(|(_, packet)| matches(packet)).cloned()
    }

    /// Returns the flow's SYN+ACK once.
    pub fn take_answer(&self, port: u16) -> Option<(Instant, Packet)> {
        if self.taken.lock().unwrap().contains(&port) {
            return None;
        }
        let answer = self.find(port, |p| p.has(SYN) && p.has(ACK))?;
        self.taken.lock().unwrap().insert(port);
        Some(answer)
    }
}
