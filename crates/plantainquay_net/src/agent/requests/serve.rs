//! The agent's HTTP/1.1 service.

use std::io;
use std::rc::Rc;
use std::sync::Arc;

use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::server::Server;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use plantainquay_core::limits::LimitReached;
use plantainquay_core::requests::{NotRunReason, Outcome, RequestSpec, UnknownReason};
use serde::Serialize;

use super::attempt::{Request, UpstreamResponse, is_forwarded, send_to_upstream};
use super::{RoutedRequest, Slot};
use crate::AgentRuntime;

/// Largest accepted request body, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Response header that names the outcome.
const OUTCOME_HEADER: &str = "plantainquay-outcome";
/// Value of `retry-after` in refusals, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// State of one worker.
#[derive(Clone)]
struct WorkerState {
    agent: Arc<AgentRuntime>,
    client: Client,
}

/// Body of a response that the agent itself generates.
#[derive(Debug)]
#[derive(Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: String,
}

/// Serves requests on the admission control's listener; must be called in an ntex system.
///
/// # Errors
///
/// Fails when the listener is taken already or can't be used.
pub fn serve_requests(agent: Arc<AgentRuntime>, workers: usize) -> io::Result<Server> {
    let listener = agent
        .admission
        .take_listener()
        .ok_or(io::ErrorKind::AddrInUse)?;
    let server = HttpServer::new(async move || {
        let worker = WorkerState {
            agent: Arc::clone(&agent),
            client: Client::new().await,
        };
        App::new()
            .state(Rc::new(worker))
            .state(web::types::PayloadConfig::new(MAX_REQUEST_BYTES))
            .default_service(web::route().to(handle))
    });
    Ok(server
        .workers(workers)
        .disable_signals()
        .listen(listener)?
        .run())
}

/// Runs a request to completion, even if the caller disconnects.
async fn handle(
    worker: web::types::State<Rc<WorkerState>>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let path_and_query = req.uri().path_and_query();
    let request = Request {
        method: req.method().clone(),
        path: path_and_query.map_or("/", |path| path.as_str()).to_owned(),
        headers: req.headers().clone(),
        body,
    };
    let peer = req.peer_addr();
    let routed = peer.and_then(|peer| worker.agent.admission.route(peer, req.path()));
    let Some(routed) = routed else {
        return to_http_response(Err(Outcome::NotRun(NotRunReason::NoClass)));
    };
    let worker = Rc::clone(&worker);
    let task = ntex::rt::spawn(async move { run_request(&worker, &routed, &request).await });
    let result = task.await;
    to_http_response(result.unwrap_or(Err(Outcome::Unknown(UnknownReason::ConnectionLost))))
}

async fn run_request(
    worker: &WorkerState,
    routed: &RoutedRequest,
    request: &Request,
) -> Result<UpstreamResponse, Outcome> {
    let admission = &worker.agent.admission;
    let arrived = worker.agent.clock.now();
    let spec = RequestSpec {
        long: routed.class.long,
        deadline: arrived + routed.class.deadline,
    };
    let result = match admit_request(worker, routed, spec).await {
        Err(reason) => Err(Outcome::NotRun(reason)),
        Ok(_claims) => {
            let remaining = admission.remaining(spec.deadline);
            send_to_upstream(&worker.client, routed, request, remaining).await
        }
    };
    let elapsed = worker.agent.clock.now().since(arrived);
    metrics::histogram!(
        "plantainquay_request_seconds",
        "member" => routed.member.to_string(),
        "class" => routed.class.name.to_string(),
        "outcome" => outcome_name(result.as_ref().err()),
    )
    .record(elapsed.as_secs_f64());
    result
}

/// A request's claim on the limits of its member and class, released on drop.
struct LimitClaim<'a> {
    agent: &'a AgentRuntime,
    routed: &'a RoutedRequest,
}

impl Drop for LimitClaim<'_> {
    fn drop(&mut self) {
        let mut limits = self.agent.state.limits();
        limits.finish_request(&self.routed.member, &self.routed.class.name);
    }
}

/// Counts the request against its limits, then waits for a slot.
async fn admit_request<'a>(
    worker: &'a WorkerState,
    routed: &'a RoutedRequest,
    spec: RequestSpec,
) -> Result<(LimitClaim<'a>, Slot<'a>), NotRunReason> {
    let agent = &*worker.agent;
    let now = agent.clock.now();
    let started = agent
        .state
        .limits()
        .start_request(now, &routed.member, &routed.class.name);
    started.map_err(|LimitReached| NotRunReason::LimitReached)?;
    let claim = LimitClaim { agent, routed };
    let slot = agent.admission.acquire_slot(spec).await?;
    Ok((claim, slot))
}

fn to_http_response(result: Result<UpstreamResponse, Outcome>) -> HttpResponse {
    match result {
        Ok(response) => forward_response(response),
        Err(Outcome::Unknown(reason)) => {
            let status = match reason {
                UnknownReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
                UnknownReason::ConnectionLost => StatusCode::BAD_GATEWAY,
            };
            outcome_response(status, "unknown", reason.to_string())
        }
        Err(Outcome::NotRun(reason)) => outcome_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_run",
            reason.to_string(),
        ),
        Err(Outcome::Done) => HttpResponse::NoContent().finish(),
    }
}

fn forward_response(response: UpstreamResponse) -> HttpResponse {
    let mut builder = HttpResponse::build(response.status);
    for (name, value) in response
        .headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
    {
        builder.header(name.clone(), value.clone());
    }
    builder.header(OUTCOME_HEADER, "done").body(response.body)
}

fn outcome_response(status: StatusCode, outcome: &'static str, reason: String) -> HttpResponse {
    let mut builder = HttpResponse::build(status);
    builder.header(OUTCOME_HEADER, outcome);
    if outcome == "not_run" {
        builder.header("retry-after", RETRY_AFTER_SECONDS.to_string());
    }
    builder.json(&OutcomeBody { outcome, reason })
}

fn outcome_name(failure: Option<&Outcome>) -> &'static str {
    match failure {
        None | Some(Outcome::Done) => "done",
        Some(Outcome::NotRun(_)) => "not_run",
        Some(Outcome::Unknown(_)) => "unknown",
    }
}
