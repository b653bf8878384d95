//! Sockets that execute the relay's actions.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use log::Level;
use metrics::histogram;
use plantainquay_core::relay::{Action, Actions, DecisionRecord, Packet};
use plantainquay_schema::{RelayMessage, RelaySettings};
use thiserror::Error;

use super::{FleetState, PacketFormat};
use crate::{Clock, bind_udp, event};

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Delay after a socket error, so that a persistent error doesn't occupy a core.
const ERROR_DELAY: Duration = Duration::from_millis(10);
/// Interval of timer ticks for decisions that depend on time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between two expiries of old flows.
const TICKS_PER_EXPIRY: u64 = 50;

/// Shards of flows per thread, to keep lock contention low.
pub(super) const SHARDS_PER_THREAD: usize = 4;

/// An error that prevents the relay from starting.
#[derive(Debug)]
#[derive(Error)]
pub enum RelayStartError {
    /// A socket can't be bound or set up.
    #[error("socket {0}: {1}")]
    Socket(SocketAddr, io::Error),
    /// A thread can't be started.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
}

/// Sockets of one relay process, with the packet format and the clock.
#[derive(Debug)]
pub struct RelaySockets {
    /// Receives and sends messages between processes.
    pub peer: UdpSocket,
    /// Exchanges packets with callers and with the upstream.
    pub packets: UdpSocket,
    /// Port on which callers receive packets.
    pub caller_port: u16,
    /// Address on which the upstream receives packets; `None` in a balancer.
    pub upstream: Option<SocketAddr>,
    /// The packet format.
    pub format: PacketFormat,
    /// The process's clock.
    pub clock: Clock,
    /// Routes and upstreams.
    pub fleet: Arc<FleetState>,
    /// Number of malformed datagrams.
    pub malformed: AtomicU64,
}

impl RelaySockets {
    /// Binds the peer socket and the packet socket, the latter at `packets`.
    pub(super) fn bind(
        settings: &RelaySettings,
        packets: SocketAddr,
        upstream: Option<SocketAddr>,
        format: PacketFormat,
        clock: Clock,
        fleet: Arc<FleetState>,
    ) -> Result<Self, RelayStartError> {
        let bind = |address| bind_udp(address).map_err(|e| RelayStartError::Socket(address, e));
        Ok(Self {
            peer: bind(settings.peer)?,
            packets: bind(packets)?,
            caller_port: settings.packets.port(),
            upstream,
            format,
            clock,
            fleet,
            malformed: AtomicU64::new(0),
        })
    }

    /// Executes actions in order.
    pub fn execute_actions(&self, actions: Actions) {
        let mut buf = Vec::new();
        for action in actions {
            self.execute_action(action, &mut buf);
        }
    }

    fn execute_action(&self, action: Action, buf: &mut Vec<u8>) {
        match action {
            Action::ToUpstream(packet) => {
                if let Some(upstream) = self.upstream {
                    send(&self.packets, &packet, upstream);
                }
            }
            Action::ToCaller(caller, packet) => self.send_to_caller(caller, &packet),
            Action::Send(to, message) => match message.encode_into(buf) {
                Ok(()) => send(&self.peer, buf, to),
                Err(error) => event(Level::Warn, "message_unsent", &[("reason", &error)]),
            },
            Action::Reset { tuple, ack, reason } => {
                let pairs: [(&str, &dyn std::fmt::Display); 3] = [
                    ("caller", &tuple.source),
                    ("listener", &tuple.destination),
                    ("reason", &reason),
                ];
                event(Level::Info, "flow_reset", &pairs);
                if let Some(packet) = (self.format.reset)(&tuple, ack) {
                    self.send_to_caller(tuple.source, &packet);
                }
            }
            Action::RecordDecision(record) => log_decision(&record),
            Action::RecordAnswerTime { listener, elapsed } => {
                histogram!("relay_answer_seconds", "listener" => listener.to_string())
                    .record(elapsed);
            }
            Action::ConfirmView => self.fleet.request_confirmation(),
            Action::Drop(reason) => event(Level::Debug, "packet_dropped", &[("reason", &reason)]),
        }
    }

    fn send_to_caller(&self, mut caller: SocketAddr, packet: &[u8]) {
        caller.set_port(self.caller_port);
        send(&self.packets, packet, caller);
    }

    /// Receives messages from other processes until the process ends.
    pub fn receive_messages(
        &self,
        on_message: impl Fn(SocketAddr, RelayMessage, Option<&Packet>) -> Actions,
    ) {
        receive_datagrams(&self.peer, |from, bytes| {
            match RelayMessage::decode(Bytes::copy_from_slice(bytes)) {
                Ok(message) => {
                    let packet = message.body.packet();
                    let packet = packet.and_then(|bytes| (self.format.from_caller)(bytes));
                    self.execute_actions(on_message(from, message, packet.as_ref()));
                }
                Err(error) => {
                    self.malformed.fetch_add(1, Ordering::Relaxed);
                    event(Level::Debug, "message_malformed", &[("reason", &error)]);
                }
            }
        });
    }

    /// Runs `on_tick` at each tick and `expire` at a longer interval, until the process ends.
    pub fn tick(&self, on_tick: impl Fn() -> Actions, expire: impl Fn()) {
        for ticks in 1.. {
            thread::sleep(TICK_INTERVAL);
            self.execute_actions(on_tick());
            if ticks % TICKS_PER_EXPIRY == 0 {
                expire();
            }
        }
    }
}

/// Logs a decision with the versions that it is based on.
fn log_decision(record: &DecisionRecord) {
    let agent = record.agent.map(|agent| agent.ip());
    let agent: &dyn std::fmt::Display = match &agent {
        Some(ip) => ip,
        None => &"none",
    };
    let number = record.number.unwrap_or(0);
    let pairs: [(&str, &dyn std::fmt::Display); 6] = [
        ("caller", &record.tuple.source),
        ("listener", &record.tuple.destination),
        ("agent", agent),
        ("number", &number),
        ("generation", &record.generation),
        ("revision", &record.revision),
    ];
    let decision = record.decision.to_string();
    event(Level::Info, &decision, &pairs);
    if record.decision.is_duration() {
        let elapsed = Duration::from_micros(number);
        histogram!("relay_decision_seconds", "decision" => decision).record(elapsed);
    }
}

/// Receives datagrams until the process ends.
pub(super) fn receive_datagrams(socket: &UdpSocket, on_datagram: impl Fn(SocketAddr, &[u8])) {
    let mut buf = [0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf) {
            Ok((length, from)) => on_datagram(from, &buf[..length]),
            Err(error) => {
                event(Level::Warn, "receive_failed", &[("reason", &error)]);
                thread::sleep(ERROR_DELAY);
            }
        }
    }
}

/// Starts a thread with a small stack.
pub(super) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.stack_size(STACK_BYTES).spawn(run)?;
    Ok(())
}

/// Sends a datagram; a failure counts as a loss on the network, after which senders retransmit.
fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to) {
        event(
            Level::Debug,
            "send_failed",
            &[("to", &to), ("reason", &error)],
        );
    }
}
