//! Flow table of an agent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{
    EstablishedPacket, Evidence, FiveTuple, FlowId, OpeningPacket, StoreRevision,
};
use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::flow_timers::FlowTimers;
use crate::relay::{Action, Actions, LoadMeter, Packet, ResetReason};

/// Idle time after which a flow entry is removed; the upstream still holds the flow.
const FLOW_TTL: Duration = Duration::from_secs(20);
/// Idle time after which the entry of a remotely held flow is removed.
///
/// Longer than [`FLOW_TTL`], since most packets of such a flow bypass this agent.
const REMOTE_TTL: Duration = Duration::from_mins(1);
/// Time after which an unanswered opening packet no longer counts as load.
const OFFER_TTL: Duration = Duration::from_millis(1_500);
/// Time after which an unanswered request no longer counts as load.
const REQUEST_TTL: Duration = Duration::from_secs(1);
/// Maximum number of flows in a shard: an upstream holds a few thousand, and memory is scarce.
const MAX_FLOWS: usize = 8_192;
/// Maximum number of queued packets of one flow during a trial or lookup.
const MAX_QUEUED_PACKETS: usize = 8;

/// Flows of one shard.
#[derive(Debug, Default)]
pub(super) struct FlowShard {
    flows: HashMap<FlowId, FlowEntry>,
    /// Timers of trials and lookups.
    pub(super) timers: FlowTimers,
}

/// State of one flow.
#[derive(Debug)]
pub(super) struct FlowEntry {
    pub(super) tuple: FiveTuple,
    pub(super) state: FlowState,
    pub(super) created_at: Timestamp,
    pub(super) last_packet_at: Timestamp,
    /// The balancer that forwarded the caller's last packet, if any did.
    pub(super) balancer: Option<SocketAddr>,
    /// The caller's last acknowledgement number.
    pub(super) caller_ack: u32,
    /// Start of the request in progress.
    pub(super) request_started_at: Option<Timestamp>,
}

/// State of a flow as seen by an agent.
#[derive(Debug)]
pub(super) enum FlowState {
    /// The opening packet was offered to the upstream, which hasn't answered.
    Offered(Box<OpeningPacket>),
    /// The upstream answered the opening packet.
    Accepted,
    /// The upstream has neither returned the flow's packets nor sent any of its own: it holds the
    /// flow, or has terminated.
    Presumed {
        /// The other agent that looked up the flow, if any.
        requester: Option<SocketAddr>,
    },
    /// The upstream holds the flow and has sent packets of it.
    Open,
    /// One or both ends have closed the flow, or it was reset.
    Closing,
    /// A packet was sent to the upstream to test whether it holds the flow.
    OnTrial(Box<Trial>),
    /// The other agents are being probed for the flow.
    LookingUp(Box<Lookup>),
    /// Another agent's upstream holds the flow.
    Remote(Holder),
    /// No upstream holds the flow.
    Lost(Loss),
}

/// Finding that no upstream holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Loss {
    pub(super) found_at: Timestamp,
    /// [`ServiceCandidates::revision`](crate::relay::ServiceCandidates::revision) at that time.
    pub(super) upstreams_revision: StoreRevision,
}

/// The agent whose upstream holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) agent: SocketAddr,
    /// Evidence for the agent's claim.
    pub(super) evidence: Evidence,
    /// Time of the agent's claim.
    pub(super) claimed_at: Timestamp,
}

/// A test of whether the upstream holds a flow.
#[derive(Debug)]
pub(super) struct Trial {
    pub(super) started_at: Timestamp,
    /// Packets sent to the upstream.
    pub(super) packets_sent: u32,
    /// The other agent that looks up the flow, if any.
    pub(super) requester: Option<SocketAddr>,
    pub(super) queue: PacketQueue,
}

/// A lookup of a flow among the other agents.
#[derive(Debug)]
pub(super) struct Lookup {
    /// Time at which the lookup began; the upstream that holds the flow was listed before.
    pub(super) requested_at: Timestamp,
    /// Start of the current window of denials.
    pub(super) started_at: Timestamp,
    pub(super) last_round_at: Timestamp,
    /// Earliest time at which a timer continues the lookup.
    pub(super) next_tick_at: Timestamp,
    /// The packet with which the other agents are probed.
    pub(super) probe: EstablishedPacket,
    pub(super) denied_by: SmallVec<[SocketAddr; 16]>,
    /// True while every known agent has denied the flow, but the list may lack one.
    pub(super) awaits_confirmation: bool,
    /// The balancer that knows that every known agent has denied the flow, until its next packet.
    pub(super) reported_to: Option<SocketAddr>,
    pub(super) queue: PacketQueue,
}

/// Packets queued during a trial or lookup.
pub(super) type PacketQueue = SmallVec<[EstablishedPacket; 1]>;

/// Queues a packet; returns false if the queue is full.
pub(super) fn enqueue(queue: &mut PacketQueue, established: EstablishedPacket) -> bool {
    let has_room = queue.len() < MAX_QUEUED_PACKETS;
    if has_room {
        queue.push(established);
    }
    has_room
}

impl Lookup {
    /// Discards all denials and starts over.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.started_at = now;
        self.denied_by.clear();
    }
}

impl Trial {
    /// Creates a trial that starts with the next packet.
    pub(super) fn new(now: Timestamp, requester: Option<SocketAddr>) -> Self {
        Self {
            started_at: now,
            packets_sent: 0,
            requester,
            queue: PacketQueue::new(),
        }
    }
}

impl FlowShard {
    pub(super) fn get_mut(&mut self, flow: FlowId, tuple: &FiveTuple) -> Option<&mut FlowEntry> {
        self.flows
            .get_mut(&flow)
            .filter(|entry| entry.tuple == *tuple)
    }

    /// Inserts a flow, replacing any entry with the same identifier; returns `None` if the shard is
    /// full.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        tuple: FiveTuple,
        state: FlowState,
    ) -> Option<&mut FlowEntry> {
        let flow = tuple.flow_id();
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return None;
        }
        let entry = FlowEntry {
            tuple,
            state,
            created_at: now,
            last_packet_at: now,
            balancer: None,
            caller_ack: 0,
            request_started_at: None,
        };
        self.flows.insert(flow, entry);
        self.flows.get_mut(&flow)
    }

    /// Returns the next flow with an expired timer.
    pub(super) fn next_expired(&mut self, now: Timestamp) -> Option<&mut FlowEntry> {
        let expired = self.timers.pop_expired(now, &mut self.flows);
        expired.map(|(_, entry)| entry)
    }

    /// Removes idle flows, and the load of unanswered opening packets and requests.
    pub(super) fn expire(&mut self, now: Timestamp, meter: &mut LoadMeter) {
        self.flows.retain(|_, entry| {
            let idle = now.since(entry.last_packet_at);
            if matches!(entry.state, FlowState::Remote(_)) {
                return idle < REMOTE_TTL;
            }
            if matches!(entry.state, FlowState::Offered(_)) && idle >= OFFER_TTL {
                meter.opening_settled();
                return false;
            }
            let is_timed_out = |since: Timestamp| now.since(since) >= REQUEST_TTL;
            if entry.request_started_at.is_some_and(is_timed_out) || idle >= FLOW_TTL {
                entry.end_request(now, meter);
            }
            if idle >= FLOW_TTL && entry.counts_as_open() {
                meter.flow_closed();
            }
            idle < FLOW_TTL
        });
    }

    /// Marks every flow that the upstream is known to have held as closing and returns resets for
    /// them.
    pub(super) fn reset_held(&mut self) -> Actions {
        let held = self
            .flows
            .values_mut()
            .filter(|entry| entry.was_surely_held());
        held.map(|entry| {
            entry.state = FlowState::Closing;
            entry.reset(ResetReason::UpstreamEnded)
        })
        .collect()
    }
}

impl FlowEntry {
    /// Records a packet of the caller that is sent to the upstream.
    pub(super) fn on_delivered(&mut self, now: Timestamp, packet: &Packet, meter: &mut LoadMeter) {
        self.last_packet_at = now;
        self.caller_ack = packet.ack;
        if packet.data_bytes > 0 && self.request_started_at.is_none() {
            self.request_started_at = Some(now);
            meter.request_began(now);
        }
        if packet.fin || packet.reset {
            self.close(now, meter);
        }
    }

    /// Ends the request in progress, answered or abandoned; returns its start time.
    pub(super) fn end_request(
        &mut self,
        now: Timestamp,
        meter: &mut LoadMeter,
    ) -> Option<Timestamp> {
        let started_at = self.request_started_at.take()?;
        meter.request_ended(now);
        Some(started_at)
    }

    /// Records that the upstream holds the flow.
    pub(super) fn open(&mut self, state: FlowState, meter: &mut LoadMeter) {
        if matches!(self.state, FlowState::Offered(_)) {
            meter.opening_settled();
        }
        if !self.counts_as_open() {
            meter.flow_opened();
        }
        self.state = state;
    }

    /// Records that the flow has ended.
    pub(super) fn close(&mut self, now: Timestamp, meter: &mut LoadMeter) {
        if self.counts_as_open() {
            meter.flow_closed();
        }
        if matches!(self.state, FlowState::Offered(_)) {
            meter.opening_settled();
        }
        if !matches!(self.state, FlowState::Remote(_)) {
            self.state = FlowState::Closing;
        }
        self.end_request(now, meter);
    }

    /// Returns true if the flow counts as an open flow of the upstream.
    pub(super) fn counts_as_open(&self) -> bool {
        matches!(
            self.state,
            FlowState::Accepted | FlowState::Presumed { .. } | FlowState::Open
        )
    }

    /// Returns true if both ends have used the flow with this upstream.
    ///
    /// The caller of an accepted flow may have used the answer of another upstream, unless its
    /// next packet arrived here.
    fn was_surely_held(&self) -> bool {
        match self.state {
            FlowState::Open => true,
            FlowState::Accepted => self.caller_ack > 0,
            _ => false,
        }
    }

    /// Returns the evidence that the upstream holds a flow that counts as open.
    pub(super) fn evidence(&self) -> Evidence {
        if matches!(self.state, FlowState::Presumed { .. }) {
            Evidence::Silence
        } else {
            Evidence::SentPackets
        }
    }

    /// Creates a reset of this flow.
    pub(super) fn reset(&self, reason: ResetReason) -> Action {
        Action::Reset {
            tuple: self.tuple,
            ack: self.caller_ack,
            reason,
        }
    }
}
