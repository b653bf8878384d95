//! The command `explain ADDRESS CALLER LISTENER`: shows where a daemon would forward a flow.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::time::timeout;
use plantainquay_core::relay::{CandidateState, RelayView, ServiceCandidates};
use plantainquay_core::{FiveTuple, Fleet, FleetVersion, Timestamp};
use plantainquay_net::relay::{Poll, fetch_changes};
use plantainquay_schema::{Changes, FlowId, Route, WeightedService};
use serde_json::json;

use crate::client::with_client;
use crate::load::{CommandError, parse_address, parse_flow};
use crate::{Outcome, Report};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests the routes and upstreams of a daemon and explains where it would forward a flow.
///
/// # Errors
///
/// Returns an error if an address is not `ip:port` or the daemon doesn't respond.
pub fn explain(daemon: &str, caller: &str, listener: &str) -> Result<Report, CommandError> {
    let daemon = parse_address(daemon)?;
    let tuple = parse_flow(caller, listener)?;
    let changes = fetch_state(daemon).ok_or(CommandError::NoResponse(daemon))?;
    Ok(explain_flow(changes, tuple))
}

/// Explains where a daemon with this state would forward a flow.
///
/// The outcome is [`Outcome::Failed`] if no upstream would accept the flow.
#[must_use]
pub fn explain_flow(changes: Changes, tuple: FiveTuple) -> Report {
    let now = Timestamp::default();
    let age = changes.age;
    let is_cut_off = changes.is_cut_off;
    let mut fleet = Fleet::default();
    fleet.apply(now, changes);
    let view = RelayView::build(&fleet, now, 0, &RelayView::default());
    let flow = tuple.flow_id();
    let mut text = format!(
        "flow {flow} from {} to {}\n",
        tuple.source, tuple.destination
    );
    let age = age.map_or("never".to_owned(), |age| {
        format!("{} ms ago", age.as_millis())
    });
    let cut_off = if is_cut_off { ", cut off" } else { "" };
    let (generation, revision) = (view.generation(), view.revision());
    push_line(
        &mut text,
        &format!("routes {generation}, upstreams {revision}, confirmed {age}{cut_off}"),
    );
    let Some(route) = view.route(tuple.destination) else {
        push_line(&mut text, "no route: a new flow is reset");
        return text_report(Outcome::Failed, &text);
    };
    let Some(service) = RelayView::choose_service(route, flow) else {
        push_line(&mut text, "the route has no service with a positive weight");
        return text_report(Outcome::Failed, &text);
    };
    push_line(&mut text, &describe_route(route, service));
    let history = view.service_history();
    let former = history.former_names(now, tuple.destination);
    if !former.is_empty() {
        let names: Vec<&str> = former.iter().map(|name| name.as_str()).collect();
        let span_s = history.span(now).as_secs();
        push_line(
            &mut text,
            &format!(
                "an open flow may be at {} as well (known for the last {span_s} s)",
                names.join(", ")
            ),
        );
    }
    let ranking = view.service(service.id).map(|s| describe_ranking(s, flow));
    let (lines, has_ready) = ranking.unwrap_or_default();
    text.push_str(&lines);
    let outcome = if has_ready {
        Outcome::Passed
    } else {
        push_line(&mut text, "no ready upstream: a new flow is refused");
        Outcome::Failed
    };
    text_report(outcome, &text)
}

fn describe_route(route: &Route, chosen: &WeightedService) -> String {
    let weights = route
        .services
        .iter()
        .map(|s| format!("{} {}", s.name, s.weight));
    let weights: Vec<String> = weights.collect();
    let idempotency = if route.idempotent {
        ""
    } else {
        ", not idempotent"
    };
    format!(
        "route to {} (weights: {}), timeout {} ms, priority {}{idempotency}",
        chosen.name,
        weights.join(", "),
        route.timeout.as_millis(),
        route.priority
    )
}

/// Lists the ranked upstreams, one per line; the second value is true if one of them is ready.
fn describe_ranking(candidates: &ServiceCandidates, flow: FlowId) -> (String, bool) {
    let owner = candidates.owner(flow).map(|owner| owner.agent);
    let first_choice = candidates
        .first_choice(flow, |_| true)
        .map(|candidate| candidate.agent);
    let mut lines = String::new();
    for (rank, candidate) in candidates.ranked(flow).iter().enumerate() {
        let state = match candidate.state {
            CandidateState::Ready => "ready",
            CandidateState::Draining => "draining",
            CandidateState::Former => "gone",
        };
        let mut line = format!(
            "{:>3}. {} {} slots {} {state}",
            rank + 1,
            candidate.agent.ip(),
            candidate.data_centre,
            candidate.slots
        );
        if owner == Some(candidate.agent) {
            line.push_str(", owner of the flow");
        }
        if first_choice == Some(candidate.agent) {
            line.push_str(", first to receive the opening packet");
        }
        push_line(&mut lines, &line);
    }
    (lines, first_choice.is_some())
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string never fails.
    let _infallible = writeln!(text, "{line}");
}

fn text_report(outcome: Outcome, text: &str) -> Report {
    let text = text.trim_end().to_owned();
    let lines: Vec<&str> = text.lines().collect();
    Report {
        outcome,
        json: json!({ "lines": lines }),
        text,
    }
}

fn fetch_state(daemon: SocketAddr) -> Option<Changes> {
    with_client(async move |client| {
        let fetch = fetch_changes(
            &client,
            daemon,
            FleetVersion::default(),
            Poll::Changes(Duration::ZERO),
        );
        timeout(REQUEST_TIMEOUT, fetch).await.ok()?.ok()
    })
}
