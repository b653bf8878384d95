//! Single-service documents for tests and examples.

use plantainquay_schema::wire::document as wire;
use plantainquay_schema::{Document, ValidationErrors};

/// Builds a document with one service at 192.0.2.1:80.
///
/// `agent` maps an upstream's number to the tunnel address of its agent, which is also used as its
/// endpoint.
///
/// # Errors
///
/// Fails when an agent's address is not an `ip:port`, or there is no upstream.
pub fn single_service_document(
    service: &str,
    upstreams: u32,
    connections: u32,
    agent: impl Fn(u32) -> String,
) -> Result<Document, ValidationErrors> {
    let upstream_entries = (1..=upstreams).map(|number| wire::Upstream {
        number,
        name: format!("{service}-{number}"),
        data_centre: "one".to_owned(),
        slots: 2,
        connections,
    });
    let facts = (1..=upstreams).map(|number| wire::UpstreamFact {
        service: service.to_owned(),
        number,
        agent: agent(number),
        endpoint: agent(number),
        state: String::new(),
    });
    Document::try_from(wire::Document {
        environment: "sample".to_owned(),
        generation: 1,
        data_centres: vec!["one".to_owned()],
        members: Vec::new(),
        services: vec![wire::Service {
            name: service.to_owned(),
            listeners: vec![wire::Listener {
                port: 80,
                protocol: "tcp".to_owned(),
                mode: "flow".to_owned(),
            }],
            upstreams: upstream_entries.collect(),
            ..wire::Service::default()
        }],
        facts: Some(wire::Facts {
            addresses: vec![wire::ServiceAddress {
                service: service.to_owned(),
                address: "192.0.2.1".to_owned(),
            }],
            upstreams: facts.collect(),
        }),
    })
}
