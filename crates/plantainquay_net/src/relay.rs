//! Front end of the relay: sockets, threads and HTTP around `plantainquay_core::relay`.
//!
//! Packet formats and stores are plugged in as plain structs of functions: [`PacketFormat`] and
//! [`StoreReader`].

mod agent;
mod balancer;
mod confirm;
mod fetch;
mod fleet_state;
mod follow;
mod format;
mod http;
mod metrics;
mod sockets;
mod source_cache;
mod store;

pub use agent::AgentThreads;
pub use balancer::BalancerThreads;
pub use confirm::confirm_on_request;
pub use fetch::{Poll, fetch_changes};
pub use fleet_state::{FleetState, OnConfirmed};
pub use follow::follow;
pub use format::PacketFormat;
pub use http::{RelayHttpState, serve_relay_http};
pub use sockets::{RelaySockets, RelayStartError};
pub use store::{Freshness, ReadFuture, StoreError, StoreReader};
