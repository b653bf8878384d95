//! Callers' flows inside the fabric.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_net::{
    Clock, EndpointHandle, Packets, TcpEndpoint, parse_segment, pump, reset_for,
};
use plantainquay_schema::FlowId;
use plantainquay_schema::wire::stand_in::FabricSettings;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;

use super::balancers::Balancers;
use super::bind_sources;

const SHARDS: usize = 16;
const DATAGRAM_BYTES: usize = 65_535;
const MIN_WAIT: Duration = Duration::from_millis(1);
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// The fabric: flows in shards, each under its own lock.
#[derive(Debug)]
pub(super) struct Fabric {
    shards: Vec<Mutex<HashMap<FlowId, CallerFlow>>>,
    sockets: Vec<UdpSocket>,
    balancers: Arc<Balancers>,
    clock: Clock,
    echo_percent: u32,
    seed: u64,
}

#[derive(Debug)]
struct CallerFlow {
    endpoint: TcpEndpoint,
    readable: Arc<Notify>,
    writable: Arc<Notify>,
    changed: Arc<Notify>,
}

impl Fabric {
    pub(super) fn bind(settings: &FabricSettings, balancers: Arc<Balancers>) -> Result<Self> {
        Ok(Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            sockets: bind_sources(settings)?,
            balancers,
            clock: Clock::start(),
            echo_percent: settings.echo_percent,
            seed: settings.seed,
        })
    }

    /// Takes in replies.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok(bytes) = self.sockets[0].recv(&mut buf).await else {
                continue;
            };
            let packet = &buf[..bytes];
            let Ok(segment) = parse_segment(packet) else {
                continue;
            };
            let caller_side = FiveTuple {
                source: segment.tuple.destination,
                destination: segment.tuple.source,
            };
            let now = self.clock.now();
            let flow = caller_side.flow_id();
            let known = self.drive(now, flow, true, |endpoint| endpoint.deliver(now, packet));
            if known.is_none() && !segment.reset {
                self.refuse(packet);
            }
        }
    }

    /// Takes callers' connections.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener, destination: SocketAddr) {
        loop {
            let Ok((stream, source)) = listener.accept().await else {
                continue;
            };
            let tuple = FiveTuple {
                source,
                destination,
            };
            tokio::spawn(Arc::clone(&self).carry(stream, tuple));
        }
    }

    async fn carry(self: Arc<Self>, stream: TcpStream, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let now = self.clock.now();
        let mut endpoint = TcpEndpoint::connect(&tuple, flow.0 ^ self.seed ^ now.0, now);
        if !self.balancers.chance(self.echo_percent) {
            endpoint = endpoint.without_timestamps();
        }
        let caller_flow = CallerFlow {
            endpoint,
            readable: Arc::default(),
            writable: Arc::default(),
            changed: Arc::default(),
        };
        let end = EndpointHandle {
            readable: Arc::clone(&caller_flow.readable),
            writable: Arc::clone(&caller_flow.writable),
            with_endpoint: |f: &mut dyn FnMut(&mut TcpEndpoint)| self.with_endpoint(flow, f),
        };
        let changed = Arc::clone(&caller_flow.changed);
        self.shard(flow).lock().insert(flow, caller_flow);
        let timers = tokio::spawn(Arc::clone(&self).run_timer(flow, changed));
        // A failed flow is reset towards the caller when the stream is dropped.
        let _result = pump(&end, stream).await;
        // The last packets are the timer's; it ends with the flow.
        let _ended = timers.await;
        self.shard(flow).lock().remove(&flow);
    }

    fn with_endpoint(&self, flow: FlowId, f: &mut dyn FnMut(&mut TcpEndpoint)) -> Option<()> {
        let now = self.clock.now();
        self.drive(now, flow, false, |endpoint| {
            f(endpoint);
            endpoint.poll(now)
        })
    }

    /// Polls the flow whenever it is due, until it has closed.
    async fn run_timer(self: Arc<Self>, flow: FlowId, changed: Arc<Notify>) {
        loop {
            let now = self.clock.now();
            let mut next = None;
            let mut over = false;
            self.drive(now, flow, true, |endpoint| {
                let packets = endpoint.poll(now);
                next = endpoint.poll_at(now);
                over = endpoint.is_closed() || endpoint.is_time_wait();
                packets
            });
            if over {
                return;
            }
            let wait = next.map_or(IDLE_WAIT, |at: Timestamp| at.since(now).max(MIN_WAIT));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = changed.notified() => {}
            }
        }
    }

    fn drive(
        &self,
        now: Timestamp,
        flow: FlowId,
        by_network: bool,
        f: impl FnOnce(&mut TcpEndpoint) -> Packets,
    ) -> Option<()> {
        let mut shard = self.shard(flow).lock();
        let caller_flow = shard.get_mut(&flow)?;
        let before = caller_flow.endpoint.poll_at(now);
        let packets = f(&mut caller_flow.endpoint);
        if by_network {
            caller_flow.readable.notify_one();
            caller_flow.writable.notify_one();
        }
        if caller_flow.endpoint.poll_at(now) != before {
            caller_flow.changed.notify_one();
        }
        drop(shard);
        for packet in packets {
            self.spray(&packet);
        }
        Some(())
    }

    /// Answers a packet of no flow as a caller's own TCP would.
    fn refuse(&self, packet: &[u8]) {
        if let Ok(reset) = reset_for(packet) {
            self.spray(&reset);
        }
    }

    /// Sends a packet to a random balancer; with none, it is lost.
    fn spray(&self, packet: &[u8]) {
        let Some((balancer, source)) = self.balancers.choose(self.sockets.len()) else {
            return;
        };
        // What doesn't fit is lost, as on any network.
        let _sent = self.sockets[source].try_send_to(packet, balancer);
    }

    fn shard(&self, flow: FlowId) -> &Mutex<HashMap<FlowId, CallerFlow>> {
        let index = usize::try_from(flow.0 >> 32).unwrap_or(0) % SHARDS;
        &self.shards[index]
    }
}
