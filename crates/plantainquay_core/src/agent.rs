//! What an agent does with packets, messages and the passing of time.
//!
//! An agent ends the flows of one upstream. It holds the truth about them; everything that other
//! processes know of them may be lost. Callers that echo TCP timestamps name their agent in each
//! packet. For the others, the holder of a flow announces it to the agent that the table names
//! whenever that changes. An owner that misses a flow all the same asks its siblings, and resets
//! the flow only after each of them has said that it doesn't hold it.

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

/// Messages to siblings, with the tunnels that they go to.
pub type Outbox = SmallVec<[(SocketAddr, AgentMessage); 4]>;

/// What becomes of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The packet belongs to a flow that is held here.
    Deliver,
    /// The packet opens a flow here, which is counted already; [`AgentState::open`] must follow.
    Open(Opening),
    /// Another agent of the service gets the packet.
    Forward {
        /// The other agent's tunnel.
        to: SocketAddr,
        /// The other agent's upstream.
        upstream: UpstreamNumber,
        /// Header before the packet.
        header: TunnelHeader,
    },
    /// The caller is told that the flow doesn't exist.
    Reset(ResetReason),
    /// Nothing; the caller repeats the packet if it matters.
    Drop(DropReason),
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResetReason {
    /// No agent holds the flow; each of them has said so.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The caller's echo names this agent, which doesn't hold the flow.
    #[error("lost_flow")]
    LostFlow,
    /// The member's share of its limit is in use at each agent that was asked.
    #[error("limit_reached")]
    LimitReached,
    /// No agent of the service takes new flows.
    #[error("no_capacity")]
    NoCapacity,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
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
    /// Too many handshakes are unfinished.
    #[error("half_open_full")]
    HalfOpenFull,
    /// The flow is unknown here, but it is not certain that no other agent holds it.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The packet ends a flow that is gone already.
    #[error("stray_reset")]
    StrayReset,
}
