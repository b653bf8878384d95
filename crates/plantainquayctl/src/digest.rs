//! The command `digest FILE`: computes the digests of a document.

use std::path::Path;

use serde_json::json;

use crate::load::CommandError;
use crate::{Outcome, Report, load_document};

/// Computes the digests of the voted content and of the whole document.
///
/// # Errors
///
/// Returns an error if the document can't be read or is invalid.
pub fn digest(path: &Path) -> Result<Report, CommandError> {
    let document = load_document(path)?;
    let (voted_digest, whole_digest) = (
        document.voted_digest().to_string(),
        document.digest().to_string(),
    );
    Ok(Report {
        outcome: Outcome::Passed,
        text: format!("voted {voted_digest}\nwhole {whole_digest}"),
        json: json!({ "voted": voted_digest, "whole": whole_digest }),
    })
}
