//! Simulated platform: a configuration service and a list of instances.
//!
//! Daemons and the fabric only send `GET` requests; `PUT` requests come from the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use ntex::http::StatusCode;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Maximum duration of a long poll.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// A text with its revision.
#[derive(Clone, Debug, Default)]
struct VersionedText {
    revision: u64,
    text: String,
}

#[derive(Debug)]
struct PlatformState {
    document: watch::Sender<VersionedText>,
    instances: watch::Sender<VersionedText>,
    /// True while watches receive status 503.
    down: Mutex<bool>,
    calls: Mutex<u64>,
}

type State = web::types::State<Arc<PlatformState>>;

/// Runs the platform at `address` until the process exits.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_platform(address: SocketAddr) -> Result<()> {
    let state = Arc::new(PlatformState {
        document: watch::Sender::new(VersionedText::default()),
        instances: watch::Sender::new(VersionedText::default()),
        down: Mutex::new(false),
        calls: Mutex::new(0),
    });
    let system = ntex::rt::System::build()
        .name("platform")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let server = HttpServer::new(async move || {
            App::new().state(Arc::clone(&state)).service((
                get_document,
                put_document,
                get_instances,
                put_instances,
                put_down,
                get_calls,
            ))
        });
        server.workers(1).bind(address)?.run().await?;
        Ok(())
    })
}

#[web::get("/v1/document")]
async fn get_document(req: HttpRequest, state: State) -> HttpResponse {
    long_poll(&req, &state, &state.document).await
}

#[web::put("/v1/document")]
async fn put_document(body: String, state: State) -> HttpResponse {
    replace_value(&state.document, body)
}

#[web::get("/v1/instances")]
async fn get_instances(req: HttpRequest, state: State) -> HttpResponse {
    long_poll(&req, &state, &state.instances).await
}

#[web::put("/v1/instances")]
async fn put_instances(body: String, state: State) -> HttpResponse {
    replace_value(&state.instances, body)
}

#[web::put("/v1/down")]
async fn put_down(body: String, state: State) -> HttpResponse {
    *state.down.lock() = body.trim() == "true";
    HttpResponse::NoContent().finish()
}

#[web::get("/v1/calls")]
async fn get_calls(state: State) -> HttpResponse {
    HttpResponse::Ok().body(state.calls.lock().to_string())
}

fn replace_value(value: &watch::Sender<VersionedText>, text: String) -> HttpResponse {
    value.send_modify(|value| {
        value.revision += 1;
        value.text = text;
    });
    HttpResponse::NoContent().finish()
}

/// Responds once the revision differs from the client's, or with status 304 after the timeout.
async fn long_poll(
    req: &HttpRequest,
    state: &PlatformState,
    value: &watch::Sender<VersionedText>,
) -> HttpResponse {
    *state.calls.lock() += 1;
    if *state.down.lock() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let client_revision = req.headers().get("if-none-match");
    let client_revision = client_revision
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let mut rx = value.subscribe();
    let newer_value =
        rx.wait_for(|value| value.revision > 0 && value.revision.to_string() != client_revision);
    let no_wait = req.query_string() == "wait=0";
    let timeout = if no_wait {
        Duration::ZERO
    } else {
        WATCH_TIMEOUT
    };
    let Ok(Ok(value)) = tokio::time::timeout(timeout, newer_value).await else {
        return HttpResponse::build(StatusCode::NOT_MODIFIED).finish();
    };
    HttpResponse::Ok()
        .header("etag", value.revision.to_string())
        .body(value.text.clone())
}
