//! Lookup tables of a balancer, built from one document.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use plantainquay_schema::{
    Document, Generation, Instance, Service, ServiceId, Upstream, UpstreamNumber,
};
use smallvec::SmallVec;

use crate::BucketTable;

/// At most the number of a service's upstreams divided by this number is ejected.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Upstreams that receive no new flows because their agent is missing.
pub(crate) type Ejected = SmallVec<[UpstreamNumber; 4]>;

/// Services by ID and by address and port, with their tables; immutable once built.
#[derive(Clone, Debug, Default)]
pub struct RouteMap {
    generation: Generation,
    by_address: Arc<HashMap<SocketAddr, Arc<ServiceRoute>>>,
    by_id: Arc<HashMap<ServiceId, Arc<ServiceRoute>>>,
    live_agents: Arc<HashSet<SocketAddr>>,
}

/// One service with its table.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service.
    pub service: Arc<Service>,
    /// Owners of the service's buckets.
    pub table: BucketTable,
}

impl RouteMap {
    /// Builds the map of `document`; services unchanged since `previous` are shared with it.
    #[must_use]
    pub fn build(document: &Document, previous: &Self) -> Self {
        let mut by_address = HashMap::with_capacity(previous.by_address.len());
        let mut by_id = HashMap::with_capacity(document.services.len());
        for service in &document.services {
            let route = ServiceRoute::build_or_reuse(previous.by_id.get(&service.id), service);
            for destination in destinations(service) {
                by_address.insert(destination, Arc::clone(&route));
            }
            by_id.insert(service.id, route);
        }
        Self {
            generation: document.generation,
            by_address: Arc::new(by_address),
            by_id: Arc::new(by_id),
            live_agents: Arc::clone(&previous.live_agents),
        }
    }

    /// Returns the same map with the live agents taken from the platform's list of instances.
    #[must_use]
    pub fn with_live_agents(&self, instances: &[Instance]) -> Self {
        let listed = instances.iter().filter(|i| !i.leaving);
        Self {
            live_agents: Arc::new(listed.map(|i| i.tunnel).collect()),
            ..self.clone()
        }
    }

    /// Returns true if the agent is listed as live, or if no live agents are listed at all.
    pub(crate) fn is_live_agent(&self, agent: SocketAddr) -> bool {
        self.live_agents.is_empty() || self.live_agents.contains(&agent)
    }

    /// Returns upstreams whose agents are missing from the list of instances, but at most a third
    /// of the service's upstreams, since the list may be wrong.
    ///
    /// A list without any agent of the service is ignored for that service.
    pub(crate) fn ejected(&self, service: &Service) -> Ejected {
        let is_missing = |upstream: &&Upstream| !self.is_live_agent(upstream.agent);
        let missing = service.upstreams.iter().filter(is_missing);
        if missing.clone().count() == service.upstreams.len() {
            return Ejected::new();
        }
        let max_ejected = service.upstreams.len() / MAX_EJECTED_DIVISOR;
        missing.take(max_ejected).map(|u| u.number).collect()
    }

    /// Returns the generation of the document.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the service at an address and port; there is no default service.
    #[must_use]
    pub fn find(&self, destination: SocketAddr) -> Option<&ServiceRoute> {
        self.by_address.get(&destination).map(Arc::as_ref)
    }

    /// Returns the service with this ID.
    #[must_use]
    pub fn find_by_id(&self, id: ServiceId) -> Option<&Arc<ServiceRoute>> {
        self.by_id.get(&id)
    }

    /// Returns the number of services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if there are no services.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

fn destinations(service: &Service) -> impl Iterator<Item = SocketAddr> {
    let ports = || service.listeners.iter().map(|listener| listener.port);
    let addresses = service.addresses.iter();
    addresses.flat_map(move |address| ports().map(|port| SocketAddr::new(*address, port)))
}

impl ServiceRoute {
    /// Builds the route of one service from scratch.
    #[must_use]
    pub fn build(service: &Arc<Service>) -> Self {
        Self {
            service: Arc::clone(service),
            table: BucketTable::build(service),
        }
    }

    /// Returns `previous` if the service is unchanged, otherwise a new route whose table is rebuilt
    /// from that of `previous`, if any.
    pub(crate) fn build_or_reuse(
        previous: Option<&Arc<Self>>,
        service: &Arc<Service>,
    ) -> Arc<Self> {
        match previous {
            Some(route) if route.service == *service => Arc::clone(route),
            Some(route) => Arc::new(Self {
                service: Arc::clone(service),
                table: route.table.rebuild(&route.service, service),
            }),
            None => Arc::new(Self::build(service)),
        }
    }
}
