//! Packets and messages in flight between simulated processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use plantainquay_schema::RelayMessage;

/// One-way latency between any two processes, in milliseconds.
pub(super) const LATENCY_MS: u64 = 1;

/// A packet or message with its receiver.
#[derive(Clone, Debug)]
pub(super) enum Arrival {
    /// A packet from a caller to a balancer.
    FromCaller { balancer: usize, packet: Bytes },
    /// A message from one process to another.
    Message {
        from: SocketAddr,
        to: SocketAddr,
        message: Box<RelayMessage>,
    },
    /// A packet that an upstream sends or returns to its agent.
    FromUpstream {
        agent: usize,
        packet: Bytes,
        returned: bool,
    },
    /// A packet to a caller.
    ToCaller { packet: Bytes },
    /// A caller's retransmission timer.
    RetransmissionTimer {
        flow: u16,
        sequence: u16,
        /// Number of earlier transmissions.
        transmissions: u32,
    },
}

/// Queue of arrivals, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(super) struct Network {
    arrivals: BTreeMap<(u64, u64), Arrival>,
    scheduled: u64,
    /// One in this many remote arrivals is lost; zero turns loss off.
    pub(super) loss_one_in: u64,
    rng_state: u64,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng_state: seed | 1,
            ..Self::default()
        }
    }

    pub(super) fn send(&mut self, now_ms: u64, arrival: Arrival) {
        self.schedule(now_ms + LATENCY_MS, arrival);
    }

    /// Schedules an arrival, unless it is lost; packets from an upstream to its agent stay on one
    /// machine and are never lost.
    pub(super) fn schedule(&mut self, at_ms: u64, arrival: Arrival) {
        let is_remote = !matches!(arrival, Arrival::FromUpstream { .. });
        if self.loss_one_in > 0 && is_remote && self.next_random().is_multiple_of(self.loss_one_in)
        {
            return;
        }
        self.scheduled += 1;
        self.arrivals.insert((at_ms, self.scheduled), arrival);
    }

    /// Schedules an arrival again for a later time, without loss and in the original order.
    pub(super) fn reschedule(&mut self, at_ms: u64, arrival: Arrival) {
        self.scheduled += 1;
        self.arrivals.insert((at_ms, self.scheduled), arrival);
    }

    pub(super) fn next_until(&mut self, until_ms: u64) -> Option<(u64, Arrival)> {
        let ((at, _), _) = self.arrivals.first_key_value()?;
        if *at > until_ms {
            return None;
        }
        let ((at, _), arrival) = self.arrivals.pop_first()?;
        Some((at, arrival))
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state >> 8
    }
}
