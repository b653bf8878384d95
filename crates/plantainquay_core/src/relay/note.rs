//! What a decision was based on, for whoever looks for its cause afterwards.

use std::net::SocketAddr;

use plantainquay_schema::{FiveTuple, Generation};
use thiserror::Error;

/// One decision about a flow, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// The flow.
    pub tuple: FiveTuple,
    /// What was decided.
    pub decision: Decision,
    /// The agent that the decision is about.
    pub agent: Option<SocketAddr>,
    /// The number that decided, as [`Decision`] says.
    pub number: Option<u64>,
    /// Generation of the routes in force.
    pub generation: Generation,
    /// Revision of the upstreams in force.
    pub revision: u64,
}

/// What was decided; the number that a note carries is named in brackets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum Decision {
    /// A balancer has sent an opening packet to an agent (copies that the caller has sent before).
    #[error("opening_sent")]
    OpeningSent,
    /// A balancer has sent it to another agent, since the first was silent (agents tried).
    #[error("opening_retried")]
    OpeningRetried,
    /// An agent has given an opening packet to its upstream (load).
    #[error("opening_offered")]
    OpeningOffered,
    /// An agent has passed an opening packet on (load).
    #[error("opening_passed_on")]
    OpeningPassedOn,
    /// The upstream has returned an opening packet (agents visited).
    #[error("opening_returned")]
    OpeningReturned,
    /// No agent takes an opening packet (agents visited).
    #[error("opening_refused")]
    OpeningRefused,
    /// The upstream has accepted a flow (microseconds since the packet came to the agent).
    #[error("flow_accepted")]
    FlowAccepted,
    /// A balancer doesn't remember a flow and asks its owner.
    #[error("owner_asked")]
    OwnerAsked,
    /// An agent asks the others for a flow that its upstream has returned (agents asked).
    #[error("lookup_started")]
    LookupStarted,
    /// Another agent holds the flow (microseconds since the first question).
    #[error("lookup_found")]
    LookupFound,
    /// Every upstream has denied the flow (microseconds since the first question).
    #[error("lookup_lost")]
    LookupLost,
    /// The upstream has lost a flow that it held.
    #[error("upstream_lost_flow")]
    UpstreamLostFlow,
}

impl Decision {
    /// Whether the number of a note is a time in microseconds.
    #[must_use]
    pub fn is_timed(self) -> bool {
        matches!(
            self,
            Self::FlowAccepted | Self::LookupFound | Self::LookupLost
        )
    }
}
