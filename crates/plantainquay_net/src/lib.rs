//! Sockets, clock and codecs that drive `plantainquay_core`.
//!
//! [`BalancerRuntime`] and [`AgentRuntime`] turn datagrams and timers into events for the core
//! and execute its decisions. [`TcpEndpoint`] is one end of a TCP flow inside the tunnel;
//! [`Sealer`] signs and verifies the messages between processes.

mod agent;
mod balancer;
mod clock;
mod documents;
mod flow_pump;
mod gossip;
mod http;
mod instances;
mod log_sink;
mod logging;
mod packet;
mod platform;
pub mod relay;
mod seal;
mod tcp_endpoint;
mod udp;

pub use agent::{AgentError, AgentRuntime, serve_requests};
pub use balancer::{BalancerError, BalancerRuntime};
pub use clock::Clock;
pub use documents::DocumentStore;
pub use flow_pump::{EndpointHandle, pump};
pub use gossip::Gossip;
pub use http::{HttpState, StatusSource, serve_http};
pub use instances::InstanceView;
pub use log_sink::LogSink;
pub use logging::{event, init_metrics};
pub use packet::{PacketError, parse_segment, reset_for, write_tag};
pub use platform::PlatformReader;
pub use seal::{SealError, Sealer, VerifiedDatagram};
pub use tcp_endpoint::{Packets, Received, TcpEndpoint};
pub use udp::{bind_reuse_port, bind_udp};
