//! Everything a balancer looks up, computed from one document.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use plantainquay_schema::{Document, Generation, Service, ServiceId};

use crate::BucketTable;

/// Services by address and port, with their tables; immutable once built.
#[derive(Clone, Debug, Default)]
pub struct RouteMap {
    generation: Generation,
    by_address: HashMap<SocketAddr, Arc<ServiceRoute>>,
    by_id: HashMap<ServiceId, Arc<ServiceRoute>>,
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
        let mut map = Self {
            generation: document.generation,
            by_address: HashMap::new(),
            by_id: HashMap::with_capacity(document.services.len()),
        };
        for service in &document.services {
            let route = previous.renewed(service);
            map.insert(route);
        }
        map
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

    fn renewed(&self, service: &Arc<Service>) -> Arc<ServiceRoute> {
        match self.by_id.get(&service.id) {
            Some(route) if route.service == *service => Arc::clone(route),
            Some(route) => Arc::new(ServiceRoute {
                service: Arc::clone(service),
                table: route.table.rebuild(&route.service, service),
            }),
            None => Arc::new(ServiceRoute::build(service)),
        }
    }

    fn insert(&mut self, route: Arc<ServiceRoute>) {
        for address in &route.service.addresses {
            for listener in &route.service.listeners {
                let destination = SocketAddr::new(*address, listener.port);
                self.by_address.insert(destination, Arc::clone(&route));
            }
        }
        self.by_id.insert(route.service.id, route);
    }
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
}
