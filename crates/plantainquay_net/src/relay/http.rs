//! The HTTP endpoints of a relay daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use log::Level;
use metrics_exporter_prometheus::PrometheusHandle;
use ntex::time::{Seconds, timeout};
use ntex::web::{self, App, HttpResponse, HttpServer};
use plantainquay_core::FleetVersion;
use plantainquay_schema::{Generation, StoreRevision, wire};
use prost::Message as _;
use serde::Deserialize;

use super::FleetState;
use super::follow::SOURCE_WAIT;
use crate::{event, init_metrics};

/// Longest wait for open requests when the daemon ends.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// State that the endpoints serve.
pub struct RelayHttpState {
    /// Returns true if the daemon accepts callers' packets.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Routes and upstreams.
    pub fleet: Arc<FleetState>,
    /// Updates metrics from counters that are kept elsewhere.
    pub refresh_metrics: Box<dyn Fn() + Send + Sync>,
    /// Installed at the first scrape: the recorder calibrates a clock for milliseconds, which would
    /// delay the start of the process.
    pub recorder: OnceLock<Option<PrometheusHandle>>,
}

impl fmt::Debug for RelayHttpState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayHttpState").finish_non_exhaustive()
    }
}

type State = web::types::State<Arc<RelayHttpState>>;

/// Serves `/ready`, `/metrics` and `/v1/changes`; must be called in an ntex system.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub fn serve_relay_http(
    addresses: &[SocketAddr],
    state: Arc<RelayHttpState>,
) -> io::Result<ntex::server::Server> {
    let mut server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .service((ready, metrics, changes))
    })
    .workers(1)
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .disable_signals();
    for address in addresses {
        server = server.bind(address)?;
    }
    Ok(server.run())
}

#[web::get("/ready")]
async fn ready(state: State) -> HttpResponse {
    if (state.is_ready)() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

#[web::get("/metrics")]
async fn metrics(state: State) -> HttpResponse {
    let Some(recorder) = state.recorder.get_or_init(install_recorder) else {
        return HttpResponse::InternalServerError().body("no metrics recorder\n");
    };
    (state.refresh_metrics)();
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(recorder.render())
}

fn install_recorder() -> Option<PrometheusHandle> {
    init_metrics()
        .inspect_err(|error| event(Level::Error, "metrics_unavailable", &[("reason", error)]))
        .ok()
}

/// The requester's version of the state, and its longest wait for changes.
#[derive(Deserialize)]
struct ChangesQuery {
    generation: u64,
    revision: u64,
    /// Era of the revision; absent from processes of a version that knows no eras.
    era: Option<u64>,
    wait_ms: u64,
    /// Digest of the requester's routes; without it the response has all routes.
    routes: Option<u64>,
    /// Time for which the requester knows all former services of routes.
    history_ms: Option<u64>,
    /// True if the state is to be confirmed to match the store before the response.
    #[serde(default)]
    confirm: bool,
}

impl ChangesQuery {
    /// Returns the requester's version; without an era its revision is one of `own_era`.
    fn version(&self, own_era: u64) -> FleetVersion {
        let era = self.era.unwrap_or(own_era);
        FleetVersion {
            generation: Generation(self.generation),
            revision: StoreRevision::new(era, self.revision),
            routes_digest: self.routes,
            history_span: self.history_ms.map(Duration::from_millis),
        }
    }
}

/// Long poll: responds with the changes since the requester's state as soon as there are any.
#[web::get("/v1/changes")]
async fn changes(state: State, query: web::types::Query<ChangesQuery>) -> HttpResponse {
    let since = query.version(state.fleet.version().revision.era);
    if query.confirm {
        let now = state.fleet.now();
        state.fleet.request_confirmation();
        if !state.fleet.wait_until_confirmed_since(now).await {
            return HttpResponse::ServiceUnavailable().body("not confirmed in time\n");
        }
    }
    let wait = Duration::from_millis(query.wait_ms).min(SOURCE_WAIT);
    let mut changed = state.fleet.subscribe();
    let is_newer = || {
        let fleet = &state.fleet;
        fleet.with_fleet(|fleet| fleet.is_newer_than(since))
    };
    let wait_for_changes = async {
        while !is_newer() && !state.fleet.is_cut_off() {
            if changed.changed().await.is_err() {
                break;
            }
        }
    };
    // A response without changes is useful too: it confirms the requester's state.
    let _in_time = timeout(wait, wait_for_changes).await;
    let newer = state.fleet.changes_since(since);
    let body = wire::fleet::Changes::from(&newer).encode_to_vec();
    HttpResponse::Ok()
        .content_type("application/x-protobuf")
        .body(body)
}
