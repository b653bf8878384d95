//! Decisions for packets that are passed on unread, where flows end at the upstream itself.
//!
//! A balancer hands each packet to an agent, and the agent hands it to the upstream beside it. The
//! upstream alone knows the flows that it holds: it returns each packet of another flow. All that
//! balancers and agents remember only saves detours, and may be lost at any time:
//!
//! - An opening packet visits a few agents of its service, each of which names its load, and ends
//!   at the least loaded one. That agent tells the balancer, and the flow's owner: the agent that
//!   every process computes from the flow's addresses.
//! - A packet whose agent a balancer doesn't remember goes to the owner. An owner that doesn't
//!   know the flow tries its own upstream, then asks every other agent of the service at once.
//! - A flow is reset only when each upstream has denied it, or when the upstream that held it
//!   returns its packets.

mod action;
mod agent;
mod balancer;
mod due;
mod load;
mod note;
mod packet;
mod pause;
mod policy;
mod sources;
mod view;

pub use action::{Action, Actions, DropReason, ResetReason};
pub use agent::{AgentCounters, RelayAgent, RelayAgentConfig};
pub use balancer::{BalancerCounters, RelayBalancer, RelayBalancerConfig};
pub use load::LoadMeter;
pub use note::{Decision, Note};
pub use packet::Packet;
pub use policy::RelayPolicy;
pub use sources::{Sources, sources};
pub use view::{Candidate, CandidateState, RelayView, ServiceCandidates};
