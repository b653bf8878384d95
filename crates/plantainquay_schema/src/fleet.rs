//! Routes and upstreams of the relay, which are independent of the operators' document.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use prost::Message as _;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Generation, Incarnation, Name, ServiceId, StoreRevision, ValidationError, ValidationErrors,
    wire,
};

/// Routes of one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteDocument {
    /// Generation of the routes; increases monotonically.
    pub generation: Generation,
    /// Routes, one for each address and port.
    pub routes: Vec<Route>,
}

/// Difference between the routes of two generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChanges {
    /// Generation to which the changes apply.
    pub from: Generation,
    /// Generation that results from the changes.
    pub generation: Generation,
    /// Added and changed routes.
    pub put: Vec<Route>,
    /// Addresses and ports whose routes were removed.
    pub removed: Vec<SocketAddrV4>,
}

/// Services that receive the flows of one address and port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Address and port to which callers send packets.
    pub listener: SocketAddrV4,
    /// Services with their weights; never empty, and at least one weight is above zero.
    pub services: SmallVec<[WeightedService; 1]>,
    /// True if requests of this route may be retried.
    pub idempotent: bool,
    /// Time after which callers abandon a request.
    pub timeout: Duration,
    /// Priority of queued requests; lower numbers are served first.
    pub priority: u32,
}

/// A service and its share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Identifier of the service.
    pub id: ServiceId,
    /// Name of the service.
    pub name: Name,
    /// Share of new flows, relative to the route's other services.
    pub weight: u32,
}

/// Store entry of a current or former upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identifier of one run of the upstream, unique within the store.
    pub id: Name,
    /// Service of the upstream.
    pub service: Name,
    /// IP address of the instance, shared by the upstream and its agent.
    pub ip: Ipv4Addr,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// True if the upstream accepts no new flows.
    pub draining: bool,
    /// Unix time of the start in milliseconds; distinguishes restarts under the same identifier.
    pub incarnation: Incarnation,
    /// Remaining warm-up time when the entry was written.
    pub warm_up: Duration,
    /// Number of the write among those of this incarnation.
    pub sequence: u64,
    /// Store revision at which the entry was written.
    pub revision: StoreRevision,
}

/// An entry that was removed from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Identifier of the entry.
    pub id: Name,
    /// Store revision at which the entry was removed.
    pub revision: StoreRevision,
    /// Last version of the entry, if known.
    pub last: Option<UpstreamEntry>,
}

/// Changes since the generation and revision that a process sent in its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Time since the sender last confirmed its state with the store; `None` if it never did.
    pub age: Option<Duration>,
    /// Store revision up to which the upstreams are complete.
    pub revision: StoreRevision,
    /// All routes, if they are newer than the requester's.
    pub routes: Option<RouteDocument>,
    /// Changes to the requester's routes, sent in place of `routes`.
    pub route_changes: Option<RouteChanges>,
    /// True if `upstreams` lists every upstream rather than only the changed ones.
    pub is_full: bool,
    /// Added and changed entries.
    pub upstreams: Vec<UpstreamEntry>,
    /// Removed entries.
    pub departures: Vec<Departure>,
    /// True if the sender can reach neither the store nor a process that reads it.
    pub is_cut_off: bool,
    /// Documents between the receiver's routes and `routes`, oldest first; only from the store.
    pub earlier_routes: Vec<RouteDocument>,
    /// Store revision after which the documents are complete; `None` if some may be missing.
    pub routes_complete_after: Option<StoreRevision>,
    /// Services that routes named before; only from another process.
    pub former_services: Option<FormerServices>,
}

/// Services that routes named before, at whose upstreams flows may still be open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerServices {
    /// Time for which `services` is complete.
    pub span: Duration,
    /// The services.
    pub services: Vec<FormerService>,
}

/// A service that the route of a listener no longer names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerService {
    /// Address and port of the route.
    pub listener: SocketAddrV4,
    /// Name of the service.
    pub service: Name,
    /// Time since the route named the service.
    pub age: Duration,
}

impl UpstreamEntry {
    /// Returns true if the upstream wrote this entry before `other`, according to the upstream.
    #[must_use]
    pub fn was_written_before(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) < (other.incarnation, other.sequence)
    }
}

impl Departure {
    /// Creates a departure whose last entry is unknown.
    #[must_use]
    pub fn without_entry(id: Name, revision: StoreRevision) -> Self {
        Self {
            id,
            revision,
            last: None,
        }
    }
}

impl RouteDocument {
    /// Digest that distinguishes routes of the same generation, independent of their order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hash = |route: &Route| {
            let encoded = wire::fleet::Route::from(route).encode_to_vec();
            xxh3_64_with_seed(&encoded, self.generation.0)
        };
        let empty = xxh3_64_with_seed(&[], self.generation.0);
        self.routes.iter().map(hash).fold(empty, u64::wrapping_add)
    }
}

impl Route {
    /// Returns true if at least one service has a weight above zero.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.services.iter().any(|service| service.weight > 0)
    }

    /// Returns true if the route names a service, whatever its weight.
    #[must_use]
    pub fn names(&self, service: ServiceId) -> bool {
        self.services.iter().any(|named| named.id == service)
    }
}

impl WeightedService {
    /// Creates a weighted service from its name.
    #[must_use]
    pub fn new(name: &str, weight: u32) -> Self {
        Self {
            id: ServiceId::of(name),
            name: name.into(),
            weight,
        }
    }
}

impl From<&RouteDocument> for wire::fleet::RouteDocument {
    fn from(document: &RouteDocument) -> Self {
        Self {
            generation: document.generation.0,
            routes: document.routes.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Route> for wire::fleet::Route {
    fn from(route: &Route) -> Self {
        let services = route.services.iter().map(|s| wire::fleet::WeightedService {
            name: s.name.to_string(),
            weight: s.weight,
        });
        Self {
            ip: route.listener.ip().to_bits(),
            port: route.listener.port().into(),
            services: services.collect(),
            idempotent: route.idempotent,
            timeout_ms: millis(route.timeout),
            priority: route.priority,
        }
    }
}

impl TryFrom<wire::fleet::RouteDocument> for RouteDocument {
    type Error = ValidationErrors;

    fn try_from(document: wire::fleet::RouteDocument) -> Result<Self, ValidationErrors> {
        let routes = document.routes.into_iter().map(Route::try_from);
        Ok(Self {
            generation: Generation(document.generation),
            routes: routes.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&RouteChanges> for wire::fleet::RouteChanges {
    fn from(changes: &RouteChanges) -> Self {
        let removed = changes.removed.iter().map(|l| wire_listener(*l));
        Self {
            from: changes.from.0,
            generation: changes.generation.0,
            put: changes.put.iter().map(Into::into).collect(),
            removed: removed.collect(),
        }
    }
}

impl TryFrom<wire::fleet::RouteChanges> for RouteChanges {
    type Error = ValidationErrors;

    fn try_from(changes: wire::fleet::RouteChanges) -> Result<Self, ValidationErrors> {
        let put = changes.put.into_iter().map(Route::try_from);
        let removed = changes
            .removed
            .iter()
            .map(|l| listener_address(l.ip, l.port));
        Ok(Self {
            from: Generation(changes.from),
            generation: Generation(changes.generation),
            put: put.collect::<Result<_, _>>()?,
            removed: removed.collect::<Result<_, _>>()?,
        })
    }
}

fn wire_listener(listener: SocketAddrV4) -> wire::fleet::Listener {
    wire::fleet::Listener {
        ip: listener.ip().to_bits(),
        port: listener.port().into(),
    }
}

fn listener_address(ip: u32, port: u32) -> Result<SocketAddrV4, ValidationErrors> {
    let port = u16::try_from(port).map_err(|_e| validation_error("port", "is out of range"))?;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

impl TryFrom<wire::fleet::Route> for Route {
    type Error = ValidationErrors;

    fn try_from(route: wire::fleet::Route) -> Result<Self, ValidationErrors> {
        let listener = listener_address(route.ip, route.port)?;
        let services = route.services.iter();
        let route = Self {
            listener,
            services: services
                .map(|s| WeightedService::new(&s.name, s.weight))
                .collect(),
            idempotent: route.idempotent,
            timeout: Duration::from_millis(route.timeout_ms),
            priority: route.priority,
        };
        if route.has_target() {
            Ok(route)
        } else {
            Err(validation_error(
                "services",
                "no service has a weight above zero",
            ))
        }
    }
}

fn validation_error(path: &str, reason: &str) -> ValidationErrors {
    ValidationErrors::from(ValidationError {
        path: path.to_owned(),
        reason: reason.to_owned(),
    })
}

impl From<&UpstreamEntry> for wire::fleet::UpstreamEntry {
    fn from(entry: &UpstreamEntry) -> Self {
        Self {
            id: entry.id.to_string(),
            service: entry.service.to_string(),
            ip: entry.ip.to_bits(),
            data_centre: entry.data_centre.to_string(),
            slots: entry.slots,
            draining: entry.draining,
            started_unix_ms: entry.incarnation.0,
            warm_up_ms: millis(entry.warm_up),
            revision: entry.revision.number,
            era: entry.revision.era,
            sequence: entry.sequence,
        }
    }
}

impl From<wire::fleet::UpstreamEntry> for UpstreamEntry {
    fn from(entry: wire::fleet::UpstreamEntry) -> Self {
        Self {
            id: entry.id.as_str().into(),
            service: entry.service.as_str().into(),
            ip: Ipv4Addr::from_bits(entry.ip),
            data_centre: entry.data_centre.as_str().into(),
            slots: entry.slots.max(1),
            draining: entry.draining,
            incarnation: Incarnation(entry.started_unix_ms),
            warm_up: Duration::from_millis(entry.warm_up_ms),
            sequence: entry.sequence,
            revision: StoreRevision::new(entry.era, entry.revision),
        }
    }
}

impl From<&Changes> for wire::fleet::Changes {
    fn from(changes: &Changes) -> Self {
        let departures = changes.departures.iter().map(|d| wire::fleet::Departure {
            id: d.id.to_string(),
            revision: d.revision.number,
            era: d.revision.era,
            last: d.last.as_ref().map(Into::into),
        });
        Self {
            age_ms: changes
                .age
                .map(|age| u32::try_from(millis(age)).unwrap_or(u32::MAX)),
            revision: changes.revision.number,
            era: changes.revision.era,
            routes: changes.routes.as_ref().map(Into::into),
            route_changes: changes.route_changes.as_ref().map(Into::into),
            whole: changes.is_full,
            upstreams: changes.upstreams.iter().map(Into::into).collect(),
            departures: departures.collect(),
            is_cut_off: changes.is_cut_off,
            former_services: changes.former_services.as_ref().map(Into::into),
        }
    }
}

impl From<&FormerServices> for wire::fleet::FormerServices {
    fn from(former: &FormerServices) -> Self {
        let services = former.services.iter().map(|s| wire::fleet::FormerService {
            listener: Some(wire_listener(s.listener)),
            service: s.service.to_string(),
            age_ms: millis(s.age),
        });
        Self {
            span_ms: millis(former.span),
            services: services.collect(),
        }
    }
}

impl TryFrom<wire::fleet::FormerServices> for FormerServices {
    type Error = ValidationErrors;

    fn try_from(former: wire::fleet::FormerServices) -> Result<Self, ValidationErrors> {
        let services = former.services.into_iter().map(FormerService::try_from);
        Ok(Self {
            span: Duration::from_millis(former.span_ms),
            services: services.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<wire::fleet::FormerService> for FormerService {
    type Error = ValidationErrors;

    fn try_from(former: wire::fleet::FormerService) -> Result<Self, ValidationErrors> {
        let listener = former
            .listener
            .ok_or_else(|| validation_error("listener", "is missing"))?;
        Ok(Self {
            listener: listener_address(listener.ip, listener.port)?,
            service: former.service.as_str().into(),
            age: Duration::from_millis(former.age_ms),
        })
    }
}

impl TryFrom<wire::fleet::Changes> for Changes {
    type Error = ValidationErrors;

    fn try_from(changes: wire::fleet::Changes) -> Result<Self, ValidationErrors> {
        let departures = changes.departures.into_iter().map(|d| Departure {
            id: d.id.as_str().into(),
            revision: StoreRevision::new(d.era, d.revision),
            last: d.last.map(Into::into),
        });
        Ok(Self {
            age: changes.age_ms.map(|age| Duration::from_millis(age.into())),
            revision: StoreRevision::new(changes.era, changes.revision),
            routes: changes.routes.map(TryInto::try_into).transpose()?,
            route_changes: changes.route_changes.map(TryInto::try_into).transpose()?,
            is_full: changes.whole,
            upstreams: changes.upstreams.into_iter().map(Into::into).collect(),
            departures: departures.collect(),
            is_cut_off: changes.is_cut_off,
            former_services: changes.former_services.map(TryInto::try_into).transpose()?,
            ..Self::default()
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
