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
    AtCaller { packet: Bytes },
}

/// Arrivals in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Network {
    arrivals: BTreeMap<(u64, u64), Arrival>,
    sent: u64,
    /// One of so many messages is lost; zero for none.
    pub(super) loss: u64,
    random: u64,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: seed | 1,
            ..Self::default()
        }
    }

    pub(super) fn send(&mut self, now_ms: u64, arrival: Arrival) {
        self.put(now_ms + LATENCY_MS, arrival);
    }

    /// Something that arrives at once, within one machine.
    pub(super) fn put(&mut self, at_ms: u64, arrival: Arrival) {
        let is_remote = !matches!(arrival, Arrival::FromUpstream { .. });
        if self.loss > 0 && is_remote && self.draw().is_multiple_of(self.loss) {
            return;
        }
        self.sent += 1;
        self.arrivals.insert((at_ms, self.sent), arrival);
    }

    /// Keeps an arrival for later, in its order.
    pub(super) fn postpone(&mut self, at_ms: u64, arrival: Arrival) {
        self.sent += 1;
        self.arrivals.insert((at_ms, self.sent), arrival);
    }

    pub(super) fn next(&mut self, until_ms: u64) -> Option<(u64, Arrival)> {
        let ((at, _), _) = self.arrivals.first_key_value()?;
        if *at > until_ms {
            return None;
        }
        let ((at, _), arrival) = self.arrivals.pop_first()?;
        Some((at, arrival))
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 8
    }
}
