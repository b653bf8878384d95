//! The operators' document, checked.

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

/// One environment's document, free of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Environment that the document is for.
    pub environment: Name,
    /// Generation; a newer one replaces an older one and never the reverse.
    pub generation: Generation,
    /// Data centres that upstreams may be in.
    pub data_centres: Vec<Name>,
    /// Members, who are told apart by their callers' source addresses.
    pub members: Vec<Member>,
    /// Services in the order of the document.
    pub services: Vec<Arc<Service>>,
    digest: Digest,
    source: Arc<wire::document::Document>,
}

/// One member.
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
    /// Identifier in messages.
    pub id: ServiceId,
    /// The service's name.
    pub name: Name,
    /// Addresses that callers use.
    pub addresses: Vec<IpAddr>,
    /// Ports at each address.
    pub listeners: Vec<Listener>,
    /// Classes of work.
    pub classes: Vec<WorkClass>,
    /// Voted limits.
    pub limits: Vec<Limit>,
    /// Upstreams by rising number.
    pub upstreams: Vec<Upstream>,
}

/// One port of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener {
    /// TCP port.
    pub port: u16,
    /// What the port's flows carry.
    pub mode: ListenerMode,
}

/// What the flows of a port carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// Bytes that are passed on unread.
    Flow,
    /// HTTP/1.1 requests, each admitted on its own.
    Request,
}

/// One class of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// The class's name.
    pub name: Name,
    /// Requests whose path starts so belong to the class; the longest match decides.
    pub path_prefix: Name,
    /// Whether the work is long and leaves a slot to short work.
    pub long: bool,
    /// Whether running the work twice does no harm.
    pub idempotent: bool,
    /// Time that a request may take, its wait included.
    pub deadline: Duration,
}

/// One voted limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Member that the limit is for.
    pub member: Name,
    /// Class that the limit is for; none for open flows.
    pub class: Option<Name>,
    /// What is limited.
    pub resource: Resource,
    /// How much of it.
    pub amount: u64,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Requests running at the same time.
    ConcurrentRequests,
    /// Flows open at the same time.
    OpenFlows,
    /// Requests started in each second.
    RequestsPerSecond,
}

/// One upstream with its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Number within the service.
    pub number: UpstreamNumber,
    /// The upstream's name.
    pub name: Name,
    /// Data centre that it is in.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it holds at once.
    pub connections: u32,
    /// The agent's tunnel.
    pub agent: SocketAddr,
    /// The upstream itself.
    pub endpoint: SocketAddr,
    /// Whether it takes new work.
    pub state: UpstreamState,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found; nothing of a faulty document is used.
    pub fn from_yaml(text: &str) -> Result<Self, ValidationErrors> {
        let wire: wire::document::Document = yaml::parse(text)?;
        Self::try_from(wire)
    }

    /// The wire form that the document was checked from.
    #[must_use]
    pub fn to_wire(&self) -> &wire::document::Document {
        &self.source
    }

    /// The document's place among all that were ever in force.
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

    /// The member whose longest source prefix holds `address`.
    #[must_use]
    pub fn member_by_address(&self, address: IpAddr) -> Option<&Name> {
        Member::by_address(&self.members, address)
    }
}

impl Member {
    /// The one of `members` whose longest source prefix holds `address`.
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

    /// What flows to `port` carry.
    #[must_use]
    pub fn mode(&self, port: u16) -> Option<ListenerMode> {
        let listener = self.listeners.iter().find(|l| l.port == port);
        listener.map(|l| l.mode)
    }

    /// The class of a request for `path`: the longest matching prefix.
    #[must_use]
    pub fn class(&self, path: &str) -> Option<&WorkClass> {
        let classes = self.classes.iter();
        let matching = classes.filter(|c| path.starts_with(c.path_prefix.as_str()));
        matching.max_by_key(|c| c.path_prefix.as_str().len())
    }
}
