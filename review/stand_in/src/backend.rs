//! A stand-in of a backend, whose flows end here.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::packet::{ACK, BOUNCED, Packet, RST, SYN, is_intact};

/// Longest time until a thread sees that its backend has exited.
const POLL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Flows {
    half_open: HashMap<SocketAddrV4, u32>,
    open: HashSet<SocketAddrV4>,
    /// Requests that ran, by caller and sequence number.
    runs: HashMap<(SocketAddrV4, u32), u32>,
    next: u32,
}

#[derive(Clone)]
pub struct Backend {
    /// Number of the backend, which the first byte of its sequence numbers shows to the client.
    pub number: u8,
    flows: Arc<Mutex<Flows>>,
    stopped: Arc<AtomicBool>,
    exited: Arc<AtomicBool>,
}

impl Backend {
    pub fn start(number: u8, app: SocketAddrV4, outbound: SocketAddrV4) -> Self {
        let socket = UdpSocket::bind(app).expect("the backend's address is free");
        let listener = TcpListener::bind(app).expect("the backend's address is free");
        let backend = Self {
            number,
            flows: Arc::default(),
            stopped: Arc::default(),
            exited: Arc::default(),
        };
        let server = backend.clone();
        let _result = socket.set_read_timeout(Some(POLL));
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while !server.exited.load(Ordering::SeqCst) {
                let Ok((length, _)) = socket.recv_from(&mut buf) else {
                    continue;
                };
                if server.stopped.load(Ordering::SeqCst) {
                    continue;
                }
                if let Some(reply) = server.on_packet(&buf[..length]) {
                    let _result = socket.send_to(&reply, outbound);
                }
            }
        });
        let server = backend.clone();
        let _result = listener.set_nonblocking(true);
        thread::spawn(move || {
            while !server.exited.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        thread::spawn(move || answer_status_check(stream));
                    }
                    Err(_) => thread::sleep(POLL),
                }
            }
        });
        backend
    }

    /// Exits: nothing listens at its address any more, over UDP or TCP.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        thread::sleep(POLL * 2);
    }

    /// Falls silent, as when the machine has lost power.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns true if the backend holds the caller's flow.
    pub fn holds(&self, caller: SocketAddrV4) -> bool {
        self.flows.lock().unwrap().open.contains(&caller)
    }

    pub fn run_count(&self) -> usize {
        self.flows.lock().unwrap().runs.len()
    }

    fn on_packet(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let packet = Packet::decode(bytes)?;
        if !is_intact(bytes) {
            crate::record(&format!(
                "backend {} got a packet that was altered",
                self.number
            ));
            return None;
        }
        let caller = packet.source;
        let mut flows = self.flows.lock().unwrap();
        let reply = |seq: u32, flags: u8, data: &[u8]| {
            Packet {
                source: packet.destination,
                destination: caller,
                sum: 0,
                seq,
                ack: packet.seq.wrapping_add(1),
                flags,
                data: data.to_vec(),
            }
            .encode()
        };
        if packet.has(SYN) {
            flows.next += 1;
            let first = u32::from(self.number) << 24 | (flows.next << 4 & 0xff_ffff);
            let seq = *flows.half_open.entry(caller).or_insert(first);
            return Some(reply(seq, SYN | ACK, b""));
        }
        if flows.half_open.get(&caller).map(|seq| seq.wrapping_add(1)) == Some(packet.ack) {
            flows.open.insert(caller);
        }
        if !flows.open.contains(&caller) {
            let mut bounced = bytes.to_vec();
            bounced[30] |= BOUNCED;
            bounced[31] = 0;
            return Some(bounced);
        }
        if packet.has(RST) {
            flows.open.remove(&caller);
            return None;
        }
        if packet.data.is_empty() {
            return None;
        }
        *flows.runs.entry((caller, packet.seq)).or_default() += 1;
        let text = format!(
            "backend {}: {}",
            self.number,
            String::from_utf8_lossy(&packet.data)
        );
        Some(reply(packet.ack, ACK, text.as_bytes()))
    }
}

fn answer_status_check(mut stream: TcpStream) {
    let _result = stream.set_nonblocking(false);
    let _result = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut request = [0; 1_024];
    if stream.read(&mut request).unwrap_or(0) > 0 {
        let _result = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
}
