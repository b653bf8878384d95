//! An agent's service as the document in force defines it.

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
    /// Version of the document, which orders all documents ever in force.
    pub version: DocumentVersion,
    /// The service with its bucket table.
    pub route: Arc<ServiceRoute>,
    members: Vec<Member>,
}

impl ServiceView {
    /// Builds the view of `service` in `document`; `None` if the document doesn't contain the
    /// service.
    #[must_use]
    pub fn build(document: &Document, service: ServiceId, previous: Option<&Self>) -> Option<Self> {
        let service = document.service_by_id(service)?;
        let route = ServiceRoute::build_or_reuse(previous.map(|view| &view.route), service);
        Some(Self {
            generation: document.generation,
            version: document.version(),
            route,
            members: document.members.clone(),
        })
    }

    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.route.service
    }

    /// Returns the member that a caller belongs to, or an empty name if there is none.
    #[must_use]
    pub fn member_of(&self, caller: IpAddr) -> Name {
        Member::by_address(&self.members, caller)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the mode of the service's listener at `destination`, if there is one.
    #[must_use]
    pub fn mode(&self, destination: SocketAddr) -> Option<ListenerMode> {
        let service = self.service();
        if !service.addresses.contains(&destination.ip()) {
            return None;
        }
        service.mode(destination.port())
    }

    /// Returns true if the document allows new flows for the upstream `number`.
    #[must_use]
    pub fn is_serving(&self, number: UpstreamNumber) -> bool {
        let upstream = self.service().upstream(number);
        upstream.is_some_and(|u| u.state == UpstreamState::Serving)
    }

    /// Returns the tunnel address of the agent of the upstream `number`.
    #[must_use]
    pub fn agent_address(&self, number: UpstreamNumber) -> Option<SocketAddr> {
        self.service().upstream(number).map(|u| u.agent)
    }
}
