//! The commands `routes check` and `routes explain`, for files in the platform's format.

use std::path::Path;

use plantainquay_platform::{parse_routes, parse_upstreams};
use plantainquay_schema::{Changes, RouteDocument, UpstreamEntry, ValidationErrors};
use serde_json::json;

use crate::load::{CommandError, parse_flow, read_file};
use crate::{Outcome, Report, explain_flow};

/// Validates routes, and upstreams if given, and lists every validation error.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub fn check_routes(routes: &Path, upstreams: Option<&Path>) -> Result<Report, CommandError> {
    let routes = parse_routes(read_file(routes)?.as_bytes());
    let upstreams = load_upstreams(upstreams)?;
    let errors = [routes.as_ref().err(), upstreams.as_ref().err()];
    let errors: Vec<&ValidationErrors> = errors.into_iter().flatten().collect();
    Ok(match (&routes, &upstreams) {
        (Ok(routes), Ok(upstreams)) => valid_report(routes, upstreams),
        _ => Report::from_validation_errors(&errors),
    })
}

/// Explains where a daemon with these routes and upstreams would forward a flow.
///
/// # Errors
///
/// Returns an error if a file can't be read or is invalid, or an address is not `ip:port`.
pub fn explain_routes(
    routes: &Path,
    upstreams: &Path,
    caller: &str,
    listener: &str,
) -> Result<Report, CommandError> {
    let tuple = parse_flow(caller, listener)?;
    let invalid_file = |path: &Path| {
        let path = path.display().to_string();
        move |errors| CommandError::InvalidFile(path, errors)
    };
    let document = parse_routes(read_file(routes)?.as_bytes()).map_err(invalid_file(routes))?;
    let entries = load_upstreams(Some(upstreams))?.map_err(invalid_file(upstreams))?;
    let changes = Changes {
        revision: entries
            .iter()
            .map(|entry| entry.revision)
            .max()
            .unwrap_or_default(),
        routes: Some(document),
        is_full: true,
        upstreams: entries,
        ..Changes::default()
    };
    Ok(explain_flow(changes, tuple))
}

fn load_upstreams(
    path: Option<&Path>,
) -> Result<Result<Vec<UpstreamEntry>, ValidationErrors>, CommandError> {
    path.map_or(Ok(Ok(Vec::new())), |path| {
        Ok(parse_upstreams(read_file(path)?.as_bytes()))
    })
}

fn valid_report(document: &RouteDocument, upstreams: &[UpstreamEntry]) -> Report {
    let (generation, routes) = (document.generation, document.routes.len());
    let upstreams = upstreams.len();
    Report {
        outcome: Outcome::Passed,
        text: format!("valid: generation {generation}, {routes} routes, {upstreams} upstreams"),
        json: json!({
            "good": true,
            "generation": generation.0,
            "routes": routes,
            "upstreams": upstreams,
        }),
    }
}
