//! Checks of settings.

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
        ValidationErrors::collect(|faults| check(&wire, faults))
    }
}

fn check(wire: &wire::settings::Settings, faults: &mut ValidationErrors) -> Option<Settings> {
    let role = check_role(wire, faults);
    let instance = check_name("instance", &wire.instance, faults);
    let data_centre = check_name("data_centre", &wire.data_centre, faults);
    let tunnel = check_address("tunnel", &wire.tunnel, faults);
    let http = check_address("http", &wire.http, faults);
    let fabric = check_address("fabric", &wire.fabric, faults);
    let platform = check_platform(&wire.platform.clone().unwrap_or_default(), faults);
    let keys = check_keys(&wire.keys, faults);
    let threads = check_count(
        "threads",
        wire.threads,
        DEFAULT_THREADS,
        MAX_THREADS,
        faults,
    );
    let shards = check_count("shards", wire.shards, DEFAULT_SHARDS, MAX_SHARDS, faults);
    let log_level = check_log_level(&wire.log_level, faults);
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
        drain: Duration::from_millis(default_to(wire.drain_ms, DEFAULT_DRAIN_MS)),
        log_level: log_level.into(),
    })
}

fn check_role(wire: &wire::settings::Settings, faults: &mut ValidationErrors) -> Option<Role> {
    match (wire.role.as_str(), &wire.agent) {
        ("balancer", None) => Some(Role::Balancer),
        ("balancer", Some(_)) => {
            faults.add("agent", "a balancer has no agent settings");
            None
        }
        ("agent", Some(agent)) => check_agent(agent, faults).map(Role::Agent),
        ("agent", None) => {
            faults.add("agent", "an agent needs a service and an upstream");
            None
        }
        _ => {
            faults.add("role", "must be `balancer` or `agent`");
            None
        }
    }
}

fn check_agent(
    wire: &wire::settings::AgentSettings,
    faults: &mut ValidationErrors,
) -> Option<AgentSettings> {
    let service = check_name("agent.service", &wire.service, faults);
    let upstream = UpstreamNumber::new(wire.upstream);
    let reason = format!("must be 1 to {}", UpstreamNumber::MAX);
    faults.require(upstream.is_some(), "agent.upstream", reason);
    Some(AgentSettings {
        service,
        upstream: upstream?,
        max_half_open: default_to(wire.max_half_open, DEFAULT_MAX_HALF_OPEN) as usize,
        max_redirects: default_to(wire.max_redirects, DEFAULT_MAX_REDIRECTS) as usize,
        max_queue: default_to(wire.max_queue, DEFAULT_MAX_QUEUE) as usize,
    })
}

fn check_platform(
    wire: &wire::settings::Platform,
    faults: &mut ValidationErrors,
) -> Option<Platform> {
    let configuration = check_address("platform.configuration", &wire.configuration, faults);
    let instances = check_address("platform.instances", &wire.instances, faults);
    Some(Platform {
        configuration: configuration?,
        instances: instances?,
        poll: Duration::from_millis(default_to(wire.poll_ms, DEFAULT_POLL_MS)),
    })
}

fn check_keys(wire: &[wire::settings::Key], faults: &mut ValidationErrors) -> Vec<Key> {
    let counted = (1..=MAX_KEYS).contains(&wire.len());
    faults.require(counted, "keys", format!("must be 1 to {MAX_KEYS} keys"));
    let mut ids = HashSet::new();
    let mut keys = Vec::with_capacity(wire.len());
    for (i, key) in wire.iter().enumerate() {
        let id = u8::try_from(key.id).map_err(|_e| "must be 0 to 255".to_owned());
        let id = faults.ok_or_record(format!("keys[{i}].id"), id);
        let fresh = ids.insert(key.id);
        faults.require(fresh, format!("keys[{i}].id"), "is given twice");
        let secret = faults.ok_or_record(format!("keys[{i}].secret"), parse_secret(&key.secret));
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
    faults: &mut ValidationErrors,
) -> Option<SocketAddr> {
    let parsed = text
        .parse()
        .map_err(|_e| format!("`{text}` is not `ip:port`"));
    faults.ok_or_record(path, parsed)
}

fn check_count(
    path: &str,
    given: u32,
    default: u32,
    max: u32,
    faults: &mut ValidationErrors,
) -> usize {
    let count = default_to(given, default);
    faults.require(count <= max, path, format!("must be at most {max}"));
    count as usize
}

pub(crate) fn check_name(path: &str, name: &str, faults: &mut ValidationErrors) -> Name {
    faults.require(!name.is_empty(), path, "must be named");
    name.into()
}

pub(crate) fn check_log_level(level: &str, faults: &mut ValidationErrors) -> &'static str {
    if level.is_empty() {
        return "info";
    }
    let known = LOG_LEVELS.into_iter().find(|known| *known == level);
    let reason = format!("must be one of {}", LOG_LEVELS.join(", "));
    faults.require(known.is_some(), "log_level", reason);
    known.unwrap_or("info")
}

pub(crate) fn default_to<T: Default + PartialEq>(given: T, default: T) -> T {
    if given == T::default() {
        default
    } else {
        given
    }
}

fn parse_secret(text: &str) -> Result<[u8; 16], String> {
    let wrong = || "must be 32 hexadecimal digits".to_owned();
    if text.len() != 32 || !text.is_ascii() {
        return Err(wrong());
    }
    let mut secret = [0; 16];
    for (i, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_e| wrong())?;
    }
    Ok(secret)
}
