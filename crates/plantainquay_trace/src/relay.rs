//! Simulation of the relay, whose upstreams return packets of flows that they don't hold.
//!
//! A [`RelaySimulation`] is a second front end beside the daemon: it calls the same decisions, with
//! time, packets and messages in memory. [`parse_relay_trace`] reads events from lines such as
//! `40 send f1 b2`, [`RelaySimulation::replay`] runs them, and [`RelaySimulation::log`] returns
//! what callers have observed.

mod codec;
mod event;
mod load;
mod network;
mod process;
mod simulation;
mod upstream;

pub use event::{RelayEvent, RelayParseError, parse_relay_trace};
pub use load::{RelayLoad, RelayOutcome};
pub use simulation::{RelaySimulation, RelaySummary};
