//! Actions that a front end executes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_schema::{FiveTuple, RelayMessage};
use smallvec::SmallVec;
use thiserror::Error;

use super::DecisionRecord;

/// Actions in the order of execution.
pub type Actions = SmallVec<[Action; 2]>;

/// One action for a front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the packet to the agent's local upstream.
    ToUpstream(Bytes),
    /// Sends the packet to the caller.
    ToCaller(SocketAddr, Bytes),
    /// Sends the message to another process.
    Send(SocketAddr, RelayMessage),
    /// Sends a reset of the flow to the caller.
    Reset {
        /// The flow.
        tuple: FiveTuple,
        /// The caller's last acknowledgement number; the reset must be close to it to be accepted.
        ack: u32,
        /// Reason for the reset.
        reason: ResetReason,
    },
    /// Drops the packet.
    Drop(DropReason),
    /// Confirms soon that the view matches the store: a search waits for it.
    ConfirmView,
    /// Records the time that the upstream took to begin its answer to a request.
    RecordAnswerTime {
        /// Destination of the request's flow.
        listener: SocketAddr,
        /// Time since the request was sent to the upstream.
        elapsed: Duration,
    },
    /// Logs a decision.
    RecordDecision(DecisionRecord),
}

/// Reason for resetting a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Error)]
pub enum ResetReason {
    /// No route matches the destination address and port.
    #[error("no_route")]
    NoRoute,
    /// No upstream accepts the flow.
    #[error("no_capacity")]
    NoCapacity,
    /// The upstream that held the flow has lost it.
    #[error("upstream_lost_flow")]
    UpstreamLostFlow,
    /// Every upstream has denied the flow.
    #[error("unknown_flow")]
    UnknownFlow,
    /// The agent's upstream has terminated.
    #[error("upstream_ended")]
    UpstreamEnded,
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Error)]
pub enum DropReason {
    /// There are no routes, or they may be stale.
    #[error("no_view")]
    NoView,
    /// The service has no known upstream.
    #[error("no_upstream")]
    NoUpstream,
    /// No upstream accepts the flow, but an earlier transmission of the packet may have opened it.
    #[error("no_capacity")]
    NoCapacity,
    /// The message is addressed to another service.
    #[error("wrong_service")]
    WrongService,
    /// The flow table, or the packet queue of the flow's trial or lookup, is full.
    #[error("lookup_full")]
    LookupFull,
    /// The message is unexpected, or the flow is unknown here and can't be looked up.
    #[error("unknown_flow")]
    UnknownFlow,
    /// No known service holds the flow, but it may be at one that isn't known or isn't asked.
    #[error("unknown_service")]
    UnknownService,
    /// The flow of the packet has ended.
    #[error("ended_flow")]
    EndedFlow,
}
