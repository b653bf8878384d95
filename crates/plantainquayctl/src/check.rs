//! The command `check FILE`: validates a document.

use std::path::Path;

use plantainquay_schema::Document;
use serde_json::json;

use crate::load::{CommandError, read_file};
use crate::{Outcome, Report};

/// Validates a document and lists every validation error.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn check(path: &Path) -> Result<Report, CommandError> {
    Ok(match Document::from_yaml(&read_file(path)?) {
        Ok(document) => valid_report(&document),
        Err(errors) => Report::from_validation_errors(&[&errors]),
    })
}

fn valid_report(document: &Document) -> Report {
    let services = document.services.len();
    let upstreams: usize = document.services.iter().map(|s| s.upstreams.len()).sum();
    let limits: usize = document.services.iter().map(|s| s.limits.len()).sum();
    Report {
        outcome: Outcome::Passed,
        text: format!(
            "valid: environment {}, generation {}, {services} services, {upstreams} upstreams, \
             {limits} limits",
            document.environment, document.generation
        ),
        json: json!({
            "good": true,
            "environment": document.environment.as_str(),
            "generation": document.generation.0,
            "services": services,
            "upstreams": upstreams,
            "limits": limits,
        }),
    }
}
