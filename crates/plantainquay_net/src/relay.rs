//! Front end of the relay: sockets, threads and HTTP around `plantainquay_core::relay`.
//!
//! What differs between packet formats and between stores is given as plain structs of functions:
//! [`PacketFormat`] and [`StoreReader`].

mod agent;
mod ask;
mod balancer;
mod carrier;
mod fleet_state;
mod follow;
mod format;
mod http;
mod metrics;
mod store;

pub use agent::AgentThreads;
pub use ask::fetch_changes;
pub use balancer::BalancerThreads;
pub use carrier::{Carrier, RelayStartError};
pub use fleet_state::FleetState;
pub use follow::follow;
pub use format::PacketFormat;
pub use http::{RelayHttp, serve_relay_http};
pub use store::{Freshness, ReadFuture, StoreError, StoreReader};
