//! Validation of one service.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::check::{check_unique_name, parse_number};
use super::{
    Limit, Listener, ListenerMode, Member, Resource, Service, Upstream, UpstreamState, WorkClass,
};
use crate::{Name, ServiceId, ValidationErrors, wire};

/// Environment-specific values of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceFacts {
    addresses: Vec<IpAddr>,
    address_count: usize,
    /// Facts by upstream number; `None` if they are invalid.
    upstreams: HashMap<u32, Option<UpstreamFact>>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamFact {
    agent: SocketAddr,
    endpoint: SocketAddr,
    state: UpstreamState,
}

impl ServiceFacts {
    /// Groups the facts by service name.
    pub(super) fn group_by_service<'a>(
        facts: &'a wire::document::Facts,
        errors: &mut ValidationErrors,
    ) -> HashMap<&'a str, Self> {
        let mut grouped: HashMap<&str, Self> = HashMap::new();
        for (i, fact) in facts.addresses.iter().enumerate() {
            let parsed = parse_ip(&fact.address);
            let address = errors.ok_or_record(format!("facts.addresses[{i}].address"), parsed);
            let service = grouped.entry(&fact.service).or_default();
            service.addresses.extend(address);
            service.address_count += 1;
        }
        for (i, fact) in facts.upstreams.iter().enumerate() {
            let path = format!("facts.upstreams[{i}]");
            let checked = check_upstream_fact(fact, &path, errors);
            let service = grouped.entry(&fact.service).or_default();
            let previous = service.upstreams.insert(fact.number, checked);
            let reason = format!("upstream {} is given twice", fact.number);
            errors.require(previous.is_none(), format!("{path}.number"), reason);
        }
        grouped
    }
}

fn check_upstream_fact(
    fact: &wire::document::UpstreamFact,
    path: &str,
    errors: &mut ValidationErrors,
) -> Option<UpstreamFact> {
    let agent = errors.ok_or_record(format!("{path}.agent"), parse_socket(&fact.agent));
    let endpoint = errors.ok_or_record(format!("{path}.endpoint"), parse_socket(&fact.endpoint));
    let state = errors.ok_or_record(format!("{path}.state"), parse_state(&fact.state));
    Some(UpstreamFact {
        agent: agent?,
        endpoint: endpoint?,
        state: state?,
    })
}

/// Validates one service; the result is complete only if no error was recorded.
pub(super) fn check_service(
    service: &wire::document::Service,
    facts: &ServiceFacts,
    data_centres: &[Name],
    members: &[Member],
    path: &str,
    errors: &mut ValidationErrors,
) -> Service {
    errors.require(
        !service.name.is_empty(),
        format!("{path}.name"),
        "must be named",
    );
    let has_address = facts.address_count > 0;
    let reason = format!("no address for service `{}`", service.name);
    errors.require(has_address, "facts.addresses", reason);
    let listeners = check_listeners(service, path, errors);
    let classes = check_classes(service, path, errors);
    let limits = check_limits(service, members, path, errors);
    let upstreams = check_upstreams(service, facts, data_centres, path, errors);
    Service {
        id: ServiceId::of(&service.name),
        name: service.name.as_str().into(),
        addresses: facts.addresses.clone(),
        listeners,
        classes,
        limits,
        upstreams,
    }
}

fn check_listeners(
    service: &wire::document::Service,
    path: &str,
    errors: &mut ValidationErrors,
) -> Vec<Listener> {
    let has_listeners = !service.listeners.is_empty();
    errors.require(
        has_listeners,
        format!("{path}.listeners"),
        "must not be empty",
    );
    let mut ports = HashSet::new();
    let mut listeners = Vec::with_capacity(service.listeners.len());
    for (i, listener) in service.listeners.iter().enumerate() {
        let path = format!("{path}.listeners[{i}]");
        let port = errors.ok_or_record(format!("{path}.port"), parse_port(listener.port));
        let is_unique = ports.insert(listener.port);
        let reason = format!("{} is given twice", listener.port);
        errors.require(is_unique, format!("{path}.port"), reason);
        let is_tcp = listener.protocol == "tcp";
        errors.require(is_tcp, format!("{path}.protocol"), "must be `tcp`");
        let mode = errors.ok_or_record(format!("{path}.mode"), parse_mode(&listener.mode));
        listeners.extend(port.zip(mode).map(|(port, mode)| Listener { port, mode }));
    }
    listeners
}

fn check_classes(
    service: &wire::document::Service,
    path: &str,
    errors: &mut ValidationErrors,
) -> Vec<WorkClass> {
    let has_requests = service.listeners.iter().any(|l| l.mode == "request");
    let lacks_class = has_requests && service.classes.is_empty();
    let reason = "a service with a `request` listener needs a class";
    errors.require(!lacks_class, format!("{path}.classes"), reason);
    let mut names = HashSet::new();
    let mut prefixes = HashSet::new();
    let mut classes = Vec::with_capacity(service.classes.len());
    for (i, class) in service.classes.iter().enumerate() {
        let path = format!("{path}.classes[{i}]");
        check_unique_name(&class.name, &mut names, &format!("{path}.name"), errors);
        let is_absolute = class.path_prefix.starts_with('/');
        errors.require(
            is_absolute,
            format!("{path}.path_prefix"),
            "must start with `/`",
        );
        let is_unique = prefixes.insert(class.path_prefix.as_str());
        let reason = format!("`{}` is given twice", class.path_prefix);
        errors.require(is_unique, format!("{path}.path_prefix"), reason);
        let has_deadline = class.deadline_ms >= 1;
        errors.require(
            has_deadline,
            format!("{path}.deadline_ms"),
            "must be at least 1",
        );
        classes.push(WorkClass {
            name: class.name.as_str().into(),
            path_prefix: class.path_prefix.as_str().into(),
            long: class.long,
            idempotent: class.idempotent,
            deadline: Duration::from_millis(class.deadline_ms),
        });
    }
    classes
}

fn check_limits(
    service: &wire::document::Service,
    members: &[Member],
    path: &str,
    errors: &mut ValidationErrors,
) -> Vec<Limit> {
    let mut seen = HashSet::new();
    let mut limits = Vec::with_capacity(service.limits.len());
    for (i, limit) in service.limits.iter().enumerate() {
        let path = format!("{path}.limits[{i}]");
        let member_exists = members.iter().any(|m| m.name.as_str() == limit.member);
        let reason = format!("no member `{}`", limit.member);
        errors.require(member_exists, format!("{path}.member"), reason);
        check_limit_class(service, limit, &path, errors);
        let is_unique = seen.insert((&limit.member, &limit.class, &limit.resource));
        errors.require(is_unique, path.as_str(), "the same limit is given twice");
        let resource =
            errors.ok_or_record(format!("{path}.resource"), parse_resource(&limit.resource));
        limits.extend(resource.map(|resource| Limit {
            member: limit.member.as_str().into(),
            class: (!limit.class.is_empty()).then(|| limit.class.as_str().into()),
            resource,
            amount: limit.amount,
        }));
    }
    limits
}

fn check_limit_class(
    service: &wire::document::Service,
    limit: &wire::document::Limit,
    path: &str,
    errors: &mut ValidationErrors,
) {
    let path = format!("{path}.class");
    if limit.resource == "open_flows" {
        let reason = "a limit on open flows has no class";
        errors.require(limit.class.is_empty(), path, reason);
        return;
    }
    let class_exists = service.classes.iter().any(|c| c.name == limit.class);
    errors.require(class_exists, path, format!("no class `{}`", limit.class));
}

fn check_upstreams(
    service: &wire::document::Service,
    facts: &ServiceFacts,
    data_centres: &[Name],
    path: &str,
    errors: &mut ValidationErrors,
) -> Vec<Upstream> {
    let has_upstreams = !service.upstreams.is_empty();
    errors.require(
        has_upstreams,
        format!("{path}.upstreams"),
        "must not be empty",
    );
    let mut names = HashSet::new();
    let mut numbers = HashSet::new();
    let mut upstreams = Vec::with_capacity(service.upstreams.len());
    for (i, upstream) in service.upstreams.iter().enumerate() {
        let path = format!("{path}.upstreams[{i}]");
        check_unique_name(&upstream.name, &mut names, &format!("{path}.name"), errors);
        let is_unique = numbers.insert(upstream.number);
        let reason = format!("{} is given twice", upstream.number);
        errors.require(is_unique, format!("{path}.number"), reason);
        let data_centre_exists = data_centres
            .iter()
            .any(|d| d.as_str() == upstream.data_centre);
        let reason = format!("no data centre `{}`", upstream.data_centre);
        errors.require(data_centre_exists, format!("{path}.data_centre"), reason);
        let reason = "must be at least 1";
        errors.require(upstream.slots >= 1, format!("{path}.slots"), reason);
        errors.require(
            upstream.connections >= 1,
            format!("{path}.connections"),
            reason,
        );
        upstreams.extend(check_upstream(upstream, facts, &path, errors));
    }
    upstreams.sort_by_key(|u| u.number);
    upstreams
}

fn check_upstream(
    upstream: &wire::document::Upstream,
    facts: &ServiceFacts,
    path: &str,
    errors: &mut ValidationErrors,
) -> Option<Upstream> {
    let number = errors.ok_or_record(format!("{path}.number"), parse_number(upstream.number));
    let fact = facts.upstreams.get(&upstream.number);
    let reason = "facts.upstreams gives no agent and endpoint for it";
    errors.require(fact.is_some(), path, reason);
    let fact = fact.copied().flatten()?;
    Some(Upstream {
        number: number?,
        name: upstream.name.as_str().into(),
        data_centre: upstream.data_centre.as_str().into(),
        slots: upstream.slots,
        connections: upstream.connections,
        agent: fact.agent,
        endpoint: fact.endpoint,
        state: fact.state,
    })
}

fn parse_ip(text: &str) -> Result<IpAddr, String> {
    text.parse()
        .map_err(|_e| format!("`{text}` is not an IP address"))
}

fn parse_socket(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_e| format!("`{text}` is not `ip:port`"))
}

fn parse_port(port: u32) -> Result<u16, String> {
    match u16::try_from(port) {
        Ok(port) if port > 0 => Ok(port),
        _ => Err("must be 1 to 65535".to_owned()),
    }
}

fn parse_mode(text: &str) -> Result<ListenerMode, String> {
    match text {
        "flow" => Ok(ListenerMode::Flow),
        "request" => Ok(ListenerMode::Request),
        _ => Err("must be `flow` or `request`".to_owned()),
    }
}

fn parse_state(text: &str) -> Result<UpstreamState, String> {
    match text {
        "" | "serving" => Ok(UpstreamState::Serving),
        "draining" => Ok(UpstreamState::Draining),
        _ => Err("must be `serving` or `draining`".to_owned()),
    }
}

fn parse_resource(text: &str) -> Result<Resource, String> {
    match text {
        "concurrent_requests" => Ok(Resource::ConcurrentRequests),
        "open_flows" => Ok(Resource::OpenFlows),
        "requests_per_second" => Ok(Resource::RequestsPerSecond),
        _ => Err("must be `concurrent_requests`, `open_flows` or `requests_per_second`".to_owned()),
    }
}
