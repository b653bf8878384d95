//! Packets a second through a whole balancer over those through a bare UDP relay.
//!
//! `cargo run --release --example forward_ratio`. Both move the same packets in the same run, one
//! thread each, between the same sender and sink; so many packets are on their way at a time that
//! none is lost. The last line is `forward_ratio=X.XX cores=N`.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use etherparse::PacketBuilder;
use plantainquay_net::{BalancerRuntime, Clock, bind_reuse_port, bind_udp};
use plantainquay_schema::Settings;
use stand_ins::single_service_document;

const FLOWS: u32 = 10_000;
const PAYLOAD_BYTES: usize = 200;
const PACKETS: u64 = 300_000;
const WINDOW: u64 = 256;
const UPSTREAMS: u32 = 7;
const CONNECTIONS: u32 = 2_000;
const ROUNDS: usize = 5;
const RELAY_CHECK: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_secs(5);

fn main() -> Result<()> {
    let sink = Sink::start()?;
    let relay = start_relay(sink.address)?;
    let balancer = start_balancer(sink.address)?;
    let packets: Vec<Vec<u8>> = (0..FLOWS).map(packet).collect();
    let mut ratios = Vec::new();
    for round in 1..=ROUNDS {
        let bare = measure(relay, &sink, &packets)?;
        let whole = measure(balancer, &sink, &packets)?;
        ratios.push(whole / bare);
        println!("round {round}: relay {bare:.0}/s, balancer {whole:.0}/s");
    }
    ratios.sort_by(f64::total_cmp);
    let cores = thread::available_parallelism()?;
    println!("forward_ratio={:.2} cores={cores}", ratios[ROUNDS / 2]);
    Ok(())
}

/// Counts what arrives.
struct Sink {
    address: SocketAddr,
    received: Arc<AtomicU64>,
}

impl Sink {
    fn start() -> Result<Self> {
        let socket = bind_udp(loopback())?;
        let sink = Self {
            address: socket.local_addr()?,
            received: Arc::default(),
        };
        let received = Arc::clone(&sink.received);
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while socket.recv(&mut buf).is_ok() {
                received.fetch_add(1, Ordering::Release);
            }
        });
        Ok(sink)
    }
}

/// Packets a second from a sender over `through` to the sink.
fn measure(through: SocketAddr, sink: &Sink, packets: &[Vec<u8>]) -> Result<f64> {
    let socket = bind_udp(loopback())?;
    socket.connect(through)?;
    let first = sink.received.load(Ordering::Acquire);
    let start = Instant::now();
    for sent in 0..PACKETS {
        let since = Instant::now();
        while sent - (sink.received.load(Ordering::Acquire) - first) >= WINDOW {
            thread::yield_now();
            anyhow::ensure!(since.elapsed() < LONGEST_WAIT, "packets were lost");
        }
        socket.send(&packets[usize::try_from(sent)? % packets.len()])?;
    }
    let since = Instant::now();
    while sink.received.load(Ordering::Acquire) - first < PACKETS {
        thread::yield_now();
        anyhow::ensure!(since.elapsed() < LONGEST_WAIT, "packets were lost");
    }
    let rate = f64::from(u32::try_from(PACKETS)?) / start.elapsed().as_secs_f64();
    Ok(rate)
}

/// A bare relay, with the same kind of socket as the balancer's.
fn start_relay(to: SocketAddr) -> Result<SocketAddr> {
    let socket = bind_reuse_port(loopback())?;
    socket.set_read_timeout(Some(RELAY_CHECK))?;
    let address = socket.local_addr()?;
    let stopped = AtomicBool::new(false);
    thread::spawn(move || {
        let mut buf = vec![0; 65_535];
        while !stopped.load(Ordering::Relaxed) {
            if let Ok(bytes) = socket.recv(&mut buf) {
                let _sent = socket.send_to(&buf[..bytes], to);
            }
        }
    });
    Ok(address)
}

fn start_balancer(agents: SocketAddr) -> Result<SocketAddr> {
    // A port that was free a moment ago.
    let tunnel = UdpSocket::bind(loopback())?.local_addr()?;
    let settings = Settings::from_yaml(&format!(
        "role: balancer\ninstance: b\ndata_centre: one\ntunnel: {tunnel}\nhttp: {tunnel}\n\
         fabric: {tunnel}\nplatform: {{ configuration: \"{tunnel}\", instances: \"{tunnel}\" }}\n\
         threads: 1\nkeys: [{{ id: 1, secret: 000102030405060708090a0b0c0d0e0f }}]\n"
    ))?;
    let balancer = BalancerRuntime::start(&settings, Clock::start())?;
    let document = single_service_document("feed", UPSTREAMS, CONNECTIONS, |_| agents.to_string())?;
    balancer.install(&document);
    Ok(tunnel)
}

fn packet(flow: u32) -> Vec<u8> {
    let [_, a, b, c] = flow.to_be_bytes();
    let step = PacketBuilder::ipv4([10, a, b, c], [192, 0, 2, 1], 64);
    let step = step.tcp(40_000, 80, 1, 1_000).ack(1);
    let payload = [7; PAYLOAD_BYTES];
    let mut buf = Vec::with_capacity(step.size(payload.len()));
    step.write(&mut buf, &payload)
        .expect("writing to a vector never fails");
    buf
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
