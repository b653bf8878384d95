//! Everything a balancer looks up, computed from one document.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use plantainquay_schema::{
    Document, Generation, Instance, Service, ServiceId, Upstream, UpstreamNumber,
};
use smallvec::SmallVec;

use crate::BucketTable;

/// At most one of so many upstreams of a service is left out because its agent is gone.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Upstreams that get no new flow.
pub(crate) type Ejected = SmallVec<[UpstreamNumber; 4]>;

/// Services by address and port, with their tables; immutable once built.
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
    /// Owners of its buckets.
    pub table: BucketTable,
}

impl RouteMap {
    /// The map of `document`; services that `previous` holds unchanged are shared with it.
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

    /// The same map, with the instances that the platform's list names as live.
    #[must_use]
    pub fn with_live_agents(&self, instances: &[Instance]) -> Self {
        let listed = instances.iter().filter(|i| !i.leaving);
        Self {
            live_agents: Arc::new(listed.map(|i| i.tunnel).collect()),
            ..self.clone()
        }
    }

    /// Whether the platform's list names the agent as live, or there is no list.
    pub(crate) fn is_live_agent(&self, agent: SocketAddr) -> bool {
        self.live_agents.is_empty() || self.live_agents.contains(&agent)
    }

    /// Upstreams of the service whose agents are gone from the list of instances: at most a third
    /// of them, since the list may be wrong.
    ///
    /// A list that names no agent of the service says nothing of it.
    pub(crate) fn ejected(&self, service: &Service) -> Ejected {
        let is_missing = |upstream: &&Upstream| !self.is_live_agent(upstream.agent);
        let missing = service.upstreams.iter().filter(is_missing);
        if missing.clone().count() == service.upstreams.len() {
            return Ejected::new();
        }
        let max_ejected = service.upstreams.len() / MAX_EJECTED_DIVISOR;
        missing.take(max_ejected).map(|u| u.number).collect()
    }

    /// Generation of the document.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The service at an address and port; there is no default.
    #[must_use]
    pub fn find(&self, destination: SocketAddr) -> Option<&ServiceRoute> {
        self.by_address.get(&destination).map(Arc::as_ref)
    }

    /// The service with this identifier.
    #[must_use]
    pub fn find_by_id(&self, id: ServiceId) -> Option<&Arc<ServiceRoute>> {
        self.by_id.get(&id)
    }

    /// Number of services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no service.
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
    /// The route of one service, computed anew.
    #[must_use]
    pub fn build(service: &Arc<Service>) -> Self {
        Self {
            service: Arc::clone(service),
            table: BucketTable::build(service),
        }
    }

    /// The route of `service`, from its earlier one where there is one.
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
