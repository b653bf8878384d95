//! The closed set of outcomes of a request.

use thiserror::Error;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and its whole answer is known.
    Done,
    /// It provably never ran.
    NotRun(NotRunReason),
    /// It may have run; it is not repeated unless it is idempotent.
    Unknown(UnknownReason),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotRunReason {
    /// The service has no class for its path.
    #[error("no_class")]
    NoClass,
    /// Too many requests wait already.
    #[error("queue_full")]
    QueueFull,
    /// It could not have been answered before its deadline.
    #[error("deadline_too_close")]
    DeadlineTooClose,
    /// Its deadline passed while it waited.
    #[error("deadline_passed")]
    DeadlinePassed,
    /// The member's share of a limit is in use.
    #[error("limit_reached")]
    LimitReached,
    /// No connection to the upstream came about.
    #[error("no_connection")]
    NoConnection,
    /// The upstream refused it.
    #[error("upstream_refused")]
    UpstreamRefused,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnknownReason {
    /// No whole answer came before the deadline.
    #[error("timeout")]
    Timeout,
    /// The connection broke before the whole answer came.
    #[error("connection_lost")]
    ConnectionLost,
}
