//! Decisions of the load balancer.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or knows how a message is encoded.
//! Each deciding function takes the present time and an event, and returns what is to be done; a
//! front end (the daemon, or a replayed trace) carries it out.
//!
//! The way of a packet: a balancer calls [`balancer::route`], which names the agent that the
//! packet is handed to; that agent calls [`agent::on_packet`], which delivers the packet to a
//! flow, opens one, passes the packet on to a sibling, or refuses it.
//!
//! [`relay`] holds the same decisions for front ends that pass packets on unread, where flows end
//! at the upstream itself.
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
pub use fleet::{AppliedChanges, Fleet, FleetVersion, Presence, UpstreamRecord};
pub use packet::Segment;
pub use plantainquay_schema::FiveTuple;
pub use routes::{RouteMap, ServiceRoute};
pub use table::{BucketTable, moved_share};
pub use time::Timestamp;
