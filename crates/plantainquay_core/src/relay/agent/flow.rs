//! What an agent remembers of flows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{EstablishedPacket, FiveTuple, FlowId, OpeningPacket};
use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::due::DueFlows;
use crate::relay::{Action, Actions, LoadMeter, Packet, ResetReason};

/// Time without a packet after which a flow is forgotten; the upstream still knows it.
const FLOW_TTL: Duration = Duration::from_secs(20);
/// Time for which an owner remembers the holder of a flow whose packets go there directly.
const ELSEWHERE_TTL: Duration = Duration::from_mins(1);
/// Time after which an opening packet that got no answer no longer counts as load.
const OFFER_TTL: Duration = Duration::from_millis(1_500);
/// Time after which a request without an answer no longer counts as load.
const REQUEST_TTL: Duration = Duration::from_secs(1);
/// Flows that one shard remembers: an upstream holds a few thousand, and memory is scarce beside it.
const MAX_FLOWS: usize = 8_192;
/// Packets of one flow that wait for the end of a lookup.
const MAX_WAITING: usize = 8;

/// Flows of one shard.
#[derive(Debug, Default)]
pub(super) struct FlowShard {
    flows: HashMap<FlowId, Flow>,
    /// Trials and lookups that may have to be ended.
    pub(super) due: DueFlows,
}

/// One flow.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) tuple: FiveTuple,
    pub(super) state: FlowState,
    /// Moment at which the flow was first heard of.
    pub(super) since: Timestamp,
    pub(super) last_packet: Timestamp,
    /// The balancer that took the caller's last packet; none before one came through a balancer.
    pub(super) balancer: Option<SocketAddr>,
    /// The caller's last acknowledgement.
    pub(super) caller_ack: u32,
    /// Start of the request that is in progress.
    pub(super) request_since: Option<Timestamp>,
}

/// What is known of a flow.
#[derive(Debug)]
pub(super) enum FlowState {
    /// The upstream has the opening packet and has not answered.
    Offered(Box<OpeningPacket>),
    /// The upstream has answered the opening packet.
    Accepted,
    /// The upstream has not returned the flow's packets, nor sent any of its own.
    Presumed,
    /// The upstream holds the flow: it has sent packets of it.
    Open,
    /// Both or either end has closed the flow, or it was reset.
    Closing,
    /// A packet was given to the upstream to see whether it holds the flow.
    Tried(Box<Trial>),
    /// The other agents have been asked.
    Asked(Box<Lookup>),
    /// Another agent's upstream holds the flow.
    Elsewhere(Holder),
    /// No upstream holds the flow.
    Lost,
}

/// The agent beside the upstream that holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) agent: SocketAddr,
    /// Moment at which the agent said so.
    pub(super) heard: Timestamp,
}

/// A flow that the upstream may hold.
#[derive(Debug)]
pub(super) struct Trial {
    pub(super) since: Timestamp,
    /// Packets given to the upstream.
    pub(super) given: u32,
    /// The agent that looks for the flow, when it is another one.
    pub(super) asker: Option<SocketAddr>,
    pub(super) waiting: Waiting,
}

/// A flow that other agents were asked for.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) since: Timestamp,
    pub(super) asked: Timestamp,
    /// Rounds of questions so far.
    pub(super) rounds: u32,
    /// The packet that the other agents are asked with.
    pub(super) probe: EstablishedPacket,
    pub(super) denied: SmallVec<[SocketAddr; 16]>,
    pub(super) waiting: Waiting,
}

/// Packets that wait for the end of a lookup.
pub(super) type Waiting = SmallVec<[EstablishedPacket; 1]>;

/// Lets a packet wait, unless enough of them do.
pub(super) fn wait(waiting: &mut Waiting, packet: EstablishedPacket) -> bool {
    let has_room = waiting.len() < MAX_WAITING;
    if has_room {
        waiting.push(packet);
    }
    has_room
}

impl Lookup {
    /// Forgets all denials.
    pub(super) fn start_over(&mut self, now: Timestamp) {
        self.since = now;
        self.rounds = 0;
        self.denied.clear();
    }
}

impl Trial {
    /// A trial that begins with the next packet.
    pub(super) fn new(now: Timestamp, asker: Option<SocketAddr>) -> Self {
        Self {
            since: now,
            given: 0,
            asker,
            waiting: Waiting::new(),
        }
    }
}

impl FlowShard {
    pub(super) fn get_mut(&mut self, flow: FlowId, tuple: &FiveTuple) -> Option<&mut Flow> {
        self.flows.get_mut(&flow).filter(|f| f.tuple == *tuple)
    }

    /// Puts a flow in place of whatever the identifier stood for; returns it when there is room.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        tuple: FiveTuple,
        state: FlowState,
    ) -> Option<&mut Flow> {
        let flow = tuple.flow_id();
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return None;
        }
        let entry = Flow {
            tuple,
            state,
            since: now,
            last_packet: now,
            balancer: None,
            caller_ack: 0,
            request_since: None,
        };
        self.flows.insert(flow, entry);
        self.flows.get_mut(&flow)
    }

    /// The next flow whose trial or lookup may have to be ended.
    pub(super) fn next_due(&mut self, now: Timestamp) -> Option<&mut Flow> {
        let due = self.due.next_of(now, &mut self.flows);
        due.map(|(_, flow)| flow)
    }

    /// Forgets flows without packets, and load that nothing has come of.
    pub(super) fn expire(&mut self, now: Timestamp, meter: &mut LoadMeter) {
        self.flows.retain(|_, flow| {
            let idle = now.since(flow.last_packet);
            if matches!(flow.state, FlowState::Elsewhere(_)) {
                return idle < ELSEWHERE_TTL;
            }
            if matches!(flow.state, FlowState::Offered(_)) && idle >= OFFER_TTL {
                meter.settled();
                return false;
            }
            let stale = |since: Timestamp| now.since(since) >= REQUEST_TTL;
            if flow.request_since.is_some_and(stale) || idle >= FLOW_TTL {
                flow.end_request(now, meter);
            }
            if idle >= FLOW_TTL && flow.is_counted() {
                meter.closed();
            }
            idle < FLOW_TTL
        });
    }

    /// Resets of every open flow; each of them counts as ended.
    pub(super) fn reset_open(&mut self) -> Actions {
        let open = self.flows.values_mut().filter(|flow| flow.is_counted());
        open.map(|flow| {
            flow.state = FlowState::Closing;
            flow.reset(ResetReason::UpstreamEnded)
        })
        .collect()
    }
}

impl Flow {
    /// Notes a packet of the caller that goes to the upstream.
    pub(super) fn note_delivered(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        meter: &mut LoadMeter,
    ) {
        self.last_packet = now;
        self.caller_ack = packet.ack;
        if packet.data_bytes > 0 && self.request_since.is_none() {
            self.request_since = Some(now);
            meter.request_began(now);
        }
        if packet.fin || packet.reset {
            self.close(now, meter);
        }
    }

    /// Notes that the request in progress has its answer, or is given up.
    pub(super) fn end_request(
        &mut self,
        now: Timestamp,
        meter: &mut LoadMeter,
    ) -> Option<Timestamp> {
        let since = self.request_since.take()?;
        meter.request_ended(now);
        Some(since)
    }

    /// Notes that the upstream holds the flow.
    pub(super) fn open(&mut self, state: FlowState, meter: &mut LoadMeter) {
        if matches!(self.state, FlowState::Offered(_)) {
            meter.settled();
        }
        if !self.is_counted() {
            meter.opened();
        }
        self.state = state;
    }

    /// Notes that the flow has ended.
    pub(super) fn close(&mut self, now: Timestamp, meter: &mut LoadMeter) {
        if self.is_counted() {
            meter.closed();
        }
        if matches!(self.state, FlowState::Offered(_)) {
            meter.settled();
        }
        if !matches!(self.state, FlowState::Elsewhere(_)) {
            self.state = FlowState::Closing;
        }
        self.end_request(now, meter);
    }

    /// Whether the flow counts as one of the upstream's open flows.
    pub(super) fn is_counted(&self) -> bool {
        matches!(
            self.state,
            FlowState::Accepted | FlowState::Presumed | FlowState::Open
        )
    }

    /// The reset of this flow.
    pub(super) fn reset(&self, reason: ResetReason) -> Action {
        Action::Reset {
            tuple: self.tuple,
            ack: self.caller_ack,
            reason,
        }
    }
}
