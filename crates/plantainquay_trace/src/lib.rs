//! Deterministic simulation that replays traces through the decisions of `plantainquay_core`.
//!
//! A trace is text with one event per line: time in milliseconds, process, event. The simulation
//! is a second front end beside the daemon: it calls the same decision functions, with time,
//! packets and messages taken from the trace. A [`Policy`] can replace the decisions with simpler
//! baselines, so that a test shows which failures the real ones prevent.
//!
//! ```
//! use plantainquay_trace::{Policy, Simulation, Trace};
//!
//! let trace: Trace = "
//!     0 b1 start
//!     0 b2 start
//!     0 platform publish key=1 generation=1 feed=1,2,3
//!     0 all apply key=1
//!     10 caller open flow=a to=feed via=b1
//!     20 caller send flow=a via=b2
//! "
//! .parse()?;
//! let mut simulation = Simulation::new(Policy::product());
//! simulation.replay(&trace);
//! assert_eq!(simulation.summary().broken, 0);
//! # Ok::<(), plantainquay_trace::ParseError>(())
//! ```

mod documents;
mod event;
mod outcome;
mod parse;
mod policy;
mod processes;
mod relay;
mod simulation;

pub use documents::{DocumentSpec, ServiceSpec};
pub use event::{Event, ProcessId, TimedEvent, Trace};
pub use outcome::{PacketOutcome, PacketRecord, Summary};
pub use parse::ParseError;
pub use policy::Policy;
pub use relay::{
    RelayEvent, RelayLoad, RelayOutcome, RelayParseError, RelaySimulation, RelaySummary,
    parse_relay_trace,
};
pub use simulation::Simulation;
