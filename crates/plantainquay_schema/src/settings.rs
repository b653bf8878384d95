//! Validated settings of a daemon.

mod check;

pub(crate) use check::{check_address, check_log_level, check_name};

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::{Name, UpstreamNumber, ValidationErrors, wire, yaml};

/// Validated settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Role of the daemon.
    pub role: Role,
    /// Name of the instance.
    pub instance: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Address of the tunnel over UDP, and of messages between processes over TCP.
    pub tunnel: SocketAddr,
    /// TCP address of the read-only HTTP endpoint.
    pub http: SocketAddr,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Signing keys; the first key signs messages, all keys are accepted for verification.
    pub keys: Vec<Key>,
    /// Number of packet threads.
    pub threads: usize,
    /// Number of state shards.
    pub shards: usize,
    /// Maximum time to wait for open flows after SIGTERM.
    pub drain: Duration,
    /// Least severe log level that is written.
    pub log_level: Name,
}

/// Role of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Forwards each packet to an agent.
    Balancer,
    /// Terminates callers' flows beside one upstream.
    Agent(AgentSettings),
}

/// Additional settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Service of the upstream.
    pub service: Name,
    /// Number of the upstream.
    pub upstream: UpstreamNumber,
    /// Maximum number of half-open flows, whose handshake is not finished.
    pub max_half_open: usize,
    /// Maximum number of stored redirects to other agents of the service.
    pub max_redirects: usize,
    /// Maximum number of requests queued for a slot.
    pub max_queue: usize,
}

/// Addresses of the platform's read-only services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The configuration service.
    pub configuration: SocketAddr,
    /// The list of live and leaving instances.
    pub instances: SocketAddr,
    /// Minimum interval at which the platform is polled.
    pub poll: Duration,
}

/// Identifier of a signing key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyId(pub u8);

/// A signing key; `Debug` omits the secret.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Identifier by which receivers select the key.
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
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every validation error.
    pub fn from_yaml(text: &str) -> Result<Self, ValidationErrors> {
        let wire: wire::settings::Settings = yaml::parse(text)?;
        Self::try_from(wire)
    }
}
