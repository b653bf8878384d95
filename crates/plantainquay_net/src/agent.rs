//! An agent's tasks: the tunnel, the flows, the timers and the request service.

mod flows;
mod requests;
mod runtime;
mod timers;

use std::io;

use thiserror::Error;

pub use requests::serve_requests;
pub use runtime::AgentRuntime;

use crate::SealError;

/// Why an agent can't start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// A socket can't be bound or set up.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// There is no usable key.
    #[error("keys: {0}")]
    Keys(#[from] SealError),
}
