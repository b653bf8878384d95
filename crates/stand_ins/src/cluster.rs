//! Starts and controls the processes of a run: platform, upstreams, fabric, balancers and agents.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use plantainquay_schema::wire::document::Document;
use plantainquay_schema::wire::platform::{Instance, InstanceList};
use plantainquay_schema::wire::settings::{AgentSettings, Key, Platform, Settings};
use plantainquay_schema::wire::stand_in::{
    FabricListener, FabricSettings, Ledger, UpstreamSettings,
};
use plantainquay_schema::wire::status::Status;
use serde::Serialize;

use crate::{ChildProcess, free_address, http_get, http_put};

const TICK_MS: u64 = 100;
const BOOKING_MS: u64 = 10;
const ECHO_PERCENT: u32 = 70;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the operators' document; addresses of upstreams, agents and members are replaced by
    /// loopback addresses.
    pub document: PathBuf,
    /// Number of balancers at the start.
    pub balancers: usize,
    /// Seed of the fabric's random choices.
    pub seed: u64,
    /// Executable that calls [`crate::run_process`] with its `--process` and `--file` arguments.
    pub program: PathBuf,
}

/// A running balancer or agent.
#[derive(Debug)]
pub struct Daemon {
    /// Entry of the daemon in the platform's list of instances.
    pub instance: Instance,
    /// Address of the daemon's HTTP endpoint.
    pub http: SocketAddr,
    /// Child process of the daemon.
    pub process: ChildProcess,
}

/// A listener of a service and its address in the fabric.
#[derive(Clone, Debug)]
pub struct ServiceListener {
    /// The service's name.
    pub service: String,
    /// `flow` or `request`.
    pub mode: String,
    /// Address to which callers connect.
    pub address: SocketAddr,
}

/// The processes of one run.
#[derive(Debug)]
pub struct Cluster {
    /// Document that the next call of `publish` sends.
    pub document: Document,
    /// Running balancers.
    pub balancers: Vec<Daemon>,
    /// Running agents, in the order of the document's facts.
    pub agents: Vec<Daemon>,
    /// Listeners of all services.
    pub service_listeners: Vec<ServiceListener>,
    upstreams: Vec<SocketAddr>,
    platform: SocketAddr,
    fabric: SocketAddr,
    run_dir: PathBuf,
    next_balancer: usize,
    program: PathBuf,
    auxiliary_processes: Vec<ChildProcess>,
}

impl Cluster {
    /// Starts all processes and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Fails when the document is invalid, or a process can't be started or does not become ready.
    pub async fn start(config: &ClusterConfig) -> Result<Self> {
        let text = std::fs::read_to_string(&config.document)
            .with_context(|| config.document.display().to_string())?;
        let validated = plantainquay_schema::Document::from_yaml(&text)?;
        let run_dir = std::env::temp_dir().join(format!(
            "plantainquay-{}-{}",
            std::process::id(),
            free_address()?.port()
        ));
        std::fs::create_dir_all(&run_dir)?;
        let mut cluster = Self {
            document: validated.to_wire().clone(),
            balancers: Vec::new(),
            agents: Vec::new(),
            service_listeners: Vec::new(),
            upstreams: Vec::new(),
            platform: free_address()?,
            fabric: free_address()?,
            run_dir,
            next_balancer: 1,
            program: config.program.clone(),
            auxiliary_processes: Vec::new(),
        };
        cluster.start_platform().await?;
        cluster.start_upstreams().await?;
        cluster.publish().await?;
        cluster.start_agents()?;
        for _ in 0..config.balancers {
            cluster.start_balancer()?;
        }
        cluster.wait_ready().await?;
        cluster.publish_instances().await?;
        cluster.start_fabric(config.seed).await?;
        Ok(cluster)
    }

    /// Publishes the current document.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn publish(&self) -> Result<()> {
        let text = serde_saphyr::to_string(&self.document)?;
        http_put(self.platform, "/v1/document", &text).await
    }

    /// Publishes the document and returns the time until it is in force on every daemon.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or a daemon does not apply the document in time.
    pub async fn publish_and_wait(&self) -> Result<Duration> {
        let start = Instant::now();
        self.publish().await?;
        for daemon in self.balancers.iter().chain(&self.agents) {
            let in_force = |status: &Status| status.generation >= self.document.generation;
            wait_status(daemon, in_force).await?;
        }
        Ok(start.elapsed())
    }

    /// Sets an upstream's state and increments the generation of the document.
    ///
    /// # Errors
    ///
    /// Fails when the document has no upstream fact with this index.
    pub fn set_state(&mut self, index: usize, state: &str) -> Result<()> {
        let facts = self
            .document
            .facts
            .as_mut()
            .context("document has no facts")?;
        let fact = facts
            .upstreams
            .get_mut(index)
            .context("no upstream fact with this index")?;
        state.clone_into(&mut fact.state);
        self.document.generation += 1;
        Ok(())
    }

    /// Makes the platform respond to watches with errors, or ends this state.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn set_platform_down(&self, down: bool) -> Result<()> {
        http_put(self.platform, "/v1/down", &down.to_string()).await
    }

    /// Publishes the list of instances with their states.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn publish_instances(&self) -> Result<()> {
        let daemons = self.balancers.iter().chain(&self.agents);
        let list = InstanceList {
            instances: daemons.map(|daemon| daemon.instance.clone()).collect(),
        };
        http_put(
            self.platform,
            "/v1/instances",
            &serde_json::to_string(&list)?,
        )
        .await
    }

    /// Starts a balancer; the fabric uses it once the list of instances contains it.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start_balancer(&mut self) -> Result<()> {
        let name = format!("balancer-{}", self.next_balancer);
        self.next_balancer += 1;
        let daemon = self.start_daemon(&name, "balancer", None)?;
        self.balancers.push(daemon);
        Ok(())
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when a daemon does not become ready in time.
    pub async fn wait_ready(&self) -> Result<()> {
        for daemon in self.balancers.iter().chain(&self.agents) {
            let ready = |s: &Status| s.generation > 0 && (s.role == "balancer" || s.limits_usable);
            wait_status(daemon, ready).await?;
        }
        Ok(())
    }

    /// Fetches the ledger of each upstream.
    ///
    /// # Errors
    ///
    /// Fails when an upstream can't be reached.
    pub async fn ledgers(&self) -> Result<Vec<Ledger>> {
        let mut ledgers = Vec::with_capacity(self.upstreams.len());
        for upstream in &self.upstreams {
            let (_, body) = http_get(*upstream, "/ledger").await?;
            ledgers.push(serde_json::from_slice(&body)?);
        }
        Ok(ledgers)
    }

    /// Directory with the logs and settings of the processes.
    #[must_use]
    pub fn run_dir(&self) -> &Path {
        &self.run_dir
    }

    async fn start_platform(&mut self) -> Result<()> {
        let file = self.run_dir.join("platform.txt");
        std::fs::write(&file, self.platform.to_string())?;
        self.start_auxiliary("platform", "platform", &file)?;
        wait_http(self.platform, "/v1/calls").await
    }

    async fn start_upstreams(&mut self) -> Result<()> {
        let slot_count = |document: &Document, service: &str, number: u32| {
            let service = document.services.iter().find(|s| s.name == service);
            let upstreams = service.into_iter().flat_map(|s| &s.upstreams);
            upstreams
                .filter(|u| u.number == number)
                .map(|u| u.slots)
                .sum()
        };
        let mut facts = self.document.facts.clone().unwrap_or_default();
        for fact in &mut facts.upstreams {
            let address = free_address()?;
            fact.endpoint = address.to_string();
            fact.agent = free_address()?.to_string();
            let settings = UpstreamSettings {
                bind: address.to_string(),
                service: fact.service.clone(),
                number: fact.number,
                slots: slot_count(&self.document, &fact.service, fact.number),
                tick_ms: TICK_MS,
                booking_ms: BOOKING_MS,
            };
            let name = format!("upstream-{}-{}", fact.service, fact.number);
            let file = self.write_yaml(&name, &settings)?;
            self.start_auxiliary(&name, "upstream", &file)?;
            self.upstreams.push(address);
        }
        self.document.facts = Some(facts);
        // Callers use loopback addresses as sources, one /24 network for each member.
        for (i, member) in self.document.members.iter_mut().enumerate() {
            member.sources = vec![format!("127.0.{}.0/24", i + 1)];
        }
        for upstream in &self.upstreams {
            wait_http(*upstream, "/ledger").await?;
        }
        Ok(())
    }

    fn start_agents(&mut self) -> Result<()> {
        let facts = self.document.facts.clone().unwrap_or_default();
        for fact in facts.upstreams {
            let name = format!("agent-{}-{}", fact.service, fact.number);
            let agent = AgentSettings {
                service: fact.service,
                upstream: fact.number,
                ..AgentSettings::default()
            };
            let tunnel = fact.agent.parse()?;
            let daemon = self.start_daemon(&name, "agent", Some((agent, tunnel)))?;
            self.agents.push(daemon);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        name: &str,
        role: &str,
        agent: Option<(AgentSettings, SocketAddr)>,
    ) -> Result<Daemon> {
        let tunnel = match &agent {
            Some((_, tunnel)) => *tunnel,
            None => free_address()?,
        };
        let http = free_address()?;
        let data_centre = self.document.data_centres[0].clone();
        let settings = Settings {
            role: role.to_owned(),
            instance: name.to_owned(),
            data_centre: data_centre.clone(),
            tunnel: tunnel.to_string(),
            http: http.to_string(),
            fabric: self.fabric.to_string(),
            platform: Some(Platform {
                configuration: self.platform.to_string(),
                instances: self.platform.to_string(),
                poll_ms: 0,
            }),
            keys: vec![Key {
                id: 1,
                secret: "000102030405060708090a0b0c0d0e0f".to_owned(),
            }],
            agent: agent.map(|(agent, _)| agent),
            threads: 1,
            ..Settings::default()
        };
        let file = self.write_yaml(name, &settings)?;
        Ok(Daemon {
            instance: Instance {
                instance: name.to_owned(),
                role: role.to_owned(),
                data_centre,
                tunnel: tunnel.to_string(),
                state: "live".to_owned(),
            },
            http,
            process: self.start_process(name, "daemon", &file)?,
        })
    }

    async fn start_fabric(&mut self, seed: u64) -> Result<()> {
        let facts = self.document.facts.clone().unwrap_or_default();
        let mut listeners = Vec::new();
        for service in &self.document.services {
            let address = facts.addresses.iter().find(|a| a.service == service.name);
            let address = &address.context("service has no address")?.address;
            for listener in &service.listeners {
                let bind = free_address()?;
                listeners.push(FabricListener {
                    bind: bind.to_string(),
                    destination: format!("{address}:{}", listener.port),
                });
                self.service_listeners.push(ServiceListener {
                    service: service.name.clone(),
                    mode: listener.mode.clone(),
                    address: bind,
                });
            }
        }
        let settings = FabricSettings {
            udp: self.fabric.to_string(),
            instances: self.platform.to_string(),
            listeners,
            seed,
            echo_percent: ECHO_PERCENT,
        };
        let file = self.write_yaml("fabric", &settings)?;
        self.start_auxiliary("fabric", "fabric", &file)?;
        for listener in &self.service_listeners {
            wait_tcp(listener.address).await?;
        }
        Ok(())
    }

    fn start_auxiliary(&mut self, name: &str, kind: &str, file: &Path) -> Result<()> {
        let process = self.start_process(name, kind, file)?;
        self.auxiliary_processes.push(process);
        Ok(())
    }

    fn start_process(&self, name: &str, kind: &str, file: &Path) -> Result<ChildProcess> {
        let mut log = String::new();
        write!(log, "{name}.log")?;
        let file = file
            .to_str()
            .context("path of the run directory is not UTF-8")?;
        let args = ["--process", kind, "--file", file];
        ChildProcess::start(name, &self.program, &args, &self.run_dir.join(log))
    }

    fn write_yaml(&self, name: &str, value: &impl Serialize) -> Result<PathBuf> {
        let file = self.run_dir.join(format!("{name}.yaml"));
        std::fs::write(&file, serde_saphyr::to_string(value)?)?;
        Ok(file)
    }
}

/// Fetches the status of a daemon.
///
/// # Errors
///
/// Fails when the daemon can't be reached or its response is invalid.
pub async fn fetch_status(http: SocketAddr) -> Result<Status> {
    let (_, body) = http_get(http, "/v1/status").await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Waits until the status of a daemon meets `condition`.
///
/// # Errors
///
/// Fails when the status does not meet `condition` in time.
pub async fn wait_status(daemon: &Daemon, condition: impl Fn(&Status) -> bool) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if fetch_status(daemon.http)
            .await
            .is_ok_and(|status| condition(&status))
        {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!(
        "{} did not reach the expected state in time",
        daemon.process.name()
    )
}

async fn wait_http(address: SocketAddr, path: &str) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if http_get(address, path).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("{address} did not respond in time")
}

async fn wait_tcp(address: SocketAddr) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("{address} did not accept a connection in time")
}

impl Drop for Cluster {
    /// Removes the run directory, except during a panic, so that a failed test keeps its logs.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _removed = std::fs::remove_dir_all(&self.run_dir);
        }
    }
}
