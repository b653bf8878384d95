//! Validation of settings.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::{AgentSettings, Key, KeyId, Platform, Role, Settings};
use crate::{Name, UpstreamNumber, ValidationErrors, wire};

const DEFAULT_THREADS: u32 = 2;
const DEFAULT_SHARDS: u32 = 16;
const DEFAULT_POLL_MS: u64 = 30_000;
const DEFAULT_DRAIN_MS: u64 = 30_000;
const DEFAULT_MAX_HALF_OPEN: u32 = 1_024;
const DEFAULT_MAX_REDIRECTS: u32 = 65_536;
const DEFAULT_MAX_QUEUE: u32 = 256;
const MAX_KEYS: usize = 2;
const MAX_THREADS: u32 = 64;
const MAX_SHARDS: u32 = 1_024;
const LOG_LEVELS: [&str; 5] = ["off", "error", "warn", "info", "debug"];

impl TryFrom<wire::settings::Settings> for Settings {
    type Error = ValidationErrors;

    fn try_from(wire: wire::settings::Settings) -> Result<Self, ValidationErrors> {
        ValidationErrors::collect(|errors| check(&wire, errors))
    }
}

fn check(wire: &wire::settings::Settings, errors: &mut ValidationErrors) -> Option<Settings> {
    let role = check_role(wire, errors);
    let instance = check_name("instance", &wire.instance, errors);
    let data_centre = check_name("data_centre", &wire.data_centre, errors);
    let tunnel = check_address("tunnel", &wire.tunnel, errors);
    let http = check_address("http", &wire.http, errors);
    let fabric = check_address("fabric", &wire.fabric, errors);
    let platform = check_platform(&wire.platform.clone().unwrap_or_default(), errors);
    let keys = check_keys(&wire.keys, errors);
    let threads = check_count(
        "threads",
        wire.threads,
        DEFAULT_THREADS,
        MAX_THREADS,
        errors,
    );
    let shards = check_count("shards", wire.shards, DEFAULT_SHARDS, MAX_SHARDS, errors);
    let log_level = check_log_level(&wire.log_level, errors);
    Some(Settings {
        role: role?,
        instance,
        data_centre,
        tunnel: tunnel?,
        http: http?,
        fabric: fabric?,
        platform: platform?,
        keys,
        threads,
        shards,
        drain: Duration::from_millis(value_or_default(wire.drain_ms, DEFAULT_DRAIN_MS)),
        log_level: log_level.into(),
    })
}

fn check_role(wire: &wire::settings::Settings, errors: &mut ValidationErrors) -> Option<Role> {
    match (wire.role.as_str(), &wire.agent) {
        ("balancer", None) => Some(Role::Balancer),
        ("balancer", Some(_)) => {
            errors.add("agent", "a balancer has no agent settings");
            None
        }
        ("agent", Some(agent)) => check_agent(agent, errors).map(Role::Agent),
        ("agent", None) => {
            errors.add("agent", "an agent needs a service and an upstream");
            None
        }
        _ => {
            errors.add("role", "must be `balancer` or `agent`");
            None
        }
    }
}

fn check_agent(
    wire: &wire::settings::AgentSettings,
    errors: &mut ValidationErrors,
) -> Option<AgentSettings> {
    let service = check_name("agent.service", &wire.service, errors);
    let upstream = UpstreamNumber::new(wire.upstream);
    let reason = format!("must be 1 to {}", UpstreamNumber::MAX);
    errors.require(upstream.is_some(), "agent.upstream", reason);
    Some(AgentSettings {
        service,
        upstream: upstream?,
        max_half_open: value_or_default(wire.max_half_open, DEFAULT_MAX_HALF_OPEN) as usize,
        max_redirects: value_or_default(wire.max_redirects, DEFAULT_MAX_REDIRECTS) as usize,
        max_queue: value_or_default(wire.max_queue, DEFAULT_MAX_QUEUE) as usize,
    })
}

fn check_platform(
    wire: &wire::settings::Platform,
    errors: &mut ValidationErrors,
) -> Option<Platform> {
    let configuration = check_address("platform.configuration", &wire.configuration, errors);
    let instances = check_address("platform.instances", &wire.instances, errors);
    Some(Platform {
        configuration: configuration?,
        instances: instances?,
        poll: Duration::from_millis(value_or_default(wire.poll_ms, DEFAULT_POLL_MS)),
    })
}

fn check_keys(wire: &[wire::settings::Key], errors: &mut ValidationErrors) -> Vec<Key> {
    let count_is_valid = (1..=MAX_KEYS).contains(&wire.len());
    errors.require(
        count_is_valid,
        "keys",
        format!("must be 1 to {MAX_KEYS} keys"),
    );
    let mut ids = HashSet::new();
    let mut keys = Vec::with_capacity(wire.len());
    for (i, key) in wire.iter().enumerate() {
        let id = u8::try_from(key.id).map_err(|_e| "must be 0 to 255".to_owned());
        let id = errors.ok_or_record(format!("keys[{i}].id"), id);
        let is_unique = ids.insert(key.id);
        errors.require(is_unique, format!("keys[{i}].id"), "is given twice");
        let secret = errors.ok_or_record(format!("keys[{i}].secret"), parse_secret(&key.secret));
        keys.extend(id.zip(secret).map(|(id, secret)| Key {
            id: KeyId(id),
            secret,
        }));
    }
    keys
}

pub(crate) fn check_address(
    path: &str,
    text: &str,
    errors: &mut ValidationErrors,
) -> Option<SocketAddr> {
    let parsed = text
        .parse()
        .map_err(|_e| format!("`{text}` is not `ip:port`"));
    errors.ok_or_record(path, parsed)
}

fn check_count(
    path: &str,
    value: u32,
    default: u32,
    max: u32,
    errors: &mut ValidationErrors,
) -> usize {
    let count = value_or_default(value, default);
    errors.require(count <= max, path, format!("must be at most {max}"));
    count as usize
}

pub(crate) fn check_name(path: &str, name: &str, errors: &mut ValidationErrors) -> Name {
    errors.require(!name.is_empty(), path, "must be named");
    name.into()
}

pub(crate) fn check_log_level(level: &str, errors: &mut ValidationErrors) -> &'static str {
    if level.is_empty() {
        return "info";
    }
    let matching_level = LOG_LEVELS.into_iter().find(|candidate| *candidate == level);
    let reason = format!("must be one of {}", LOG_LEVELS.join(", "));
    errors.require(matching_level.is_some(), "log_level", reason);
    matching_level.unwrap_or("info")
}

fn value_or_default<T: Default + PartialEq>(value: T, default: T) -> T {
    if value == T::default() {
        default
    } else {
        value
    }
}

fn parse_secret(text: &str) -> Result<[u8; 16], String> {
    let invalid = || "must be 32 hexadecimal digits".to_owned();
    if text.len() != 32 || !text.is_ascii() {
        return Err(invalid());
    }
    let mut secret = [0; 16];
    for (i, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_e| invalid())?;
    }
    Ok(secret)
}
