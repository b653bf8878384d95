//! Runs one relay daemon from start to shutdown.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::Context;
use log::Level;
use ntex::time::{Millis, sleep};
use plantainquay_core::Fleet;
use plantainquay_net::relay::{
    AgentThreads, BalancerThreads, FleetState, PacketFormat, RelayHttpState, StoreReader,
    confirm_on_request, follow, serve_relay_http,
};
use plantainquay_net::{Clock, event};
use plantainquay_schema::{RelayRole, RelaySettings};
use tokio::signal::unix::{SignalKind, signal};

use crate::daemon::{DaemonError, init_log};

/// Interval at which upstreams that left long ago are removed.
const EXPIRY_INTERVAL: Millis = Millis(200);
/// Interval at which the settings file is compared with the settings in use.
const SETTINGS_CHECK_INTERVAL: Millis = Millis(2_000);
/// Interval at which a draining process checks whether it can stop.
const DRAIN_CHECK_INTERVAL: Millis = Millis(50);
/// Minimum time for which a draining balancer forwards packets: two readiness checks and a margin.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_600);
/// Time without packets after which a draining balancer is considered unused.
const QUIET_PERIOD: Duration = Duration::from_millis(600);
/// Part of the stop grace period that is not used, so that the process exits before it is killed.
const STOP_GRACE_MARGIN: Duration = Duration::from_secs(1);
/// Time for sending the resets of a stopped upstream's flows.
const RESET_FLUSH_TIME: Millis = Millis(50);
/// Connect timeout of the check whether the upstream still runs.
const UPSTREAM_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Platform-specific parts of a relay daemon.
#[derive(Debug)]
pub struct RelayAdapter {
    /// The packet format.
    pub format: PacketFormat,
    /// Creates a reader of the store at an address.
    pub store_reader: fn(SocketAddr, ntex::client::Client) -> StoreReader,
    /// Path of the settings file.
    pub settings_path: PathBuf,
}

/// Runs one relay daemon until it has received SIGTERM and has drained.
///
/// # Errors
///
/// Fails when the settings are invalid, a socket can't be bound or a thread can't start.
pub fn run_relay(adapter: RelayAdapter) -> Result<(), DaemonError> {
    let settings = load_relay_settings(&adapter.settings_path)?;
    init_log(settings.log_level.as_str())?;
    let clock = Clock::start();
    let fleet = FleetState::new(empty_fleet(&settings), settings.peer.port(), clock);
    let fleet = Arc::new(fleet);
    let role = Arc::new(RelayThreads::start(&settings, &adapter, &fleet, clock)?);
    let leaving = Arc::new(AtomicBool::new(false));
    let http = Arc::new(RelayHttpState {
        is_ready: readiness_check(&fleet, &leaving),
        fleet: Arc::clone(&fleet),
        refresh_metrics: metrics_refresher(&role, &fleet),
        recorder: OnceLock::new(),
    });
    let system = ntex::rt::System::build()
        .name(settings.instance.as_str())
        .disable_signals()
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let mut sigterm =
            signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
        let addresses = [settings.health, settings.changes, settings.metrics];
        serve_relay_http(&addresses, http).context("failed to start the HTTP server")?;
        let client = ntex::client::Client::new().await;
        let store = (adapter.store_reader)(settings.store, client);
        let store = Rc::new(store);
        ntex::rt::spawn(follow(
            settings.clone(),
            Arc::clone(&fleet),
            Rc::clone(&store),
        ));
        ntex::rt::spawn(confirm_on_request(
            settings.clone(),
            Arc::clone(&fleet),
            store,
        ));
        ntex::rt::spawn(expire_departed_upstreams(Arc::clone(&fleet)));
        ntex::rt::spawn(watch_settings(adapter.settings_path, settings.clone()));
        log_start(&settings);
        sigterm.recv().await;
        leaving.store(true, Ordering::Relaxed);
        event(Level::Info, "draining", &[]);
        role.drain(&settings, clock).await;
        event(Level::Info, "stopped", &[("instance", &settings.instance)]);
        anyhow::Ok(())
    })?;
    log::logger().flush();
    // Packet threads block on their sockets and can't be joined; exiting ends them.
    std::process::exit(0)
}

/// Creates the replica of a process that knows nothing yet.
fn empty_fleet(settings: &RelaySettings) -> Fleet {
    let fleet = Fleet::default().with_flow_ttl(settings.flow_ttl);
    if settings.first_start {
        fleet.without_earlier_flows()
    } else {
        fleet
    }
}

/// The threads of one role.
#[derive(Debug)]
enum RelayThreads {
    Balancer(Arc<BalancerThreads>),
    Agent(Arc<AgentThreads>, SocketAddr),
}

impl RelayThreads {
    fn start(
        settings: &RelaySettings,
        adapter: &RelayAdapter,
        fleet: &Arc<FleetState>,
        clock: Clock,
    ) -> Result<Self, DaemonError> {
        match &settings.role {
            RelayRole::Balancer => {
                let fleet_handle = Arc::clone(fleet);
                let threads =
                    BalancerThreads::start(settings, adapter.format, fleet_handle, clock)?;
                let view_target = Arc::clone(&threads);
                fleet.set_install_view(Box::new(move |view| view_target.balancer.install(view)));
                let searches = Arc::clone(&threads);
                fleet.set_on_confirmed(Box::new(move || {
                    searches.sockets.execute_actions(searches.on_tick());
                }));
                Ok(Self::Balancer(threads))
            }
            RelayRole::Agent(agent) => {
                let threads =
                    AgentThreads::start(settings, agent, adapter.format, Arc::clone(fleet), clock)?;
                let view_target = Arc::clone(&threads);
                fleet.set_install_view(Box::new(move |view| view_target.agent.install(view)));
                let lookups = Arc::clone(&threads);
                fleet.set_on_confirmed(Box::new(move || {
                    lookups.sockets.execute_actions(lookups.on_tick());
                }));
                Ok(Self::Agent(threads, agent.upstream))
            }
        }
    }

    /// Keeps the process running while callers or the upstream may still need it.
    async fn drain(&self, settings: &RelaySettings, clock: Clock) {
        let start = clock.now();
        let max_drain_time = settings.stop_grace.saturating_sub(STOP_GRACE_MARGIN);
        match self {
            Self::Balancer(threads) => loop {
                sleep(DRAIN_CHECK_INTERVAL).await;
                let now = clock.now();
                let is_quiet = now.since(threads.last_packet()) >= QUIET_PERIOD;
                let elapsed = now.since(start);
                if elapsed >= max_drain_time || (is_quiet && elapsed >= MIN_DRAIN_TIME) {
                    return;
                }
            },
            Self::Agent(threads, upstream) => loop {
                if is_upstream_down(*upstream) {
                    threads
                        .sockets
                        .execute_actions(threads.agent.upstream_ended());
                    return sleep(RESET_FLUSH_TIME).await;
                }
                if clock.now().since(start) >= max_drain_time {
                    return;
                }
                sleep(DRAIN_CHECK_INTERVAL).await;
            },
        }
    }
}

/// Returns true if nothing listens at the upstream's address any more.
fn is_upstream_down(upstream: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&upstream, UPSTREAM_CHECK_TIMEOUT);
    connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns a check that passes once routes and upstreams have been current, until the daemon
/// starts draining.
fn readiness_check(
    fleet: &Arc<FleetState>,
    leaving: &Arc<AtomicBool>,
) -> Box<dyn Fn() -> bool + Send + Sync> {
    let fleet = Arc::clone(fleet);
    let leaving = Arc::clone(leaving);
    Box::new(move || fleet.is_ready() && !leaving.load(Ordering::Relaxed))
}

fn metrics_refresher(
    role: &Arc<RelayThreads>,
    fleet: &Arc<FleetState>,
) -> Box<dyn Fn() + Send + Sync> {
    let role = Arc::clone(role);
    let fleet = Arc::clone(fleet);
    Box::new(move || {
        fleet.refresh_metrics();
        match &*role {
            RelayThreads::Balancer(threads) => threads.refresh_metrics(),
            RelayThreads::Agent(threads, _) => threads.refresh_metrics(),
        }
    })
}

async fn expire_departed_upstreams(fleet: Arc<FleetState>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        fleet.expire();
    }
}

/// Checks the settings file on SIGHUP and periodically, since it may change without a signal.
async fn watch_settings(path: PathBuf, active_settings: RelaySettings) {
    let Ok(mut sighup) = signal(SignalKind::hangup()) else {
        return event(Level::Error, "signals_unavailable", &[]);
    };
    let mut last_valid = Some(active_settings);
    loop {
        tokio::select! {
            _ = sighup.recv() => event(Level::Info, "settings_signal", &[]),
            () = sleep(SETTINGS_CHECK_INTERVAL) => {}
        }
        match load_relay_settings(&path) {
            Ok(settings) if last_valid.as_ref() != Some(&settings) => {
                // Addresses are bound once at the start; new settings apply after a restart.
                event(
                    Level::Info,
                    "settings_changed",
                    &[("in_force", &"at_restart")],
                );
                last_valid = Some(settings);
            }
            Ok(_) => {}
            Err(error) => {
                if last_valid.take().is_some() {
                    event(Level::Error, "settings_refused", &[("reason", &error)]);
                }
            }
        }
    }
}

fn load_relay_settings(path: &Path) -> Result<RelaySettings, DaemonError> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    RelaySettings::from_yaml(&text).with_context(|| path.display().to_string())
}

fn log_start(settings: &RelaySettings) {
    let role = match &settings.role {
        RelayRole::Balancer => "balancer",
        RelayRole::Agent(_) => "agent",
    };
    let pairs: [(&str, &dyn std::fmt::Display); 4] = [
        ("role", &role),
        ("instance", &settings.instance),
        ("packets", &settings.packets),
        ("version", &env!("CARGO_PKG_VERSION")),
    ];
    event(Level::Info, "started", &pairs);
}
