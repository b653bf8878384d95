//! Checks of a whole document.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;

use super::check_service::{ServiceFacts, check_service};
use super::{Digest, Document, Member};
use crate::{Generation, Name, ServiceId, UpstreamNumber, ValidationErrors, wire};

/// Most services that one document may name.
const MAX_SERVICES: usize = 65_536;

impl TryFrom<wire::document::Document> for Document {
    type Error = ValidationErrors;

    fn try_from(wire: wire::document::Document) -> Result<Self, ValidationErrors> {
        let mut faults = ValidationErrors::default();
        check_head(&wire, &mut faults);
        let data_centres = check_data_centres(&wire, &mut faults);
        let members = check_members(&wire, &mut faults);
        let facts = wire.facts.clone().unwrap_or_default();
        check_facts_refer_to_services(&wire, &facts, &mut faults);
        let service_facts = ServiceFacts::by_service(&facts, &mut faults);
        let empty = ServiceFacts::default();
        let mut services = Vec::with_capacity(wire.services.len());
        for (i, service) in wire.services.iter().enumerate() {
            let facts = service_facts.get(service.name.as_str()).unwrap_or(&empty);
            let path = format!("services[{i}]");
            let members = members.as_slice();
            let checked = check_service(service, facts, &data_centres, members, &path, &mut faults);
            services.push(Arc::new(checked));
        }
        check_ids(&wire, &mut faults);
        faults.into_result()?;
        Ok(Self {
            environment: Name::from(wire.environment.as_str()),
            generation: Generation(wire.generation),
            data_centres,
            members,
            services,
            digest: Digest::of(&wire),
            source: Arc::new(wire),
        })
    }
}

fn check_head(wire: &wire::document::Document, faults: &mut ValidationErrors) {
    faults.require(!wire.environment.is_empty(), "environment", "must be named");
    faults.require(wire.generation >= 1, "generation", "must be at least 1");
    faults.require(!wire.services.is_empty(), "services", "must not be empty");
    let few = wire.services.len() <= MAX_SERVICES;
    faults.require(few, "services", format!("must be at most {MAX_SERVICES}"));
}

fn check_data_centres(wire: &wire::document::Document, faults: &mut ValidationErrors) -> Vec<Name> {
    let mut seen = HashSet::new();
    for (i, name) in wire.data_centres.iter().enumerate() {
        check_unique_name(name, &mut seen, &format!("data_centres[{i}]"), faults);
    }
    wire.data_centres
        .iter()
        .map(|n| n.as_str().into())
        .collect()
}

fn check_members(wire: &wire::document::Document, faults: &mut ValidationErrors) -> Vec<Member> {
    let mut seen = HashSet::new();
    let mut members = Vec::with_capacity(wire.members.len());
    for (i, member) in wire.members.iter().enumerate() {
        let path = format!("members[{i}]");
        check_unique_name(&member.name, &mut seen, &format!("{path}.name"), faults);
        let mut sources = Vec::with_capacity(member.sources.len());
        for (j, source) in member.sources.iter().enumerate() {
            let parsed = parse_prefix(source);
            sources.extend(faults.ok_or_record(format!("{path}.sources[{j}]"), parsed));
        }
        members.push(Member {
            name: member.name.as_str().into(),
            sources,
        });
    }
    members
}

fn parse_prefix(text: &str) -> Result<IpNet, String> {
    text.parse()
        .map_err(|_e| format!("`{text}` is not an address prefix such as 10.1.0.0/16"))
}

/// ValidationErrors when `name` is empty or was seen before.
pub(super) fn check_unique_name<'a>(
    name: &'a str,
    seen: &mut HashSet<&'a str>,
    path: &str,
    faults: &mut ValidationErrors,
) {
    faults.require(!name.is_empty(), path, "must be named");
    let fresh = name.is_empty() || seen.insert(name);
    faults.require(fresh, path, format!("`{name}` is named twice"));
}

/// Two services whose names hash alike can't be told apart in messages.
fn check_ids(wire: &wire::document::Document, faults: &mut ValidationErrors) {
    let mut seen: HashMap<ServiceId, &str> = HashMap::new();
    for (i, service) in wire.services.iter().enumerate() {
        let path = format!("services[{i}].name");
        match seen.insert(ServiceId::of(&service.name), &service.name) {
            Some(name) if name == service.name => {
                faults.add(path, format!("`{name}` is named twice"));
            }
            Some(name) => faults.add(path, format!("its identifier is that of `{name}`")),
            None => {}
        }
    }
}

fn check_facts_refer_to_services(
    wire: &wire::document::Document,
    facts: &wire::document::Facts,
    faults: &mut ValidationErrors,
) {
    let mut numbers: HashMap<&str, HashSet<u32>> = HashMap::new();
    for service in &wire.services {
        let of_service = service.upstreams.iter().map(|u| u.number).collect();
        numbers.insert(&service.name, of_service);
    }
    for (i, fact) in facts.addresses.iter().enumerate() {
        let known = numbers.contains_key(fact.service.as_str());
        let path = format!("facts.addresses[{i}].service");
        faults.require(known, path, format!("no service `{}`", fact.service));
    }
    for (i, fact) in facts.upstreams.iter().enumerate() {
        let path = format!("facts.upstreams[{i}]");
        match numbers.get(fact.service.as_str()) {
            None => faults.add(
                format!("{path}.service"),
                format!("no service `{}`", fact.service),
            ),
            Some(known) if !known.contains(&fact.number) => faults.add(
                format!("{path}.number"),
                format!("service `{}` has no upstream {}", fact.service, fact.number),
            ),
            Some(_) => {}
        }
    }
    check_addresses_unique(facts, faults);
}

fn check_addresses_unique(facts: &wire::document::Facts, faults: &mut ValidationErrors) {
    let mut owners: HashMap<IpAddr, &str> = HashMap::new();
    for (i, fact) in facts.addresses.iter().enumerate() {
        let Ok(address) = fact.address.parse() else {
            continue;
        };
        if let Some(owner) = owners.insert(address, &fact.service) {
            let reason = format!("{address} belongs to service `{owner}` already");
            faults.add(format!("facts.addresses[{i}].address"), reason);
        }
    }
}

/// The upstream number in `number`, or what is wrong with it.
pub(super) fn parse_number(number: u32) -> Result<UpstreamNumber, String> {
    UpstreamNumber::new(number).ok_or_else(|| format!("must be 1 to {}", UpstreamNumber::MAX))
}
