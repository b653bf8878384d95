//! The read-only HTTP endpoint of a daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpResponse, HttpServer};
use plantainquay_schema::wire::status::Status;

/// Longest wait for open requests when the daemon ends.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(2);

/// Returns the daemon's current state.
pub type StatusSource = Box<dyn Fn() -> Status + Send + Sync>;

/// State that the endpoint serves.
pub struct HttpState {
    /// The daemon's state.
    pub status: StatusSource,
    /// Updates metrics from counters that are kept elsewhere.
    pub refresh_metrics: Box<dyn Fn() + Send + Sync>,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

impl fmt::Debug for HttpState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpState").finish_non_exhaustive()
    }
}

type State = web::types::State<Arc<HttpState>>;

/// Serves `/metrics`, `/healthz`, `/readyz` and `/v1/status`; must be called in an ntex system.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn serve_http(address: SocketAddr, state: Arc<HttpState>) -> io::Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&state))
            .service((metrics, healthz, readyz, status_json))
    });
    let server = server
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .disable_signals()
        .bind(address)?;
    Ok(server.run())
}

#[web::get("/metrics")]
async fn metrics(state: State) -> HttpResponse {
    (state.refresh_metrics)();
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(state.metrics.render())
}

#[web::get("/healthz")]
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Ready when a document is in force and limit shares are usable, until the daemon leaves.
#[web::get("/readyz")]
async fn readyz(state: State) -> HttpResponse {
    let status = (state.status)();
    if status.leaving {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    if status.generation == 0 {
        return HttpResponse::ServiceUnavailable().body("no document\n");
    }
    if status.role == "agent" && !status.limits_usable {
        return HttpResponse::ServiceUnavailable().body("limits not settled\n");
    }
    HttpResponse::Ok().body("ready\n")
}

#[web::get("/v1/status")]
async fn status_json(state: State) -> HttpResponse {
    HttpResponse::Ok().json(&(state.status)())
}
