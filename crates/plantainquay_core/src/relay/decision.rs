//! Records of decisions with their inputs, for later diagnosis.

use std::net::SocketAddr;

use plantainquay_schema::{FiveTuple, Generation, StoreRevision};
use thiserror::Error;

/// One decision about a flow, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// The flow.
    pub tuple: FiveTuple,
    /// The decision.
    pub decision: Decision,
    /// The agent that the decision concerns.
    pub agent: Option<SocketAddr>,
    /// The input or measurement that [`Decision`] documents for this decision.
    pub number: Option<u64>,
    /// Generation of the routes in force.
    pub generation: Generation,
    /// Store revision that the upstreams reflect.
    pub revision: StoreRevision,
}

/// Kind of decision; parentheses name the value of [`DecisionRecord::number`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Error)]
pub enum Decision {
    /// A balancer sent an opening packet to an agent (earlier transmissions by the caller).
    #[error("opening_sent")]
    OpeningSent,
    /// A balancer sent an opening packet to another agent after a timeout (agents tried).
    #[error("opening_retried")]
    OpeningRetried,
    /// An agent offered an opening packet to its upstream (load).
    #[error("opening_offered")]
    OpeningOffered,
    /// An agent forwarded an opening packet to another agent (load).
    #[error("opening_passed_on")]
    OpeningForwarded,
    /// The upstream returned an opening packet (agents visited).
    #[error("opening_returned")]
    OpeningReturned,
    /// No agent accepts an opening packet (agents visited).
    #[error("opening_refused")]
    OpeningRefused,
    /// The upstream accepted a flow (microseconds since the agent received the opening packet).
    #[error("flow_accepted")]
    FlowAccepted,
    /// A balancer has no cache entry for a flow and sent its packet to the owner.
    #[error("owner_asked")]
    SentToOwner,
    /// A balancer sent the packet of a flow that one service denied to another (services that
    /// denied it).
    #[error("further_service_asked")]
    FurtherServiceAsked,
    /// An agent probed the others for a flow whose packet its upstream returned (agents probed).
    #[error("lookup_started")]
    LookupStarted,
    /// Another agent's upstream holds the flow (microseconds since the first probe).
    #[error("lookup_found")]
    LookupFound,
    /// Every upstream denied the flow (microseconds since the first probe).
    #[error("lookup_lost")]
    LookupLost,
    /// Every known upstream denied the flow, but the list of upstreams wasn't confirmed since the
    /// flow's first packet (agents that denied it).
    #[error("lookup_unconfirmed")]
    LookupUnconfirmed,
    /// A lookup ended without a result, since the named agent and maybe others didn't answer
    /// (agents that didn't answer).
    #[error("lookup_unanswered")]
    LookupUnanswered,
    /// The upstream lost a flow that it held.
    #[error("upstream_lost_flow")]
    UpstreamLostFlow,
}

impl Decision {
    /// Returns true if the record's number is a duration in microseconds.
    #[must_use]
    pub fn is_duration(self) -> bool {
        matches!(
            self,
            Self::FlowAccepted | Self::LookupFound | Self::LookupLost
        )
    }
}
