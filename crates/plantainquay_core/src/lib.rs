//! Decisions of the load balancer.
//!
//! This crate opens no sockets, reads no clock, starts no threads and is independent of
//! message encoding. Each decision function takes the current time and an event and returns the
//! actions to perform; a front end (the daemon, or a trace replay) performs them.
//!
//! Path of a packet: a balancer calls [`balancer::route`], which selects the agent to forward the
//! packet to. That agent calls [`agent::on_packet`], which delivers the packet to a flow, opens a
//! flow, forwards the packet to another agent of the service, or rejects it.
//!
//! [`relay`] contains the same decisions for front ends that forward packets without terminating
//! flows; there, flows terminate at the upstream.
//!
//! ```
//! use plantainquay_core::{RouteMap, balancer};
//! use plantainquay_core::{FiveTuple, Segment};
//!
//! let routes = RouteMap::default();
//! let tuple = FiveTuple::tcp("10.1.0.9:40000", "192.0.2.1:80").expect("two addresses");
//! let verdict = balancer::route(&routes, &Segment::opening(tuple));
//! assert_eq!(verdict, Err(balancer::DropReason::UnknownAddress));
//! ```

pub mod agent;
pub mod balancer;
mod documents;
mod fleet;
pub mod gossip;
pub mod limits;
mod packet;
pub mod relay;
mod rendezvous;
pub mod requests;
mod routes;
mod table;
mod time;

pub use documents::{DocumentState, OfferOutcome};
pub use fleet::{AppliedChanges, Fleet, FleetVersion, Presence, ServiceHistory, UpstreamRecord};
pub use packet::Segment;
pub use plantainquay_schema::FiveTuple;
pub use routes::{RouteMap, ServiceRoute};
pub use table::{BucketTable, moved_share};
pub use time::Timestamp;
