//! Simulated components around plantainquay: platform, network fabric, upstreams and callers.
//!
//! Used by tests and examples only. Each `run_*` function is the main function of one process.

mod caller;
mod cluster;
mod fabric;
mod platform;
mod process;
mod run;
mod sample;
mod upstream;

pub use caller::{BookingResult, Caller, FeedProgress, http_get, http_put};
pub use cluster::{Cluster, ClusterConfig, Daemon, ServiceListener, fetch_status, wait_status};
pub use fabric::run_fabric;
pub use platform::run_platform;
pub use process::{ChildProcess, free_address};
pub use run::run_process;
pub use sample::single_service_document;
pub use upstream::{file_bytes, run_upstream};
