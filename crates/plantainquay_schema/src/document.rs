//! The validated operators' document.

mod check;
mod check_service;
mod digest;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ipnet::IpNet;

pub use digest::Digest;

use crate::{
    DocumentVersion, Generation, Name, ServiceId, UpstreamNumber, ValidationErrors, wire, yaml,
};

/// A validated document of one environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Environment that the document is for.
    pub environment: Name,
    /// Generation; a newer generation replaces an older one, never the reverse.
    pub generation: Generation,
    /// Data centres that upstreams may be in.
    pub data_centres: Vec<Name>,
    /// Members, identified by the source addresses of their callers.
    pub members: Vec<Member>,
    /// Services in the order of the document.
    pub services: Vec<Arc<Service>>,
    digest: Digest,
    wire: Arc<wire::document::Document>,
}

/// A member of the co-operative.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name.
    pub name: Name,
    /// Source prefixes of its callers.
    pub sources: Vec<IpNet>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Identifier of the service in messages.
    pub id: ServiceId,
    /// The service's name.
    pub name: Name,
    /// Addresses at which callers reach the service.
    pub addresses: Vec<IpAddr>,
    /// Ports at each address.
    pub listeners: Vec<Listener>,
    /// Request classes.
    pub classes: Vec<WorkClass>,
    /// Voted limits.
    pub limits: Vec<Limit>,
    /// Upstreams sorted by number.
    pub upstreams: Vec<Upstream>,
}

/// One port of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener {
    /// TCP port.
    pub port: u16,
    /// Mode of the port's flows.
    pub mode: ListenerMode,
}

/// Handling of the flows of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// A byte stream that is forwarded without being parsed.
    Flow,
    /// HTTP/1.1 requests, each admitted individually.
    Request,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// The class's name.
    pub name: Name,
    /// Path prefix of the class's requests; the longest matching prefix selects the class.
    pub path_prefix: Name,
    /// True for long requests, which leave a slot for short ones.
    pub long: bool,
    /// True if requests of the class are safe to retry.
    pub idempotent: bool,
    /// Maximum duration of a request, including its queueing time.
    pub deadline: Duration,
}

/// A voted limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Member to which the limit applies.
    pub member: Name,
    /// Class to which the limit applies; `None` for limits on open flows.
    pub class: Option<Name>,
    /// Limited resource.
    pub resource: Resource,
    /// Maximum amount of the resource.
    pub amount: u64,
}

/// A resource that a limit restricts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Concurrent requests.
    ConcurrentRequests,
    /// Concurrently open flows.
    OpenFlows,
    /// Requests started per second.
    RequestsPerSecond,
}

/// An upstream and its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Number within the service.
    pub number: UpstreamNumber,
    /// The upstream's name.
    pub name: Name,
    /// Data centre of the upstream.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Tunnel address of the agent.
    pub agent: SocketAddr,
    /// Address of the upstream.
    pub endpoint: SocketAddr,
    /// State of the upstream.
    pub state: UpstreamState,
}

/// State of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new flows and requests.
    Serving,
    /// Finishes its open flows and requests, and accepts no new ones.
    Draining,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every validation error; no part of an invalid document is used.
    pub fn from_yaml(text: &str) -> Result<Self, ValidationErrors> {
        let wire: wire::document::Document = yaml::parse(text)?;
        Self::try_from(wire)
    }

    /// Wire form from which the document was validated.
    #[must_use]
    pub fn to_wire(&self) -> &wire::document::Document {
        &self.wire
    }

    /// Version by which documents are ordered.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.digest().0[..8]);
        DocumentVersion {
            generation: self.generation,
            digest_prefix: u64::from_be_bytes(prefix),
        }
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }

    /// The service with identifier `id`.
    #[must_use]
    pub fn service_by_id(&self, id: ServiceId) -> Option<&Arc<Service>> {
        self.services.iter().find(|s| s.id == id)
    }

    /// Name of the document's member with the longest source prefix that contains `address`.
    #[must_use]
    pub fn member_by_address(&self, address: IpAddr) -> Option<&Name> {
        Member::by_address(&self.members, address)
    }
}

impl Member {
    /// Name of the member with the longest source prefix that contains `address`.
    #[must_use]
    pub fn by_address(members: &[Self], address: IpAddr) -> Option<&Name> {
        let matches = members.iter().flat_map(|member| {
            let containing = member.sources.iter().filter(|net| net.contains(&address));
            containing.map(move |net| (net.prefix_len(), &member.name))
        });
        matches.max_by_key(|(len, _)| *len).map(|(_, name)| name)
    }
}

impl Service {
    /// The upstream with this number.
    #[must_use]
    pub fn upstream(&self, number: UpstreamNumber) -> Option<&Upstream> {
        let position = self.upstreams.binary_search_by_key(&number, |u| u.number);
        position.ok().map(|i| &self.upstreams[i])
    }

    /// Mode of the flows to `port`.
    #[must_use]
    pub fn mode(&self, port: u16) -> Option<ListenerMode> {
        let listener = self.listeners.iter().find(|l| l.port == port);
        listener.map(|l| l.mode)
    }

    /// Class of a request for `path`, selected by the longest matching prefix.
    #[must_use]
    pub fn class(&self, path: &str) -> Option<&WorkClass> {
        let classes = self.classes.iter();
        let matching = classes.filter(|c| path.starts_with(c.path_prefix.as_str()));
        matching.max_by_key(|c| c.path_prefix.as_str().len())
    }
}
