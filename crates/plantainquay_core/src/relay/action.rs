//! What a front end is to do.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{FiveTuple, RelayMessage};
use smallvec::SmallVec;
use thiserror::Error;

use super::Note;

/// What is to be done, in order.
pub type Actions = SmallVec<[Action; 2]>;

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The upstream beside the agent gets the packet.
    ToUpstream(Bytes),
    /// The caller gets the packet.
    ToCaller(SocketAddr, Bytes),
    /// Another process gets the message.
    Send(SocketAddr, RelayMessage),
    /// The caller is told that the flow has ended.
    Reset {
        /// The flow.
        tuple: FiveTuple,
        /// The caller's last acknowledgement, which the reset must lie near.
        ack: u32,
        /// Why.
        reason: ResetReason,
    },
    /// The packet is dropped.
    Drop(DropReason),
    /// The upstream has begun to answer a request.
    Answered {
        /// Where the request's flow goes.
        listener: SocketAddr,
        /// Time since the request went to the upstream.
        after: Duration,
    },
    /// What was decided is written down.
    Note(Note),
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ResetReason {
    /// No route has the address and port.
    #[error("no_route")]
    NoRoute,
    /// No upstream takes the flow.
    #[error("no_capacity")]
    NoCapacity,
    /// The upstream that held the flow has lost it.
    #[error("upstream_lost_flow")]
    UpstreamLostFlow,
    /// No upstream holds the flow; each of them has said so.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The agent's upstream has ended.
    #[error("upstream_ended")]
    UpstreamEnded,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum DropReason {
    /// Routes are not known, or not known to be current.
    #[error("no_view")]
    NoView,
    /// The service has no upstream that is known.
    #[error("no_upstream")]
    NoUpstream,
    /// No upstream takes the flow, which an earlier copy of the packet may have opened.
    #[error("no_capacity")]
    NoCapacity,
    /// The packet is meant for another service.
    #[error("wrong_service")]
    WrongService,
    /// The flow is looked for, and enough of its packets wait.
    #[error("lookup_full")]
    LookupFull,
    /// The flow is not held here and the packet has been passed on before.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The packet belongs to a flow that has ended.
    #[error("ended_flow")]
    EndedFlow,
}
