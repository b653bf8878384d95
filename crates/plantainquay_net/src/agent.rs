//! The tasks of an agent: tunnel, flows, timers and request service.

mod flows;
mod requests;
mod runtime;
mod timers;

use std::io;

use thiserror::Error;

pub use requests::serve_requests;
pub use runtime::AgentRuntime;

use crate::SealError;

/// An error that prevents an agent from starting.
#[derive(Debug)]
#[derive(Error)]
pub enum AgentError {
    /// A socket can't be bound or set up.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The settings contain no usable key.
    #[error("keys: {0}")]
    Keys(#[from] SealError),
}
