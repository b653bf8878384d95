//! Events of a trace.

use std::fmt;

use plantainquay_schema::{Name, UpstreamNumber};

use crate::DocumentSpec;

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessId {
    /// A balancer, identified by its name.
    Balancer(Name),
    /// The agent of an upstream, identified by the service's name and the upstream's number.
    Agent(Name, UpstreamNumber),
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A document is published; no process has applied it yet.
    Publish(DocumentSpec),
    /// A document is offered to a process, or to all live processes.
    Apply {
        /// The process that receives the document; `None` means every live process.
        process: Option<ProcessId>,
        /// The document's key.
        key: Name,
    },
    /// A process terminates and loses its state, including its flows.
    Die(ProcessId),
    /// A process starts with empty state; it has no document until one is applied.
    Start(ProcessId),
    /// A process is paused. Packets and messages to a paused agent are queued; packets to a paused
    /// balancer are lost.
    Pause(ProcessId),
    /// A paused process resumes.
    Resume(ProcessId),
    /// An agent starts to leave and accepts no new flows.
    Leave(ProcessId),
    /// The network drops all traffic between two processes.
    Cut(ProcessId, ProcessId),
    /// All network cuts are removed.
    Heal,
    /// Turns the loss of all control messages between agents on or off.
    LoseMessages(bool),
    /// A caller opens a flow.
    Open {
        /// The flow's name.
        flow: Name,
        /// The destination service; an unknown name stands for an address without a service.
        service: Name,
        /// The balancer that the fabric selects for the packet.
        via: Name,
        /// True if the caller echoes timestamps.
        echoes: bool,
    },
    /// A caller sends a packet of an open flow.
    Send {
        /// The flow's name.
        flow: Name,
        /// The balancer that the fabric selects for the packet.
        via: Name,
    },
    /// A flow is closed normally.
    Close {
        /// The flow's name.
        flow: Name,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// Milliseconds since the start of the trace.
    pub millis: u64,
    /// The event.
    pub event: Event,
}

/// A recorded trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Events in order of increasing time.
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
