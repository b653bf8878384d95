//! Simulated balancers and agents.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use plantainquay_core::agent::{AgentConfig, AgentState, Outbox};
use plantainquay_core::{DocumentState, OfferOutcome, RouteMap, Segment, Timestamp};
use plantainquay_schema::{
    AgentMessage, Document, FlowId, Incarnation, Name, ServiceId, TunnelHeader, UpstreamNumber,
};

/// Flow cache of a balancer under [`Policy::cache_alone`](crate::Policy::cache_alone).
pub(crate) type FlowCache = HashMap<FlowId, UpstreamNumber>;

/// A simulated balancer.
#[derive(Debug, Default)]
pub(crate) struct Balancer {
    pub(crate) documents: DocumentState,
    pub(crate) routes: RouteMap,
    pub(crate) cache: FlowCache,
    pub(crate) is_paused: bool,
}

/// A simulated agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) documents: DocumentState,
    pub(crate) state: AgentState<()>,
    pub(crate) is_paused: bool,
    pub(crate) queue: VecDeque<QueuedItem>,
}

/// A packet or message that is queued for a paused agent.
#[derive(Clone, Debug)]
pub(crate) enum QueuedItem {
    Packet(Name, TunnelHeader, Segment),
    Message(AgentMessage),
}

impl Balancer {
    pub(crate) fn offer(&mut self, document: &Arc<Document>) -> OfferOutcome {
        let outcome = self.documents.offer(document);
        if matches!(
            outcome,
            OfferOutcome::Applied | OfferOutcome::ConflictApplied
        ) {
            self.routes = RouteMap::build(document, &self.routes);
        }
        outcome
    }
}

impl Agent {
    pub(crate) fn new(
        service: &str,
        number: UpstreamNumber,
        start_number: u64,
        now: Timestamp,
    ) -> Self {
        let config = AgentConfig::builder()
            .service(ServiceId::of(service))
            .number(number)
            .incarnation(Incarnation(start_number << 16 | u64::from(number.get())))
            .build();
        Self {
            documents: DocumentState::default(),
            state: AgentState::new(config, now),
            is_paused: false,
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn offer(&mut self, document: &Arc<Document>) -> (OfferOutcome, Outbox) {
        let outcome = self.documents.offer(document);
        let mut outbox = Outbox::new();
        if matches!(
            outcome,
            OfferOutcome::Applied | OfferOutcome::ConflictApplied
        ) {
            outbox = self.state.install(document);
        }
        (outcome, outbox)
    }
}
