//! The plantainquay daemon.
//!
//! A process runs as a balancer or an agent, depending on its settings file. [`run`] runs the
//! daemon; the binary only parses the command line.

mod daemon;
mod load_settings;
mod relay;
mod role;

pub use daemon::{DaemonError, run};
pub use load_settings::{LoadError, load_settings};
pub use relay::{RelayAdapter, run_relay};
