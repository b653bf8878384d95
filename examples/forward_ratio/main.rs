//! Measures the packet rate of a balancer relative to that of a plain UDP forwarder.
//!
//! `cargo run --release --example forward_ratio`. Both forward the same packets in the same run,
//! with one thread each, between the same sender and sink. The number of packets in flight is
//! limited so that none are lost. The last line is `forward_ratio=X.XX cores=N`.

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
const MAX_IN_FLIGHT: u64 = 256;
const UPSTREAMS: u32 = 7;
const CONNECTIONS: u32 = 2_000;
const ROUNDS: usize = 5;
const FORWARDER_READ_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_secs(5);

fn main() -> Result<()> {
    let sink = Sink::start()?;
    let udp_forwarder = start_udp_forwarder(sink.address)?;
    let balancer = start_balancer(sink.address)?;
    let packets: Vec<Vec<u8>> = (0..FLOWS).map(build_packet).collect();
    let mut ratios = Vec::new();
    for round in 1..=ROUNDS {
        let udp_rate = measure(udp_forwarder, &sink, &packets)?;
        let balancer_rate = measure(balancer, &sink, &packets)?;
        ratios.push(balancer_rate / udp_rate);
        println!("round {round}: UDP forwarder {udp_rate:.0}/s, balancer {balancer_rate:.0}/s");
    }
    ratios.sort_by(f64::total_cmp);
    let cores = thread::available_parallelism()?;
    println!("forward_ratio={:.2} cores={cores}", ratios[ROUNDS / 2]);
    Ok(())
}

/// Counts received packets.
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

/// Returns the packets per second from a sender through `forwarder` to the sink.
fn measure(forwarder: SocketAddr, sink: &Sink, packets: &[Vec<u8>]) -> Result<f64> {
    let socket = bind_udp(loopback())?;
    socket.connect(forwarder)?;
    let received_before = sink.received.load(Ordering::Acquire);
    let start = Instant::now();
    for sent in 0..PACKETS {
        let wait_start = Instant::now();
        while sent - (sink.received.load(Ordering::Acquire) - received_before) >= MAX_IN_FLIGHT {
            thread::yield_now();
            anyhow::ensure!(wait_start.elapsed() < MAX_WAIT, "packets were lost");
        }
        socket.send(&packets[usize::try_from(sent)? % packets.len()])?;
    }
    let wait_start = Instant::now();
    while sink.received.load(Ordering::Acquire) - received_before < PACKETS {
        thread::yield_now();
        anyhow::ensure!(wait_start.elapsed() < MAX_WAIT, "packets were lost");
    }
    let rate = f64::from(u32::try_from(PACKETS)?) / start.elapsed().as_secs_f64();
    Ok(rate)
}

/// Starts a plain UDP forwarder with the same kind of socket as the balancer.
fn start_udp_forwarder(sink: SocketAddr) -> Result<SocketAddr> {
    let socket = bind_reuse_port(loopback())?;
    socket.set_read_timeout(Some(FORWARDER_READ_TIMEOUT))?;
    let address = socket.local_addr()?;
    let stopped = AtomicBool::new(false);
    thread::spawn(move || {
        let mut buf = vec![0; 65_535];
        while !stopped.load(Ordering::Relaxed) {
            if let Ok(bytes) = socket.recv(&mut buf) {
                let _sent = socket.send_to(&buf[..bytes], sink);
            }
        }
    });
    Ok(address)
}

fn start_balancer(agent: SocketAddr) -> Result<SocketAddr> {
    // The socket is closed at once; the balancer binds the same port.
    let tunnel = UdpSocket::bind(loopback())?.local_addr()?;
    let settings = Settings::from_yaml(&format!(
        "role: balancer\ninstance: b\ndata_centre: one\ntunnel: {tunnel}\nhttp: {tunnel}\n\
         fabric: {tunnel}\nplatform: {{ configuration: \"{tunnel}\", instances: \"{tunnel}\" }}\n\
         threads: 1\nkeys: [{{ id: 1, secret: 000102030405060708090a0b0c0d0e0f }}]\n"
    ))?;
    let balancer = BalancerRuntime::start(&settings, Clock::start())?;
    let document = single_service_document("feed", UPSTREAMS, CONNECTIONS, |_| agent.to_string())?;
    balancer.install(&document);
    Ok(tunnel)
}

fn build_packet(flow: u32) -> Vec<u8> {
    let [_, a, b, c] = flow.to_be_bytes();
    let builder = PacketBuilder::ipv4([10, a, b, c], [192, 0, 2, 1], 64);
    let builder = builder.tcp(40_000, 80, 1, 1_000).ack(1);
    let payload = [7; PAYLOAD_BYTES];
    let mut buf = Vec::with_capacity(builder.size(payload.len()));
    builder
        .write(&mut buf, &payload)
        .expect("writing to a vector never fails");
    buf
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
