//! Documents in the proportions of the planned size: 80,000 upstreams behind 46,000 addresses.

use std::sync::Arc;

use anyhow::Result;
use plantainquay_schema::Document;
use plantainquay_schema::wire::document as wire;

/// Number of services in every 46 with a single upstream; the others have three.
const SINGLE_UPSTREAM_OF_46: u32 = 29;

/// Returns a document with `services` services; `drain_one` gives the next generation, in which
/// one upstream drains.
pub(crate) fn document(services: u32, drain_one: bool) -> Result<Arc<Document>> {
    let mut wire = wire::Document {
        environment: "plan".to_owned(),
        generation: 1 + u64::from(drain_one),
        data_centres: vec!["one".to_owned()],
        ..wire::Document::default()
    };
    let mut facts = wire::Facts::default();
    for index in 0..services {
        let upstreams = if index % 46 < SINGLE_UPSTREAM_OF_46 {
            1
        } else {
            3
        };
        wire.services.push(service(index, upstreams));
        add_facts(index, upstreams, drain_one && index == 45, &mut facts);
    }
    wire.facts = Some(facts);
    Ok(Arc::new(Document::try_from(wire)?))
}

fn service(index: u32, upstreams: u32) -> wire::Service {
    let wire_upstreams = (1..=upstreams).map(|number| wire::Upstream {
        number,
        name: format!("service-{index}-{number}"),
        data_centre: "one".to_owned(),
        slots: 2,
        connections: 2_500,
    });
    wire::Service {
        name: format!("service-{index}"),
        listeners: vec![wire::Listener {
            port: 80,
            protocol: "tcp".to_owned(),
            mode: "flow".to_owned(),
        }],
        upstreams: wire_upstreams.collect(),
        ..wire::Service::default()
    }
}

fn add_facts(index: u32, upstreams: u32, drain_first: bool, facts: &mut wire::Facts) {
    let [_, a, b, c] = index.to_be_bytes();
    facts.addresses.push(wire::ServiceAddress {
        service: format!("service-{index}"),
        address: format!("10.{a}.{b}.{c}"),
    });
    for number in 1..=upstreams {
        let agent = format!("11.{number}.{b}.{c}:4789");
        facts.upstreams.push(wire::UpstreamFact {
            service: format!("service-{index}"),
            number,
            endpoint: agent.clone(),
            agent,
            state: if drain_first && number == 1 {
                "draining"
            } else {
                ""
            }
            .to_owned(),
        });
    }
}
