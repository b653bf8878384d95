//! TCP flows that terminate at this agent.

use std::net::SocketAddr;
use std::sync::Arc;

use log::Level;
use parking_lot::MutexGuard;
use plantainquay_core::agent::{Opening, Shard};
use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_schema::{FlowId, ListenerMode};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::runtime::AgentRuntime;
use crate::tcp_endpoint::Packets;
use crate::{EndpointHandle, TcpEndpoint, event, pump, write_tag};

/// I/O state of one flow; the decision state is in the core's shard.
#[derive(Debug)]
pub(super) struct Flow {
    endpoint: TcpEndpoint,
    readable: Arc<Notify>,
    writable: Arc<Notify>,
    opened: Timestamp,
    /// Time at which the shard's timer polls the endpoint.
    next_poll: Option<Timestamp>,
}

/// Locks a flow's endpoint, calls the closure and sends the resulting packets.
type EndpointAccess = Box<dyn Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()> + Send + Sync>;

impl AgentRuntime {
    /// Creates a flow and delivers its first packet.
    pub(super) fn open_flow(
        self: &Arc<Self>,
        mut shard: MutexGuard<'_, Shard<Flow>>,
        now: Timestamp,
        opening: Opening,
        packet: &[u8],
    ) {
        let flow = opening.tuple.flow_id();
        let seed = flow.0 ^ now.0 ^ self.state.config().incarnation.0;
        let payload = Flow {
            endpoint: TcpEndpoint::listen(&opening.tuple, seed, now),
            readable: Arc::default(),
            writable: Arc::default(),
            opened: now,
            next_poll: None,
        };
        let outbox = self.state.open(&mut shard, now, opening, payload);
        self.send_outbox(outbox);
        self.deliver_packet(shard, now, flow, packet);
    }

    /// Delivers a packet to the endpoint of its flow.
    pub(super) fn deliver_packet(
        self: &Arc<Self>,
        mut shard: MutexGuard<'_, Shard<Flow>>,
        now: Timestamp,
        flow: FlowId,
        packet: &[u8],
    ) {
        let packets = self.update_endpoint(&mut shard, now, flow, |endpoint| {
            endpoint.deliver(now, packet)
        });
        wake_pump(&mut shard, flow);
        drop(shard);
        self.send_packets(now, packets);
    }

    /// Polls the endpoints of flows whose timers have expired.
    pub(super) fn poll_flows(self: &Arc<Self>, flows: &[FlowId], now: Timestamp) {
        for flow in flows {
            let mut shard = self.state.shard(*flow);
            if let Some(entry) = shard.get_mut(*flow) {
                entry.payload.next_poll = None;
            }
            let packets =
                self.update_endpoint(&mut shard, now, *flow, |endpoint| endpoint.poll(now));
            wake_pump(&mut shard, *flow);
            drop(shard);
            self.send_packets(now, packets);
        }
    }

    /// Calls `f` with a flow's endpoint, then reacts to the endpoint's new state.
    fn update_endpoint(
        self: &Arc<Self>,
        shard: &mut Shard<Flow>,
        now: Timestamp,
        flow: FlowId,
        f: impl FnOnce(&mut TcpEndpoint) -> Packets,
    ) -> Packets {
        let Some(entry) = shard.get_mut(flow) else {
            return Packets::new();
        };
        let was_established = entry.established;
        let tuple = entry.tuple;
        let payload = &mut entry.payload;
        let packets = f(&mut payload.endpoint);
        let established = payload.endpoint.is_established();
        let is_time_wait = payload.endpoint.is_time_wait();
        let closed = payload.endpoint.is_closed();
        self.set_timer(payload, now, flow);
        if established && !was_established {
            shard.mark_established(flow);
            self.runtime.spawn(Arc::clone(self).serve_flow(tuple));
        }
        if is_time_wait {
            self.state.enter_time_wait(shard, flow);
        }
        if closed {
            self.close_flow(shard, now, flow);
        }
        packets
    }

    fn close_flow(&self, shard: &mut Shard<Flow>, now: Timestamp, flow: FlowId) {
        let (entry, outbox) = self.state.close(shard, flow);
        if let Some(entry) = entry {
            let payload = entry.payload;
            payload.readable.notify_one();
            payload.writable.notify_one();
            let seconds = now.since(payload.opened).as_secs_f64();
            let member = entry.member.to_string();
            metrics::histogram!("plantainquay_flow_seconds", "member" => member).record(seconds);
        }
        self.send_outbox(outbox);
    }

    fn set_timer(&self, payload: &mut Flow, now: Timestamp, flow: FlowId) {
        let Some(poll_at) = payload.endpoint.poll_at(now) else {
            return;
        };
        if payload.next_poll.is_none_or(|current| poll_at < current) {
            payload.next_poll = Some(poll_at);
            self.timers[self.state.shard_index(flow)].set(poll_at, flow);
        }
    }

    fn send_packets(&self, now: Timestamp, packets: Packets) {
        for mut packet in packets {
            write_tag(&mut packet, self.state.config().number, now);
            self.send_to_fabric(&packet);
        }
    }

    /// Connects an established flow to the upstream or to the request service.
    async fn serve_flow(self: Arc<Self>, tuple: FiveTuple) {
        let flow = tuple.flow_id();
        let Some(handle) = self.endpoint_handle(flow) else {
            return;
        };
        let result = match self.upstream_target(&tuple) {
            Some((address, ListenerMode::Flow)) => match TcpStream::connect(address).await {
                Ok(stream) => pump(&handle, stream).await,
                Err(error) => Err(error),
            },
            Some((address, ListenerMode::Request)) => match TcpStream::connect(address).await {
                Ok(stream) => self.pump_requests(&handle, stream, &tuple).await,
                Err(error) => Err(error),
            },
            None => Err(std::io::ErrorKind::AddrNotAvailable.into()),
        };
        if let Err(error) = result {
            (handle.with_endpoint)(&mut TcpEndpoint::abort);
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("source", &tuple.source), ("reason", &error)];
            event(Level::Info, "flow_failed", &pairs);
        }
    }

    /// Registers the stream's caller with the request service while the pump runs.
    async fn pump_requests<W>(
        &self,
        handle: &EndpointHandle<W>,
        stream: TcpStream,
        tuple: &FiveTuple,
    ) -> std::io::Result<()>
    where
        W: Fn(&mut dyn FnMut(&mut TcpEndpoint)) -> Option<()>,
    {
        let local = stream.local_addr()?;
        self.admission.register(local, *tuple);
        let result = pump(handle, stream).await;
        self.admission.unregister(local);
        result
    }

    fn upstream_target(&self, tuple: &FiveTuple) -> Option<(SocketAddr, ListenerMode)> {
        let view = self.state.view()?;
        let mode = view.mode(tuple.destination)?;
        let upstream = view.service().upstream(self.state.config().number)?;
        match mode {
            ListenerMode::Flow => Some((upstream.endpoint, mode)),
            ListenerMode::Request => Some((self.admission.address(), mode)),
        }
    }

    /// Returns the pump's handle to a flow's endpoint.
    fn endpoint_handle(self: &Arc<Self>, flow: FlowId) -> Option<EndpointHandle<EndpointAccess>> {
        let mut shard = self.state.shard(flow);
        let payload = &shard.get_mut(flow)?.payload;
        let (readable, writable) = (Arc::clone(&payload.readable), Arc::clone(&payload.writable));
        drop(shard);
        let this = Arc::clone(self);
        let with_endpoint = move |f: &mut dyn FnMut(&mut TcpEndpoint)| this.with_endpoint(flow, f);
        Some(EndpointHandle {
            with_endpoint: Box::new(with_endpoint),
            readable,
            writable,
        })
    }

    /// Calls `f` with a flow's endpoint on behalf of its pump, without waking the pump.
    fn with_endpoint(
        self: &Arc<Self>,
        flow: FlowId,
        f: &mut dyn FnMut(&mut TcpEndpoint),
    ) -> Option<()> {
        let now = self.clock.now();
        let mut shard = self.state.shard(flow);
        shard.get_mut(flow)?;
        let packets = self.update_endpoint(&mut shard, now, flow, |endpoint| {
            f(endpoint);
            endpoint.poll(now)
        });
        drop(shard);
        self.send_packets(now, packets);
        Some(())
    }
}

/// Wakes the pump after a packet or a timer has changed the endpoint.
fn wake_pump(shard: &mut Shard<Flow>, flow: FlowId) {
    if let Some(entry) = shard.get_mut(flow) {
        entry.payload.readable.notify_one();
        entry.payload.writable.notify_one();
    }
}
