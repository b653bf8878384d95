//! Events of a trace.

use std::fmt;

use plantainquay_schema::{Name, UpstreamNumber};

use crate::DocumentSpec;

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessId {
    /// A balancer, by its name.
    Balancer(Name),
    /// The agent beside an upstream.
    Agent(Name, UpstreamNumber),
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A document comes to exist; no process has it yet.
    Publish(DocumentSpec),
    /// A process learns a document; `None` means each live one.
    Apply {
        /// The process that learns it.
        process: Option<ProcessId>,
        /// The document's key.
        key: Name,
    },
    /// A process loses its memory, its flows included, and is gone.
    Die(ProcessId),
    /// A process starts with empty memory, and with the last document that it is told.
    Start(ProcessId),
    /// A process stands still; what is sent to it waits.
    Pause(ProcessId),
    /// A paused process goes on.
    Resume(ProcessId),
    /// An agent takes no new flow.
    Leave(ProcessId),
    /// Nothing passes between two processes.
    Cut(ProcessId, ProcessId),
    /// Everything passes again.
    Heal,
    /// Control messages between agents are lost from now on, or no longer.
    LoseMessages(bool),
    /// A caller opens a flow.
    Open {
        /// The flow's name.
        flow: Name,
        /// The service that it is meant for, or any other name for an address that is nobody's.
        service: Name,
        /// The balancer that the fabric chooses.
        via: Name,
        /// Whether the caller echoes timestamps.
        echoes: bool,
    },
    /// A caller sends a packet of an open flow.
    Send {
        /// The flow's name.
        flow: Name,
        /// The balancer that the fabric chooses.
        via: Name,
    },
    /// A flow ends as it should.
    Close {
        /// The flow's name.
        flow: Name,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// Milliseconds since the trace's start.
    pub millis: u64,
    /// What happens.
    pub event: Event,
}

/// A recorded trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Events by rising time.
    pub events: Vec<TimedEvent>,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Balancer(name) => f.write_str(name.as_str()),
            Self::Agent(service, number) => write!(f, "{service}/{number}"),
        }
    }
}
