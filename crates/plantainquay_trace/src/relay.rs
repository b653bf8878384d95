//! Traces of the relay, where flows end at upstreams that return what they don't hold.
//!
//! A [`RelaySimulation`] is a front end beside the daemon: the same decisions, with time, packets and
//! messages in memory. Its events are lines such as `40 send f1 b2`; [`RelaySimulation::replay`] reads
//! them, and the log of the world tells what callers and upstreams have seen.

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
