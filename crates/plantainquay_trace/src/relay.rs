//! Traces of the relay, where flows end at upstreams that return what they don't hold.
//!
//! A [`RelayWorld`] is a front end beside the daemon: the same decisions, with time, packets and
//! messages in memory. Its events are lines such as `40 send f1 b2`; [`RelayWorld::replay`] reads
//! them, and the log of the world tells what callers and upstreams have seen.

mod codec;
mod load;
mod network;
mod process;
mod script;
mod upstream;
mod world;

pub use load::{RelayFate, RelayLoad};
pub use script::{RelayEvent, RelayParseError, parse_relay_trace};
pub use world::{RelaySummary, RelayWorld};
