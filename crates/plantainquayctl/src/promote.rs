//! The command `promote TRIAL PRODUCTION`: checks if a trial document may be promoted.

use std::path::Path;

use plantainquay_schema::Document;
use serde_json::json;

use crate::load::CommandError;
use crate::{Outcome, Report, load_document};

/// Checks if the production document may replace the document that is in force in production.
///
/// The voted content of the trial and production documents must be identical, and their
/// environments must differ. If `in_force` is given, the production document must be for the same
/// environment and have a higher generation.
///
/// # Errors
///
/// Returns an error if a document can't be read or is invalid.
pub fn promote(
    trial: &Path,
    production: &Path,
    in_force: Option<&Path>,
) -> Result<Report, CommandError> {
    let trial = load_document(trial)?;
    let production = load_document(production)?;
    let in_force = in_force.map(load_document).transpose()?;
    let reasons = blocking_reasons(&trial, &production, in_force.as_ref());
    let voted_digest = production.voted_digest().to_string();
    let outcome = if reasons.is_empty() {
        Outcome::Passed
    } else {
        Outcome::Failed
    };
    let text = if reasons.is_empty() {
        format!(
            "may be promoted: generation {}, voted digest {voted_digest}",
            production.generation
        )
    } else {
        reasons.join("\n")
    };
    let json = json!({
        "may_promote": reasons.is_empty(),
        "reasons": reasons,
        "voted": voted_digest,
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
            "the voted digests differ: trial {}, production {}",
            trial.voted_digest(),
            production.voted_digest()
        ));
    }
    if trial.environment == production.environment {
        reasons.push(format!(
            "both documents are for environment {}",
            trial.environment
        ));
    }
    let Some(in_force) = in_force else {
        return reasons;
    };
    if in_force.environment != production.environment {
        reasons.push(format!(
            "the document in force is for environment {}",
            in_force.environment
        ));
    }
    if in_force.generation >= production.generation {
        reasons.push(format!(
            "generation {} is not higher than generation {}, which is in force",
            production.generation, in_force.generation
        ));
    }
    reasons
}
