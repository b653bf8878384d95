//! Outcomes of a request.

use thiserror::Error;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran, and its complete answer is known.
    Done,
    /// The request is guaranteed never to have run.
    NotRun(NotRunReason),
    /// The request may have run; it is not retried unless it is idempotent.
    Unknown(UnknownReason),
}

/// Reason why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum NotRunReason {
    /// The service has no class for the request's path.
    #[error("no_class")]
    NoClass,
    /// The queue of waiting requests is full.
    #[error("queue_full")]
    QueueFull,
    /// The request could not be answered before its deadline.
    #[error("deadline_too_close")]
    DeadlineTooClose,
    /// The deadline passed while the request waited.
    #[error("deadline_passed")]
    DeadlinePassed,
    /// The member's share of a limit is used up.
    #[error("limit_reached")]
    LimitReached,
    /// No connection to the upstream could be opened.
    #[error("no_connection")]
    NoConnection,
    /// The upstream refused the request.
    #[error("upstream_refused")]
    UpstreamRefused,
}

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum UnknownReason {
    /// The deadline passed before the complete answer arrived.
    #[error("timeout")]
    Timeout,
    /// The connection was lost before the complete answer arrived.
    #[error("connection_lost")]
    ConnectionLost,
}
