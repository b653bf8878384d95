//! `promote TRIAL PRODUCTION`: may the trial's text follow the document in production?

use std::path::Path;

use plantainquay_schema::Document;
use serde_json::json;

use crate::load::CommandError;
use crate::{Outcome, Report, load_document};

/// Compares the document tried in the trial environment with the one meant for production.
///
/// The voted parts must be the same text, and the generation of the production document must be
/// higher than the one that is in force there, if `in_force` gives it.
///
/// # Errors
///
/// Fails when a document can't be read or has faults.
pub fn promote(
    trial: &Path,
    production: &Path,
    in_force: Option<&Path>,
) -> Result<Report, CommandError> {
    let trial = load_document(trial)?;
    let production = load_document(production)?;
    let in_force = in_force.map(load_document).transpose()?;
    let reasons = blocking_reasons(&trial, &production, in_force.as_ref());
    let voted = production.voted_digest().to_string();
    let outcome = if reasons.is_empty() {
        Outcome::Passed
    } else {
        Outcome::Failed
    };
    let text = if reasons.is_empty() {
        format!(
            "may be promoted: generation {}, voted text {voted}",
            production.generation
        )
    } else {
        reasons.join("\n")
    };
    let json = json!({
        "may_promote": reasons.is_empty(),
        "reasons": reasons,
        "voted": voted,
        "generation": production.generation.0,
    });
    Ok(Report {
        outcome,
        text,
        json,
    })
}

fn blocking_reasons(
    trial: &Document,
    production: &Document,
    in_force: Option<&Document>,
) -> Vec<String> {
    let mut reasons = Vec::new();
    if trial.voted_digest() != production.voted_digest() {
        reasons.push(format!(
            "the voted text differs: trial {}, production {}",
            trial.voted_digest(),
            production.voted_digest()
        ));
    }
    if trial.environment == production.environment {
        reasons.push(format!("both are for environment {}", trial.environment));
    }
    let Some(in_force) = in_force else {
        return reasons;
    };
    if in_force.environment != production.environment {
        reasons.push(format!(
            "the one in force is for environment {}",
            in_force.environment
        ));
    }
    if in_force.generation >= production.generation {
        reasons.push(format!(
            "generation {} does not follow generation {}",
            production.generation, in_force.generation
        ));
    }
    reasons
}
