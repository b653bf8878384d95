//! Admission and outcomes of requests.

mod outcome;
mod queue;

pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use queue::{Admission, Dequeued, QueueConfig, RequestQueue, RequestSpec, Ticket};
