//! Runs one daemon from start to shutdown.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use log::{Level, LevelFilter};
use ntex::time::{Millis, sleep};
use plantainquay_core::DocumentState;
use plantainquay_net::{
    Clock, DocumentStore, Gossip, HttpState, InstanceView, LogSink, PlatformReader, Sealer, event,
    init_metrics, serve_http,
};
use plantainquay_schema::wire::status::Status;
use plantainquay_schema::{Role, Settings};
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::role::RoleRuntime;

/// An error that ends a daemon.
pub type DaemonError = anyhow::Error;

/// Interval at which a draining daemon checks whether it is idle.
const DRAIN_CHECK_INTERVAL: Millis = Millis(50);

/// Runs one daemon until it has received a stop signal and has drained.
///
/// # Errors
///
/// Fails when a socket can't be bound or the runtime can't start.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    init_log(settings.log_level.as_str())?;
    let metrics = init_metrics().context("failed to install the metrics recorder")?;
    let clock = Clock::start();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context("failed to start the worker threads")?;
    let role = RoleRuntime::start(&settings, clock, runtime.handle())?;
    let store = Arc::new(document_store(&role, clock));
    let leaving = Arc::new(AtomicBool::new(false));
    let http = Arc::new(HttpState {
        status: status_reader(&settings, &role, &store, &leaving),
        refresh_metrics: metrics_refresher(&role),
        metrics,
    });
    let instances = Arc::new(instance_view(&role));
    let reader = PlatformReader::new(&settings, Arc::clone(&store), Arc::clone(&instances), clock);
    let reader = Arc::new(reader);
    start_gossip(&settings, store, instances, clock, &runtime)?;
    let stop_signal = stop_signal_receiver(&runtime)?;
    let system = ntex::rt::System::build()
        .name(settings.instance.as_str())
        .disable_signals()
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let servers = role.serve_requests()?;
        let http = serve_http(settings.http, http).context("failed to start the HTTP server")?;
        ntex::rt::spawn(Arc::clone(&reader).poll_instances());
        ntex::rt::spawn(reader.follow_configuration());
        log_start(&settings);
        // If the sender was dropped, no signal can be received any more: shut down as well.
        let _result = stop_signal.await;
        leaving.store(true, Ordering::Relaxed);
        drain(&role, settings.drain, clock).await;
        for server in servers {
            server.stop(true).await;
        }
        http.stop(true).await;
        event(Level::Info, "stopped", &[("instance", &settings.instance)]);
        anyhow::Ok(())
    })
}

fn start_gossip(
    settings: &Settings,
    store: Arc<DocumentStore>,
    instances: Arc<InstanceView>,
    clock: Clock,
    runtime: &Runtime,
) -> Result<(), DaemonError> {
    let sealer = Sealer::new(&settings.keys).context("invalid signing keys")?;
    let gossip = Gossip::new(store, instances, sealer, settings.tunnel, clock);
    runtime.spawn(Arc::clone(&gossip).run_exchanges());
    runtime.spawn(async move {
        if let Err(error) = gossip.serve().await {
            event(Level::Error, "gossip_ended", &[("reason", &error)]);
        }
    });
    Ok(())
}

pub(crate) fn init_log(level: &str) -> Result<(), DaemonError> {
    let level = match level {
        "off" => LevelFilter::Off,
        "error" => LevelFilter::Error,
        "warn" => LevelFilter::Warn,
        "debug" => LevelFilter::Debug,
        _ => LevelFilter::Info,
    };
    // The message already contains the level; the logger only adds the time.
    let config = ConfigBuilder::new()
        .add_filter_allow_str("plantainquay")
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let sink = LogSink::start(io::stdout()).context("failed to start the log writer")?;
    WriteLogger::init(level, config, sink).context("failed to install the logger")
}

fn instance_view(role: &Arc<RoleRuntime>) -> InstanceView {
    let role = Arc::clone(role);
    InstanceView::new(move |instances| role.update_instances(instances))
}

fn document_store(role: &Arc<RoleRuntime>, clock: Clock) -> DocumentStore {
    let role = Arc::clone(role);
    DocumentStore::new(clock, move |now, document| role.install(now, document))
}

fn status_reader(
    settings: &Settings,
    role: &Arc<RoleRuntime>,
    store: &Arc<DocumentStore>,
    leaving: &Arc<AtomicBool>,
) -> Box<dyn Fn() -> Status + Send + Sync> {
    let role = Arc::clone(role);
    let store = Arc::clone(store);
    let leaving = Arc::clone(leaving);
    let mut base_status = Status {
        instance: settings.instance.to_string(),
        data_centre: settings.data_centre.to_string(),
        ..Status::default()
    };
    match &settings.role {
        Role::Balancer => "balancer".clone_into(&mut base_status.role),
        Role::Agent(agent) => {
            "agent".clone_into(&mut base_status.role);
            base_status.service = agent.service.to_string();
            base_status.upstream = u32::from(agent.upstream.get());
        }
    }
    Box::new(move || {
        let mut status = base_status.clone();
        store.with_documents(|documents| fill_document_status(&mut status, documents));
        status.leaving = leaving.load(Ordering::Relaxed);
        role.fill_status(&mut status);
        status
    })
}

fn fill_document_status(status: &mut Status, documents: &DocumentState) {
    status.generation = documents.generation().0;
    status.digest = documents
        .digest()
        .map(|digest| digest.to_string())
        .unwrap_or_default();
    status.conflicts = documents.conflicts();
    let environment = documents
        .in_force()
        .map(|document| document.environment.to_string());
    status.environment = environment.unwrap_or_default();
}

fn metrics_refresher(role: &Arc<RoleRuntime>) -> Box<dyn Fn() + Send + Sync> {
    let role = Arc::clone(role);
    Box::new(move || role.refresh_metrics())
}

/// Returns a receiver that resolves after SIGTERM or SIGINT.
fn stop_signal_receiver(runtime: &Runtime) -> io::Result<oneshot::Receiver<()>> {
    let _guard = runtime.enter();
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let (tx, rx) = oneshot::channel();
    runtime.spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        // The receiver lives until the process shuts down.
        let _sent = tx.send(());
    });
    Ok(rx)
}

/// Stops accepting new flows and waits until the role is idle, at most for `timeout`.
async fn drain(role: &RoleRuntime, timeout: Duration, clock: Clock) {
    event(Level::Info, "draining", &[]);
    role.leave();
    let deadline = clock.now() + timeout;
    while !role.is_idle() && clock.now() < deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    event(Level::Info, "drained", &[("idle", &role.is_idle())]);
}

fn log_start(settings: &Settings) {
    let role = match settings.role {
        Role::Balancer => "balancer",
        Role::Agent(_) => "agent",
    };
    let pairs: [(&str, &dyn std::fmt::Display); 3] = [
        ("role", &role),
        ("instance", &settings.instance),
        ("tunnel", &settings.tunnel),
    ];
    event(Level::Info, "started", &pairs);
}
