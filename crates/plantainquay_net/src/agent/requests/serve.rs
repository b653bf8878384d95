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

use super::attempt::{Answer, Request, attempt, is_end_to_end};
use super::{Routed, Slot};
use crate::AgentRuntime;

/// Largest request body that is taken, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Header that says which of the outcomes an answer stands for.
const OUTCOME_HEADER: &str = "plantainquay-outcome";
/// Time after which a refused caller may try again, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// What one worker needs.
#[derive(Clone)]
struct Worker {
    agent: Arc<AgentRuntime>,
    client: Client,
}

/// Body of an answer that is not the upstream's.
#[derive(Debug, Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: String,
}

/// Serves requests on the gate's listener; runs on the caller's ntex system.
///
/// # Errors
///
/// Fails when the listener is taken already or can't be used.
pub fn serve_requests(agent: Arc<AgentRuntime>, workers: usize) -> io::Result<Server> {
    let listener = agent.gate.take_listener().ok_or(io::ErrorKind::AddrInUse)?;
    let server = HttpServer::new(async move || {
        let worker = Worker {
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

/// Runs a request to its end, even when the caller goes away in the meantime.
async fn handle(
    worker: web::types::State<Rc<Worker>>,
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
    let routed = peer.and_then(|peer| worker.agent.gate.routed(peer, req.path()));
    let Some(routed) = routed else {
        return answer(Err(Outcome::NotRun(NotRunReason::NoClass)));
    };
    let worker = Rc::clone(&worker);
    let running = ntex::rt::spawn(async move { run(&worker, &routed, &request).await });
    let result = running.await;
    answer(result.unwrap_or(Err(Outcome::Unknown(UnknownReason::ConnectionLost))))
}

async fn run(worker: &Worker, routed: &Routed, request: &Request) -> Result<Answer, Outcome> {
    let gate = &worker.agent.gate;
    let arrived = worker.agent.clock.now();
    let work = RequestSpec {
        long: routed.class.long,
        deadline: arrived + routed.class.deadline,
    };
    let result = match limited_slot(worker, routed, work).await {
        Err(reason) => Err(Outcome::NotRun(reason)),
        Ok(_claims) => {
            let remaining = gate.remaining(work.deadline);
            attempt(&worker.client, routed, request, remaining).await
        }
    };
    let took = worker.agent.clock.now().since(arrived);
    metrics::histogram!(
        "plantainquay_request_seconds",
        "member" => routed.member.to_string(),
        "class" => routed.class.name.to_string(),
        "outcome" => outcome_name(result.as_ref().err()),
    )
    .record(took.as_secs_f64());
    result
}

/// A request's part of its member's limits; given back when this is dropped.
struct Counted<'a> {
    agent: &'a AgentRuntime,
    routed: &'a Routed,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let mut limits = self.agent.state.limits();
        limits.finish_request(&self.routed.member, &self.routed.class.name);
    }
}

/// Counts the request against its limits, then waits for a slot.
async fn limited_slot<'a>(
    worker: &'a Worker,
    routed: &'a Routed,
    work: RequestSpec,
) -> Result<(Counted<'a>, Slot<'a>), NotRunReason> {
    let agent = &*worker.agent;
    let now = agent.clock.now();
    let started = agent
        .state
        .limits()
        .start_request(now, &routed.member, &routed.class.name);
    started.map_err(|LimitReached| NotRunReason::LimitReached)?;
    let counted = Counted { agent, routed };
    let slot = agent.gate.slot(work).await?;
    Ok((counted, slot))
}

fn answer(result: Result<Answer, Outcome>) -> HttpResponse {
    match result {
        Ok(answer) => pass_back(answer),
        Err(Outcome::Unknown(reason)) => {
            let status = match reason {
                UnknownReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
                UnknownReason::ConnectionLost => StatusCode::BAD_GATEWAY,
            };
            own_answer(status, "unknown", reason.to_string())
        }
        Err(Outcome::NotRun(reason)) => own_answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_run",
            reason.to_string(),
        ),
        Err(Outcome::Done) => HttpResponse::NoContent().finish(),
    }
}

fn pass_back(answer: Answer) -> HttpResponse {
    let mut builder = HttpResponse::build(answer.status);
    for (name, value) in answer
        .headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name))
    {
        builder.header(name.clone(), value.clone());
    }
    builder.header(OUTCOME_HEADER, "done").body(answer.body)
}

fn own_answer(status: StatusCode, outcome: &'static str, reason: String) -> HttpResponse {
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
