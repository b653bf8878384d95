//! The plantainquay daemon.
//!
//! One process is a balancer or an agent, as its settings file says. [`run`] is the whole of it;
//! the binary only reads the command line.

mod daemon;
mod load_settings;
mod relay;
mod role;

pub use daemon::{DaemonError, run};
pub use load_settings::{LoadError, load_settings};
pub use relay::{RelayAdapter, run_relay};
