//! Decisions for packets that are forwarded without reading their payload; the upstream terminates
//! the flows.
//!
//! A balancer forwards each packet to an agent, and the agent forwards it to its local upstream.
//! Only the upstream has authoritative flow state: it returns each packet of a flow that it doesn't
//! hold. The state of balancers and agents is a cache that saves extra hops and may be lost at any
//! time:
//!
//! - An opening packet visits a few agents of its service, each of which reports its load, and is
//!   offered to the upstream of the least loaded one. Once the upstream accepts the flow, that
//!   agent notifies the balancer and the flow's owner: the agent that every process computes from
//!   the flow's addresses.
//! - A balancer sends a packet of a flow that isn't in its cache to the owner. An owner without an
//!   entry for the flow tries its own upstream, then probes all other agents of the service in
//!   parallel.
//! - A flow is reset only when every upstream has denied it that the store listed after the first
//!   packet of the search, or when the upstream that held it returns its packets.

mod action;
mod agent;
mod balancer;
mod decision;
mod flow_timers;
mod load;
mod packet;
mod pause;
mod policy;
mod sources;
mod view;

pub use action::{Action, Actions, DropReason, ResetReason};
pub use agent::{AgentCounters, RelayAgent, RelayAgentConfig};
pub use balancer::{BalancerCounters, RelayBalancer, RelayBalancerConfig};
pub use decision::{Decision, DecisionRecord};
pub use load::LoadMeter;
pub use packet::Packet;
pub use policy::RelayPolicy;
pub use sources::{Sources, choose_sources};
use view::is_confirmed_since;
pub use view::{Candidate, CandidateState, RelayView, ServiceCandidates};
