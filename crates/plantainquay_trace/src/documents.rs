//! Compact descriptions of a trace's documents.

use std::net::{Ipv4Addr, SocketAddr};

use plantainquay_schema::wire::document as wire;
use plantainquay_schema::{Document, Name, UpstreamNumber, ValidationErrors};

const SERVICE_PORT: u16 = 80;
const TUNNEL_PORT: u16 = 4_789;
const CONNECTIONS: u32 = 2_000;
const SLOTS: u32 = 2;

/// Compact description of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentSpec {
    /// Name by which events refer to the document.
    pub key: Name,
    /// The document's generation.
    pub generation: u64,
    /// The document's services.
    pub services: Vec<ServiceSpec>,
}

/// Compact description of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Name,
    /// Upstreams that accept new flows.
    pub serving: Vec<UpstreamNumber>,
    /// Upstreams that accept no new flows.
    pub draining: Vec<UpstreamNumber>,
}

/// Returns the address of a service, which is the same in all documents.
pub(crate) fn service_address(name: &str) -> SocketAddr {
    let [a, b] = name_hash(name);
    SocketAddr::from((Ipv4Addr::new(192, 0, a, b), SERVICE_PORT))
}

/// Returns the tunnel address of an agent, which is the same in all documents.
pub(crate) fn agent_address(service: &str, number: UpstreamNumber) -> SocketAddr {
    let [_, b] = name_hash(service);
    let [high, low] = number.get().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, b, high, low), TUNNEL_PORT))
}

impl DocumentSpec {
    /// Builds and validates the document.
    pub(crate) fn build(&self) -> Result<Document, ValidationErrors> {
        let mut facts = wire::Facts::default();
        let mut services = Vec::with_capacity(self.services.len());
        for service in &self.services {
            service.add_facts(&mut facts);
            services.push(service.wire());
        }
        Document::try_from(wire::Document {
            environment: "trace".to_owned(),
            generation: self.generation,
            data_centres: vec!["one".to_owned()],
            members: Vec::new(),
            services,
            facts: Some(facts),
        })
    }
}

impl ServiceSpec {
    fn wire(&self) -> wire::Service {
        let numbers = self.serving.iter().chain(&self.draining);
        let upstreams = numbers.map(|number| wire::Upstream {
            number: u32::from(number.get()),
            name: format!("{}-{number}", self.name),
            data_centre: "one".to_owned(),
            slots: SLOTS,
            connections: CONNECTIONS,
        });
        wire::Service {
            name: self.name.to_string(),
            listeners: vec![wire::Listener {
                port: u32::from(SERVICE_PORT),
                protocol: "tcp".to_owned(),
                mode: "flow".to_owned(),
            }],
            classes: Vec::new(),
            limits: Vec::new(),
            upstreams: upstreams.collect(),
        }
    }

    fn add_facts(&self, facts: &mut wire::Facts) {
        facts.addresses.push(wire::ServiceAddress {
            service: self.name.to_string(),
            address: service_address(self.name.as_str()).ip().to_string(),
        });
        let serving = self.serving.iter().map(|number| (number, "serving"));
        let draining = self.draining.iter().map(|number| (number, "draining"));
        for (number, state) in serving.chain(draining) {
            let agent = agent_address(self.name.as_str(), *number).to_string();
            facts.upstreams.push(wire::UpstreamFact {
                service: self.name.to_string(),
                number: u32::from(number.get()),
                endpoint: agent.clone(),
                agent,
                state: state.to_owned(),
            });
        }
    }
}

/// Hashes a service name to two bytes, enough to distinguish the few services of a trace.
fn name_hash(name: &str) -> [u8; 2] {
    let sum = name
        .bytes()
        .fold(7_u16, |sum, byte| sum.wrapping_mul(31) ^ u16::from(byte));
    sum.to_be_bytes()
}
