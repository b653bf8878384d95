//! Settings of a relay daemon.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::settings::{check_address, check_log_level, check_name};
use crate::{Name, ServiceId, ValidationErrors, wire, yaml};

const DEFAULT_THREADS: f64 = 1.0;
const MAX_THREADS: usize = 8;
/// Largest accepted number of threads; at most [`MAX_THREADS`] are started.
const MAX_THREADS_SETTING: u32 = 65_536;
const DEFAULT_STOP_GRACE_S: f64 = 6.0;
const MAX_STOP_GRACE_S: u32 = u32::MAX;
const DEFAULT_FLOW_TTL_S: f64 = 60.0;
/// Longest time for which former services of routes are kept.
const MAX_FLOW_TTL_S: u32 = 24 * 60 * 60;

/// Validated settings of a relay daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Role of the daemon.
    pub role: RelayRole,
    /// Name of the instance.
    pub instance: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// UDP address on which a balancer receives packets; callers listen on the same port.
    pub packets: SocketAddr,
    /// TCP address of the readiness check.
    pub health: SocketAddr,
    /// UDP address for messages between processes; the port is the same on every instance.
    pub peer: SocketAddr,
    /// Advertised address, to which other processes send messages and by which they identify the
    /// daemon.
    pub own_address: SocketAddr,
    /// TCP address on which changes are served to other processes; the port is the same on every
    /// instance.
    pub changes: SocketAddr,
    /// TCP address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// TCP address of the store.
    pub store: SocketAddr,
    /// Threads for each packet socket.
    pub threads: usize,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Least severe log level that is written.
    pub log_level: Name,
    /// Time after which callers and upstreams give up a flow.
    pub flow_ttl: Duration,
    /// True if the whole system starts for the first time, so that no flow is older than the
    /// process.
    pub first_start: bool,
}

/// Role of a relay daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// Receives packets from callers.
    Balancer,
    /// Runs beside one upstream.
    Agent(RelayAgentSettings),
}

/// The upstream beside an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAgentSettings {
    /// Name of the upstream's service.
    pub service: Name,
    /// Identifier of the upstream's service.
    pub service_id: ServiceId,
    /// Address on which the upstream receives packets.
    pub upstream: SocketAddr,
    /// Address to which the upstream sends its packets.
    pub outbound: SocketAddr,
}

impl RelaySettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every validation error with its path.
    pub fn from_yaml(text: &str) -> Result<Self, ValidationErrors> {
        yaml::parse::<wire::relay_settings::RelaySettings>(text)?.try_into()
    }
}

impl TryFrom<wire::relay_settings::RelaySettings> for RelaySettings {
    type Error = ValidationErrors;

    fn try_from(wire: wire::relay_settings::RelaySettings) -> Result<Self, ValidationErrors> {
        ValidationErrors::collect(|errors| check(&wire, errors))
    }
}

fn check(
    wire: &wire::relay_settings::RelaySettings,
    errors: &mut ValidationErrors,
) -> Option<RelaySettings> {
    let role = check_role(wire, errors);
    let instance = check_name("instance", &wire.instance, errors);
    let data_centre = check_name("data_centre", &wire.data_centre, errors);
    let packets = check_address("packets", &wire.packets, errors);
    let health = check_address("health", &wire.health, errors);
    let store = check_address("store", &wire.store, errors);
    let peer_port = check_port("peer_port", wire.peer_port, errors);
    let metrics_port = check_port("metrics_port", wire.metrics_port, errors);
    let threads = wire.threads.unwrap_or(DEFAULT_THREADS);
    let threads = check_number("threads", threads, MAX_THREADS_SETTING, errors);
    let stop_grace_s = wire.stop_grace_s.unwrap_or(DEFAULT_STOP_GRACE_S);
    let stop_grace_s = check_number("stop_grace_s", stop_grace_s, MAX_STOP_GRACE_S, errors);
    let log_level = check_log_level(&wire.log_level, errors);
    let flow_ttl_s = wire.flow_ttl_s.unwrap_or(DEFAULT_FLOW_TTL_S);
    let flow_ttl_s = check_number("flow_ttl_s", flow_ttl_s, MAX_FLOW_TTL_S, errors);
    let packets = packets?;
    let advertised_ip = &wire.advertised_ip;
    let advertised_ip = check_ip("advertised_ip", advertised_ip, packets.ip(), errors);
    let with_port = |port| SocketAddr::new(packets.ip(), port);
    Some(RelaySettings {
        role: role?,
        instance,
        data_centre,
        packets,
        health: health?,
        peer: with_port(peer_port?),
        own_address: SocketAddr::new(advertised_ip?, peer_port?),
        changes: with_port(peer_port? + 1),
        metrics: with_port(metrics_port?),
        store: store?,
        threads: thread_count(threads?),
        stop_grace: Duration::from_secs_f64(stop_grace_s?),
        log_level: log_level.into(),
        flow_ttl: Duration::from_secs_f64(flow_ttl_s?),
        first_start: wire.first_start.unwrap_or(false),
    })
}

/// Returns the number if it is between zero and `max`.
fn check_number(path: &str, value: f64, max: u32, errors: &mut ValidationErrors) -> Option<f64> {
    let is_in_range = (0.0..=f64::from(max)).contains(&value);
    let parsed = is_in_range
        .then_some(value)
        .ok_or_else(|| format!("must be 0 to {max}, not {value:?}"));
    errors.ok_or_record(path, parsed)
}

/// Returns the number of threads to start for a number that may be a share of a core.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be between zero and a small number"
)]
fn thread_count(threads: f64) -> usize {
    (threads.ceil() as usize).clamp(1, MAX_THREADS)
}

fn check_role(
    wire: &wire::relay_settings::RelaySettings,
    errors: &mut ValidationErrors,
) -> Option<RelayRole> {
    match (wire.role.as_str(), &wire.agent) {
        ("balancer", _) => Some(RelayRole::Balancer),
        ("agent", Some(agent)) => check_agent(agent, errors).map(RelayRole::Agent),
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
    wire: &wire::relay_settings::RelayAgent,
    errors: &mut ValidationErrors,
) -> Option<RelayAgentSettings> {
    let service = check_name("agent.service", &wire.service, errors);
    let upstream = check_address("agent.upstream", &wire.upstream, errors);
    let outbound = check_address("agent.outbound", &wire.outbound, errors);
    Some(RelayAgentSettings {
        service_id: ServiceId::of(service.as_str()),
        service,
        upstream: upstream?,
        outbound: outbound?,
    })
}

/// Parses an optional IP address; an empty field yields `default`.
fn check_ip(
    path: &str,
    text: &str,
    default: IpAddr,
    errors: &mut ValidationErrors,
) -> Option<IpAddr> {
    if text.is_empty() {
        return Some(default);
    }
    let parsed = text
        .parse()
        .map_err(|_e| format!("`{text}` is not an IP address"));
    errors.ok_or_record(path, parsed)
}

fn check_port(path: &str, port: u32, errors: &mut ValidationErrors) -> Option<u16> {
    // 65535 is excluded because the next port is used as well.
    let port = u16::try_from(port)
        .ok()
        .filter(|p| (1..u16::MAX).contains(p));
    errors.require(port.is_some(), path, "must be 1 to 65534");
    port
}
