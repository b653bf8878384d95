//! Simulated upstream that returns packets of flows that it doesn't hold.

use std::collections::{BTreeMap, BTreeSet};

use super::codec::SimulatedPacket;

/// State of a simulated upstream; a crash clears its flows and requests.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    pub(super) is_down: bool,
    pub(super) refuses: bool,
    pub(super) incarnation: u16,
    half_open: BTreeSet<u16>,
    open: BTreeSet<u16>,
    requests: RequestQueue,
}

/// Requests of an upstream with limited slots, one per flow, served in order of arrival.
#[derive(Debug, Default)]
struct RequestQueue {
    /// Time at which each slot becomes free.
    slots_free_at_ms: Vec<u64>,
    /// Time at which the request of each flow is answered.
    answered_at_ms: BTreeMap<u16, u64>,
}

/// Reaction of an upstream to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reaction {
    Accept,
    Answer,
    Return,
    NoReply,
}

impl Upstream {
    pub(super) fn on_packet(&mut self, own_number: u16, packet: SimulatedPacket) -> Reaction {
        if self.is_down {
            return Reaction::NoReply;
        }
        if packet.is_opening() {
            return self.accept(packet.flow);
        }
        if self.half_open.contains(&packet.flow)
            && (packet.upstream, packet.incarnation) == (own_number, self.incarnation)
        {
            self.half_open.remove(&packet.flow);
            self.open.insert(packet.flow);
        }
        if self.open.contains(&packet.flow) {
            Reaction::Answer
        } else {
            Reaction::Return
        }
    }

    pub(super) fn holds(&self, flow: u16) -> bool {
        !self.is_down && self.open.contains(&flow)
    }

    pub(super) fn crash(&mut self) {
        self.incarnation += 1;
        self.half_open.clear();
        self.open.clear();
        self.requests = RequestQueue::default();
    }

    /// Returns the time at which a flow's request that arrives now is answered, or `None` for a
    /// retransmission of a request that is in progress.
    pub(super) fn schedule_answer(
        &mut self,
        now_ms: u64,
        flow: u16,
        slots: usize,
        service_time_ms: u64,
    ) -> Option<u64> {
        let requests = &mut self.requests;
        if let Some(answered_at_ms) = requests.answered_at_ms.get(&flow) {
            return (*answered_at_ms <= now_ms).then_some(now_ms);
        }
        requests.slots_free_at_ms.resize(slots, 0);
        let slot = requests.slots_free_at_ms.iter_mut().min()?;
        *slot = now_ms.max(*slot) + service_time_ms;
        requests.answered_at_ms.insert(flow, *slot);
        Some(*slot)
    }

    fn accept(&mut self, flow: u16) -> Reaction {
        if self.refuses {
            return Reaction::Return;
        }
        if !self.open.contains(&flow) {
            self.half_open.insert(flow);
        }
        Reaction::Accept
    }
}
