//! What is under way between the processes of the world.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use plantainquay_schema::RelayMessage;

/// Milliseconds between any two processes.
pub(super) const LATENCY_MS: u64 = 1;

/// Something that arrives.
#[derive(Clone, Debug)]
pub(super) enum Arrival {
    /// A packet of a caller at a balancer.
    FromCaller { balancer: usize, packet: Bytes },
    /// A message at a process.
    Message {
        from: SocketAddr,
        to: SocketAddr,
        message: Box<RelayMessage>,
    },
    /// A packet of an upstream, or one that it returns, at its agent.
    FromUpstream {
        agent: usize,
        packet: Bytes,
        returned: bool,
    },
    /// A packet at a caller.
    ToCaller { packet: Bytes },
}

/// Arrivals in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Network {
    arrivals: BTreeMap<(u64, u64), Arrival>,
    scheduled: u64,
    /// One of so many messages is lost; zero for none.
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

    /// Something that arrives at once, within one machine.
    pub(super) fn schedule(&mut self, at_ms: u64, arrival: Arrival) {
        let is_remote = !matches!(arrival, Arrival::FromUpstream { .. });
        if self.loss_one_in > 0 && is_remote && self.next_random().is_multiple_of(self.loss_one_in)
        {
            return;
        }
        self.scheduled += 1;
        self.arrivals.insert((at_ms, self.scheduled), arrival);
    }

    /// Keeps an arrival for later, in its order.
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
