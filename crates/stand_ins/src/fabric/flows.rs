//! TCP flows between callers and the fabric.

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
use super::bind_source_sockets;

const SHARD_COUNT: usize = 16;
const MAX_DATAGRAM_BYTES: usize = 65_535;
const MIN_SLEEP: Duration = Duration::from_millis(1);
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// State of the fabric, with the flows in shards that each have their own lock.
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
    deadline_changed: Arc<Notify>,
}

impl Fabric {
    pub(super) fn bind(settings: &FabricSettings, balancers: Arc<Balancers>) -> Result<Self> {
        Ok(Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            sockets: bind_source_sockets(settings)?,
            balancers,
            clock: Clock::start(),
            echo_percent: settings.echo_percent,
            seed: settings.seed,
        })
    }

    /// Receives packets from the agents and delivers them to the endpoints of their flows.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(bytes) = self.sockets[0].recv(&mut buf).await else {
                continue;
            };
            let packet = &buf[..bytes];
            let Ok(segment) = parse_segment(packet) else {
                continue;
            };
            let caller_tuple = FiveTuple {
                source: segment.tuple.destination,
                destination: segment.tuple.source,
            };
            let now = self.clock.now();
            let flow = caller_tuple.flow_id();
            let delivered =
                self.update_flow(now, flow, true, |endpoint| endpoint.deliver(now, packet));
            if delivered.is_none() && !segment.reset {
                self.send_reset(packet);
            }
        }
    }

    /// Accepts connections from callers.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener, destination: SocketAddr) {
        loop {
            let Ok((stream, source)) = listener.accept().await else {
                continue;
            };
            let tuple = FiveTuple {
                source,
                destination,
            };
            tokio::spawn(Arc::clone(&self).forward_connection(stream, tuple));
        }
    }

    async fn forward_connection(self: Arc<Self>, stream: TcpStream, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let now = self.clock.now();
        let mut endpoint = TcpEndpoint::connect(&tuple, flow.0 ^ self.seed ^ now.0, now);
        if !self.balancers.random_bool(self.echo_percent) {
            endpoint = endpoint.without_timestamps();
        }
        let caller_flow = CallerFlow {
            endpoint,
            readable: Arc::default(),
            writable: Arc::default(),
            deadline_changed: Arc::default(),
        };
        let handle = EndpointHandle {
            readable: Arc::clone(&caller_flow.readable),
            writable: Arc::clone(&caller_flow.writable),
            with_endpoint: |f: &mut dyn FnMut(&mut TcpEndpoint)| self.with_endpoint(flow, f),
        };
        let deadline_changed = Arc::clone(&caller_flow.deadline_changed);
        self.shard(flow).lock().insert(flow, caller_flow);
        let timer = tokio::spawn(Arc::clone(&self).run_timer(flow, deadline_changed));
        // A failed flow is reset towards the caller when the stream is dropped.
        let _result = pump(&handle, stream).await;
        // The timer task sends the last packets and ends once the endpoint is closed.
        let _timer_result = timer.await;
        self.shard(flow).lock().remove(&flow);
    }

    fn with_endpoint(&self, flow: FlowId, f: &mut dyn FnMut(&mut TcpEndpoint)) -> Option<()> {
        let now = self.clock.now();
        self.update_flow(now, flow, false, |endpoint| {
            f(endpoint);
            endpoint.poll(now)
        })
    }

    /// Polls the endpoint at its deadlines until it is closed or in TIME-WAIT.
    async fn run_timer(self: Arc<Self>, flow: FlowId, deadline_changed: Arc<Notify>) {
        loop {
            let now = self.clock.now();
            let mut next = None;
            let mut closed = false;
            self.update_flow(now, flow, true, |endpoint| {
                let packets = endpoint.poll(now);
                next = endpoint.poll_at(now);
                closed = endpoint.is_closed() || endpoint.is_time_wait();
                packets
            });
            if closed {
                return;
            }
            let wait = next.map_or(IDLE_SLEEP, |at: Timestamp| at.since(now).max(MIN_SLEEP));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = deadline_changed.notified() => {}
            }
        }
    }

    fn update_flow(
        &self,
        now: Timestamp,
        flow: FlowId,
        wake_io: bool,
        f: impl FnOnce(&mut TcpEndpoint) -> Packets,
    ) -> Option<()> {
        let mut shard = self.shard(flow).lock();
        let caller_flow = shard.get_mut(&flow)?;
        let previous_deadline = caller_flow.endpoint.poll_at(now);
        let packets = f(&mut caller_flow.endpoint);
        if wake_io {
            caller_flow.readable.notify_one();
            caller_flow.writable.notify_one();
        }
        if caller_flow.endpoint.poll_at(now) != previous_deadline {
            caller_flow.deadline_changed.notify_one();
        }
        drop(shard);
        for packet in packets {
            self.spray(&packet);
        }
        Some(())
    }

    /// Responds with a reset to a packet that matches no flow, as a caller's TCP stack would.
    fn send_reset(&self, packet: &[u8]) {
        if let Ok(reset) = reset_for(packet) {
            self.spray(&reset);
        }
    }

    /// Sends a packet to a random balancer; without balancers the packet is dropped.
    fn spray(&self, packet: &[u8]) {
        let Some((balancer, source)) = self.balancers.choose(self.sockets.len()) else {
            return;
        };
        // A packet that doesn't fit into the send buffer is dropped, as on any network.
        let _sent = self.sockets[source].try_send_to(packet, balancer);
    }

    fn shard(&self, flow: FlowId) -> &Mutex<HashMap<FlowId, CallerFlow>> {
        let index = usize::try_from(flow.0 >> 32).unwrap_or(0) % SHARD_COUNT;
        &self.shards[index]
    }
}
