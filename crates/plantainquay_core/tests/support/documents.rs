//! Builds documents for tests.
#![allow(dead_code, reason = "each test binary uses a part of these helpers")]

use std::sync::Arc;

use plantainquay_schema::wire::document as wire;
use plantainquay_schema::{Document, Service};

/// The numbers from 1 to `count`.
pub fn numbers(count: u32) -> Vec<u32> {
    (1..=count).collect()
}

/// Tunnel address of an upstream's agent.
pub fn agent_address(number: u32) -> String {
    format!("10.0.{}.{}:4789", number >> 8, number & 0xff)
}

/// A service at 192.0.2.1:80 with the given upstreams, all serving.
pub fn service(name: &str, numbers: &[u32]) -> Service {
    let document = document(name, 1, numbers, &[]);
    Service::clone(&document.services[0])
}

/// A document with one service; its upstreams in `draining` accept no new flows.
pub fn document(name: &str, generation: u64, numbers: &[u32], draining: &[u32]) -> Arc<Document> {
    let upstreams = numbers.iter().map(|number| wire::Upstream {
        number: *number,
        name: format!("{name}-{number}"),
        data_centre: "one".to_owned(),
        slots: 2,
        connections: 1_000,
    });
    let facts = numbers.iter().map(|number| wire::UpstreamFact {
        service: name.to_owned(),
        number: *number,
        agent: agent_address(*number),
        endpoint: agent_address(*number),
        state: if draining.contains(number) {
            "draining"
        } else {
            "serving"
        }
        .to_owned(),
    });
    let document = wire::Document {
        environment: "test".to_owned(),
        generation,
        data_centres: vec!["one".to_owned()],
        members: Vec::new(),
        services: vec![wire::Service {
            name: name.to_owned(),
            listeners: vec![wire::Listener {
                port: 80,
                protocol: "tcp".to_owned(),
                mode: "flow".to_owned(),
            }],
            classes: Vec::new(),
            limits: Vec::new(),
            upstreams: upstreams.collect(),
        }],
        facts: Some(wire::Facts {
            addresses: vec![wire::ServiceAddress {
                service: name.to_owned(),
                address: "192.0.2.1".to_owned(),
            }],
            upstreams: facts.collect(),
        }),
    };
    Arc::new(Document::try_from(document).expect("a valid document"))
}
