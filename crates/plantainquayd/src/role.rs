//! Differences between a balancer and an agent.

use std::sync::Arc;

use anyhow::{Context, Result};
use ntex::server::Server;
use plantainquay_core::Timestamp;
use plantainquay_net::{AgentRuntime, BalancerRuntime, Clock, serve_requests};
use plantainquay_schema::wire::status::Status;
use plantainquay_schema::{Document, Instance, Role, Settings};
use tokio::runtime::Handle;

/// The running part of a daemon that depends on its role.
#[derive(Debug)]
pub(crate) enum RoleRuntime {
    Balancer(Arc<BalancerRuntime>),
    Agent(Arc<AgentRuntime>),
}

impl RoleRuntime {
    pub(crate) fn start(settings: &Settings, clock: Clock, runtime: &Handle) -> Result<Arc<Self>> {
        let role = match &settings.role {
            Role::Balancer => Self::Balancer(
                BalancerRuntime::start(settings, clock).context("failed to start the balancer")?,
            ),
            Role::Agent(agent) => {
                let agent = AgentRuntime::start(settings, agent, clock, runtime);
                Self::Agent(agent.context("failed to start the agent")?)
            }
        };
        Ok(Arc::new(role))
    }

    pub(crate) fn install(&self, now: Timestamp, document: &Arc<Document>) {
        match self {
            Self::Balancer(balancer) => balancer.install(document),
            Self::Agent(agent) => agent.install(now, document),
        }
    }

    pub(crate) fn update_instances(&self, instances: &[Instance]) {
        if let Self::Balancer(balancer) = self {
            balancer.update_instances(instances);
        }
    }

    /// Starts the request service, which only agents have.
    pub(crate) fn serve_requests(&self) -> Result<Vec<Server>> {
        match self {
            Self::Balancer(_) => Ok(Vec::new()),
            Self::Agent(agent) => {
                let server = serve_requests(Arc::clone(agent), 1)
                    .context("failed to start the request service")?;
                Ok(vec![server])
            }
        }
    }

    pub(crate) fn leave(&self) {
        if let Self::Agent(agent) = self {
            agent.leave();
        }
    }

    /// Returns true if stopping the process would interrupt no flow or request.
    pub(crate) fn is_idle(&self) -> bool {
        match self {
            Self::Balancer(balancer) => balancer.is_quiet(),
            Self::Agent(agent) => agent.load() == (0, 0, 0),
        }
    }

    pub(crate) fn fill_status(&self, status: &mut Status) {
        match self {
            Self::Balancer(balancer) => {
                let counters = balancer.counters();
                status.forwarded = counters.forwarded;
                status.refused = counters.unknown_address
                    + counters.no_upstream
                    + counters.malformed
                    + balancer.unsent();
            }
            Self::Agent(agent) => {
                let (open_flows, running, waiting) = agent.load();
                status.open_flows = open_flows;
                status.limits_usable = agent.are_limits_usable();
                status.requests_running = to_u32(running);
                status.requests_waiting = to_u32(waiting);
                (status.forwarded, status.refused) = agent.packet_counts();
            }
        }
    }

    pub(crate) fn refresh_metrics(&self) {
        match self {
            Self::Balancer(balancer) => balancer.refresh_metrics(),
            Self::Agent(agent) => agent.refresh_metrics(),
        }
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
