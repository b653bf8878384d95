//! What became of a trace's packets.

use std::fmt;

use plantainquay_schema::Name;

use crate::ProcessId;

/// What became of one packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PacketOutcome {
    /// An agent opened the flow.
    Opened,
    /// The agent that holds the flow got the packet.
    Delivered,
    /// An agent that does not hold the flow opened it anew, or another service got the packet.
    Misdelivered,
    /// The caller was told that the flow does not exist.
    Reset(String),
    /// The packet was lost; TCP repeats it.
    Lost(String),
}

/// One packet's way and fate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PacketRecord {
    /// When the packet was sent, in milliseconds.
    pub millis: u64,
    /// The packet's flow.
    pub flow: Name,
    /// Processes that had it, in order.
    pub path: Vec<ProcessId>,
    /// What became of it.
    pub outcome: PacketOutcome,
}

/// Figures of a whole trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Flows that were opened.
    pub opened: u64,
    /// Packets that reached the holder of their flow.
    pub delivered: u64,
    /// Flows that were reset while their holder lived.
    pub broken: u64,
    /// Packets that reached the wrong agent's flow or service.
    pub misdelivered: u64,
    /// Packets that were lost.
    pub lost: u64,
    /// Packets that were passed on between agents.
    pub passed_on: u64,
}

impl fmt::Display for PacketRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>8} {}", self.millis, self.flow)?;
        for process in &self.path {
            write!(f, " > {process}")?;
        }
        match &self.outcome {
            PacketOutcome::Opened => f.write_str(" opened"),
            PacketOutcome::Delivered => f.write_str(" delivered"),
            PacketOutcome::Misdelivered => f.write_str(" MISDELIVERED"),
            PacketOutcome::Reset(reason) => write!(f, " reset {reason}"),
            PacketOutcome::Lost(reason) => write!(f, " lost {reason}"),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "opened={} delivered={} broken={} misdelivered={} lost={} passed_on={}",
            self.opened, self.delivered, self.broken, self.misdelivered, self.lost, self.passed_on
        )
    }
}
