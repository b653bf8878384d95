//! Decisions of an agent on packets, messages and timer ticks.
//!
//! An agent terminates the flows of one upstream. Its own state is authoritative for them; other
//! processes may lose their state about these flows at any time. Siblings are the other agents
//! of the same service. Callers that echo TCP timestamps identify their agent in each packet. For
//! other callers, the agent that holds a flow announces it to the owner of the flow's bucket
//! whenever the owner changes. An owner that still can't find a flow queries its siblings, and
//! resets the flow only after each of them has replied that it doesn't hold the flow.

mod messages;
mod opening;
mod packet;
mod placement;
mod shard;
mod sibling_loads;
mod state;
mod unresolved;
mod view;

use std::net::SocketAddr;

use plantainquay_schema::{AgentMessage, TunnelHeader, UpstreamNumber};
use smallvec::SmallVec;
use thiserror::Error;

pub use messages::{on_message, on_tick};
pub use opening::Opening;
pub use packet::on_packet;
pub use placement::{Placement, place};
pub use shard::{FlowEntry, Shard};
pub use state::{AgentConfig, AgentState};
pub use view::ServiceView;

/// Outgoing messages to siblings, each with the tunnel address of its recipient.
pub type Outbox = SmallVec<[(SocketAddr, AgentMessage); 4]>;

/// Decision on a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the packet to its flow, which this agent holds.
    Deliver,
    /// Open a flow at this agent. The flow is already counted against its limit;
    /// [`AgentState::open`] must be called next.
    Open(Opening),
    /// Forward the packet to another agent of the service.
    Forward {
        /// Tunnel address of the other agent.
        to: SocketAddr,
        /// Upstream of the other agent.
        upstream: UpstreamNumber,
        /// Tunnel header that precedes the packet.
        header: TunnelHeader,
    },
    /// Send the caller a reset.
    Reset(ResetReason),
    /// Drop the packet silently; the caller retransmits it if needed.
    Drop(DropReason),
}

/// Reason for resetting a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ResetReason {
    /// Each sibling has replied that it doesn't hold the flow.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The echoed tag names this agent, which doesn't hold the flow.
    #[error("lost_flow")]
    LostFlow,
    /// The member's share of its limit is used up at each agent that was tried.
    #[error("limit_reached")]
    LimitReached,
    /// No agent of the service accepts new flows.
    #[error("no_capacity")]
    NoCapacity,
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DropReason {
    /// The packet is meant for another service.
    #[error("wrong_service")]
    WrongService,
    /// No document is in force yet.
    #[error("no_document")]
    NoDocument,
    /// The service has no such address and port.
    #[error("unknown_address")]
    UnknownAddress,
    /// The limit of half-open flows is reached.
    #[error("half_open_full")]
    HalfOpenFull,
    /// This agent doesn't hold the flow, but another agent may.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The packet resets a flow that no agent was found to hold.
    #[error("stray_reset")]
    StrayReset,
}
