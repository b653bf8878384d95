//! Settings of one daemon, checked.

mod check;

pub(crate) use check::{check_address, check_log_level, check_name, value_or_default};

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::{Name, UpstreamNumber, ValidationErrors, wire, yaml};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What the daemon does.
    pub role: Role,
    /// The instance's name.
    pub instance: Name,
    /// Data centre that the instance is in.
    pub data_centre: Name,
    /// Address of the tunnel over UDP, and of messages between processes over TCP.
    pub tunnel: SocketAddr,
    /// TCP address of the read-only HTTP endpoint.
    pub http: SocketAddr,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Keys; the first one signs, all of them verify.
    pub keys: Vec<Key>,
    /// Threads that move packets.
    pub threads: usize,
    /// Shards of state.
    pub shards: usize,
    /// Longest wait for open flows after SIGTERM.
    pub drain: Duration,
    /// Least severe level that is logged.
    pub log_level: Name,
}

/// What a daemon does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Finds the agent for each packet.
    Balancer,
    /// Ends callers' flows beside one upstream.
    Agent(AgentSettings),
}

/// What an agent needs besides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Service of the upstream.
    pub service: Name,
    /// Number of the upstream.
    pub upstream: UpstreamNumber,
    /// Most flows whose handshake is not finished.
    pub max_half_open: usize,
    /// Most remembered placements on siblings.
    pub max_redirects: usize,
    /// Most requests that wait for a slot.
    pub max_queue: usize,
}

/// The platform's read-only services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The configuration service.
    pub configuration: SocketAddr,
    /// The list of live and leaving instances.
    pub instances: SocketAddr,
    /// Shortest interval of the slow poll.
    pub poll: Duration,
}

/// Number of a signing key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyId(pub u8);

/// One signing key; its secret is never printed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Number by which receivers choose the key.
    pub id: KeyId,
    /// The secret.
    pub secret: [u8; 16],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn from_yaml(text: &str) -> Result<Self, ValidationErrors> {
        let wire: wire::settings::Settings = yaml::parse(text)?;
        Self::try_from(wire)
    }
}
