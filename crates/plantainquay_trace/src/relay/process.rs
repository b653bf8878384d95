//! Simulated balancers and agents of the relay.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::relay::{
    Actions, Packet, RelayAgent, RelayAgentConfig, RelayBalancer, RelayBalancerConfig, RelayPolicy,
    RelayView,
};
use plantainquay_core::{Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{Changes, RelayMessage, ServiceId};

/// Port for messages between processes.
pub(super) const PEER_PORT: u16 = 7_000;
/// Name of the first service, which receives every flow until the route changes.
pub(super) const SERVICE: &str = "feed";

/// A simulated process with its view of the fleet.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) role: Role,
    pub(super) is_paused: bool,
    pub(super) is_down: bool,
    /// End of the last pause.
    pub(super) resumed_at_ms: Option<u64>,
    /// True while the process receives no changes.
    pub(super) is_cut_off: bool,
    policy: RelayPolicy,
    /// Service of an agent's upstream.
    service: ServiceId,
    fleet: Fleet,
    view: Arc<RelayView>,
}

#[derive(Debug)]
pub(super) enum Role {
    Balancer(RelayBalancer),
    Agent(RelayAgent),
}

impl Process {
    /// Creates a process that starts with the whole system.
    pub(super) fn new(name: &str, ip: Ipv4Addr, service: ServiceId, policy: RelayPolicy) -> Self {
        let address = SocketAddr::new(ip.into(), PEER_PORT);
        Self {
            name: name.to_owned(),
            address,
            role: Role::new(name.starts_with('a'), address, service, policy),
            is_paused: false,
            is_down: false,
            resumed_at_ms: None,
            is_cut_off: false,
            policy,
            service,
            fleet: Fleet::default().without_earlier_flows(),
            view: Arc::default(),
        }
    }

    /// Restarts the process with empty state.
    pub(super) fn restart(&mut self) {
        self.role = Role::new(
            matches!(self.role, Role::Agent(_)),
            self.address,
            self.service,
            self.policy,
        );
        self.fleet = Fleet::default();
        self.view = Arc::default();
        self.is_down = false;
        self.is_paused = false;
        self.is_cut_off = false;
    }

    pub(super) fn apply_changes(&mut self, now: Timestamp, changes: Changes) {
        self.fleet.apply(now, changes);
        self.rebuild(now);
    }

    /// Returns true if other processes can receive changes from this one.
    pub(super) fn can_be_source(&self) -> bool {
        !self.is_down && !self.is_paused && !self.is_cut_off
    }

    /// Returns the changes that a process with the version `since` needs.
    pub(super) fn changes_since(&self, now: Timestamp, since: FleetVersion) -> Changes {
        self.fleet.changes_since(now, since)
    }

    /// Returns the version of the process's state.
    pub(super) fn version(&self, now: Timestamp) -> FleetVersion {
        self.fleet.version(now)
    }

    pub(super) fn tick(&mut self, now: Timestamp, last_tick: Timestamp) -> Actions {
        if self.fleet.expire(now, last_tick) {
            self.rebuild(now);
        }
        match &self.role {
            Role::Balancer(balancer) => balancer.on_tick(now, || self.view_age(now)),
            Role::Agent(agent) => agent.on_tick(now, &|| self.view_age(now)),
        }
    }

    pub(super) fn on_message(
        &self,
        now: Timestamp,
        from: SocketAddr,
        message: RelayMessage,
        packet: Option<&Packet>,
    ) -> Actions {
        match &self.role {
            Role::Balancer(balancer) => {
                balancer.on_message(now, || self.view_age(now), from, &message)
            }
            Role::Agent(agent) => {
                agent.on_message(now, &|| self.view_age(now), from, message, packet)
            }
        }
    }

    /// Returns the time since the process's view was last confirmed as current.
    pub(super) fn view_age(&self, now: Timestamp) -> Option<Duration> {
        self.fleet.age(now)
    }

    fn rebuild(&mut self, now: Timestamp) {
        self.view = Arc::new(RelayView::build(&self.fleet, now, PEER_PORT, &self.view));
        match &self.role {
            Role::Balancer(balancer) => balancer.install(Arc::clone(&self.view)),
            Role::Agent(agent) => agent.install(Arc::clone(&self.view)),
        }
    }
}

impl Role {
    fn new(is_agent: bool, address: SocketAddr, service: ServiceId, policy: RelayPolicy) -> Self {
        const SHARDS: usize = 2;
        if is_agent {
            Self::Agent(RelayAgent::new(RelayAgentConfig {
                service,
                own_address: address,
                shards: SHARDS,
                policy,
            }))
        } else {
            Self::Balancer(RelayBalancer::new(RelayBalancerConfig {
                own_address: address,
                shards: SHARDS,
                policy,
            }))
        }
    }
}
