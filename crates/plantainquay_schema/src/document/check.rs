//! Validation of a whole document.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;

use super::check_service::{ServiceFacts, check_service};
use super::{Digest, Document, Member};
use crate::{Generation, Name, ServiceId, UpstreamNumber, ValidationErrors, wire};

/// Maximum number of services in a document.
const MAX_SERVICES: usize = 65_536;

impl TryFrom<wire::document::Document> for Document {
    type Error = ValidationErrors;

    fn try_from(wire: wire::document::Document) -> Result<Self, ValidationErrors> {
        let mut errors = ValidationErrors::default();
        check_top_level(&wire, &mut errors);
        let data_centres = check_data_centres(&wire, &mut errors);
        let members = check_members(&wire, &mut errors);
        let facts = wire.facts.clone().unwrap_or_default();
        check_fact_references(&wire, &facts, &mut errors);
        let service_facts = ServiceFacts::group_by_service(&facts, &mut errors);
        let empty = ServiceFacts::default();
        let mut services = Vec::with_capacity(wire.services.len());
        for (i, service) in wire.services.iter().enumerate() {
            let facts = service_facts.get(service.name.as_str()).unwrap_or(&empty);
            let path = format!("services[{i}]");
            let members = members.as_slice();
            let checked = check_service(service, facts, &data_centres, members, &path, &mut errors);
            services.push(Arc::new(checked));
        }
        check_service_ids(&wire, &mut errors);
        errors.into_result()?;
        Ok(Self {
            environment: Name::from(wire.environment.as_str()),
            generation: Generation(wire.generation),
            data_centres,
            members,
            services,
            digest: Digest::of(&wire),
            wire: Arc::new(wire),
        })
    }
}

fn check_top_level(wire: &wire::document::Document, errors: &mut ValidationErrors) {
    errors.require(!wire.environment.is_empty(), "environment", "must be named");
    errors.require(wire.generation >= 1, "generation", "must be at least 1");
    errors.require(!wire.services.is_empty(), "services", "must not be empty");
    let within_limit = wire.services.len() <= MAX_SERVICES;
    errors.require(
        within_limit,
        "services",
        format!("must be at most {MAX_SERVICES}"),
    );
}

fn check_data_centres(wire: &wire::document::Document, errors: &mut ValidationErrors) -> Vec<Name> {
    let mut seen = HashSet::new();
    for (i, name) in wire.data_centres.iter().enumerate() {
        check_unique_name(name, &mut seen, &format!("data_centres[{i}]"), errors);
    }
    wire.data_centres
        .iter()
        .map(|n| n.as_str().into())
        .collect()
}

fn check_members(wire: &wire::document::Document, errors: &mut ValidationErrors) -> Vec<Member> {
    let mut seen = HashSet::new();
    let mut members = Vec::with_capacity(wire.members.len());
    for (i, member) in wire.members.iter().enumerate() {
        let path = format!("members[{i}]");
        check_unique_name(&member.name, &mut seen, &format!("{path}.name"), errors);
        let mut sources = Vec::with_capacity(member.sources.len());
        for (j, source) in member.sources.iter().enumerate() {
            let parsed = parse_prefix(source);
            sources.extend(errors.ok_or_record(format!("{path}.sources[{j}]"), parsed));
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

/// Records an error if `name` is empty or already in `seen`.
pub(super) fn check_unique_name<'a>(
    name: &'a str,
    seen: &mut HashSet<&'a str>,
    path: &str,
    errors: &mut ValidationErrors,
) {
    errors.require(!name.is_empty(), path, "must be named");
    let is_unique = name.is_empty() || seen.insert(name);
    errors.require(is_unique, path, format!("`{name}` is named twice"));
}

/// Rejects services with equal identifiers: the hash of the name identifies a service in messages.
fn check_service_ids(wire: &wire::document::Document, errors: &mut ValidationErrors) {
    let mut seen: HashMap<ServiceId, &str> = HashMap::new();
    for (i, service) in wire.services.iter().enumerate() {
        let path = format!("services[{i}].name");
        match seen.insert(ServiceId::of(&service.name), &service.name) {
            Some(name) if name == service.name => {
                errors.add(path, format!("`{name}` is named twice"));
            }
            Some(name) => errors.add(
                path,
                format!("its identifier collides with that of `{name}`"),
            ),
            None => {}
        }
    }
}

fn check_fact_references(
    wire: &wire::document::Document,
    facts: &wire::document::Facts,
    errors: &mut ValidationErrors,
) {
    let mut numbers: HashMap<&str, HashSet<u32>> = HashMap::new();
    for service in &wire.services {
        let service_numbers = service.upstreams.iter().map(|u| u.number).collect();
        numbers.insert(&service.name, service_numbers);
    }
    for (i, fact) in facts.addresses.iter().enumerate() {
        let exists = numbers.contains_key(fact.service.as_str());
        let path = format!("facts.addresses[{i}].service");
        errors.require(exists, path, format!("no service `{}`", fact.service));
    }
    for (i, fact) in facts.upstreams.iter().enumerate() {
        let path = format!("facts.upstreams[{i}]");
        match numbers.get(fact.service.as_str()) {
            None => errors.add(
                format!("{path}.service"),
                format!("no service `{}`", fact.service),
            ),
            Some(service_numbers) if !service_numbers.contains(&fact.number) => errors.add(
                format!("{path}.number"),
                format!("service `{}` has no upstream {}", fact.service, fact.number),
            ),
            Some(_) => {}
        }
    }
    check_addresses_unique(facts, errors);
}

fn check_addresses_unique(facts: &wire::document::Facts, errors: &mut ValidationErrors) {
    let mut services: HashMap<IpAddr, &str> = HashMap::new();
    for (i, fact) in facts.addresses.iter().enumerate() {
        let Ok(address) = fact.address.parse() else {
            continue;
        };
        if let Some(service) = services.insert(address, &fact.service) {
            let reason = format!("{address} belongs to service `{service}` already");
            errors.add(format!("facts.addresses[{i}].address"), reason);
        }
    }
}

/// Parses an upstream number.
pub(super) fn parse_number(number: u32) -> Result<UpstreamNumber, String> {
    UpstreamNumber::new(number).ok_or_else(|| format!("must be 1 to {}", UpstreamNumber::MAX))
}
