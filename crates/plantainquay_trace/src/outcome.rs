//! Packet outcomes and summary counters of a replay.

use std::fmt;

use plantainquay_schema::Name;

use crate::ProcessId;

/// The outcome of one packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PacketOutcome {
    /// An agent opened the flow.
    Opened,
    /// The packet reached the agent that holds the flow.
    Delivered,
    /// The packet reached an agent that does not hold the flow, or an agent of another service.
    Misdelivered,
    /// The flow was reset, with this reason.
    Reset(String),
    /// The packet was lost, with this reason; TCP would retransmit it.
    Lost(String),
}

/// The path and outcome of one packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PacketRecord {
    /// Time at which the outcome was recorded, in milliseconds.
    pub millis: u64,
    /// The packet's flow.
    pub flow: Name,
    /// Processes that handled the packet, in order.
    pub path: Vec<ProcessId>,
    /// The packet's outcome.
    pub outcome: PacketOutcome,
}

/// Counters for a whole trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Flows that were opened.
    pub opened: u64,
    /// Packets that reached the agent that holds their flow.
    pub delivered: u64,
    /// Flows that were reset while the agent that holds them was alive.
    pub broken: u64,
    /// Packets that reached an agent that does not hold the flow, or the wrong service.
    pub misdelivered: u64,
    /// Packets that were lost.
    pub lost: u64,
    /// Packets that agents forwarded to other agents.
    pub forwarded: u64,
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
            self.opened, self.delivered, self.broken, self.misdelivered, self.lost, self.forwarded
        )
    }
}
