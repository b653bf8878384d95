//! What an agent knows of its service from the document in force.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use plantainquay_schema::{
    Document, DocumentVersion, Generation, ListenerMode, Member, Name, Service, ServiceId,
    UpstreamNumber, UpstreamState,
};

use crate::ServiceRoute;

/// One service under one generation; immutable once built.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Generation of the document.
    pub generation: Generation,
    /// The document's place among all that were ever in force.
    pub version: DocumentVersion,
    /// The service with its table.
    pub route: Arc<ServiceRoute>,
    members: Vec<Member>,
}

impl ServiceView {
    /// The view of `service` in `document`; none when the document no longer names it.
    #[must_use]
    pub fn build(document: &Document, service: ServiceId, previous: Option<&Self>) -> Option<Self> {
        let service = document.service_by_id(service)?;
        let route = ServiceRoute::renewed(previous.map(|view| &view.route), service);
        Some(Self {
            generation: document.generation,
            version: document.version(),
            route,
            members: document.members.clone(),
        })
    }

    /// The service.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.route.service
    }

    /// The member that a caller belongs to; an empty name for none.
    #[must_use]
    pub fn member_of(&self, caller: IpAddr) -> Name {
        Member::by_address(&self.members, caller)
            .cloned()
            .unwrap_or_default()
    }

    /// What flows to `destination` carry, when it is one of the service's.
    #[must_use]
    pub fn mode(&self, destination: SocketAddr) -> Option<ListenerMode> {
        let service = self.service();
        if !service.addresses.contains(&destination.ip()) {
            return None;
        }
        service.mode(destination.port())
    }

    /// Whether the document lets `number` take new flows.
    #[must_use]
    pub fn is_serving(&self, number: UpstreamNumber) -> bool {
        let upstream = self.service().upstream(number);
        upstream.is_some_and(|u| u.state == UpstreamState::Serving)
    }

    /// Tunnel of the agent beside `number`.
    #[must_use]
    pub fn agent(&self, number: UpstreamNumber) -> Option<SocketAddr> {
        self.service().upstream(number).map(|u| u.agent)
    }
}
