//! `digest FILE`: which voted text is this?

use std::path::Path;

use serde_json::json;

use crate::load::CommandError;
use crate::{Outcome, Report, load_document};

/// Digests of the voted part and of the whole document.
///
/// # Errors
///
/// Fails when the document can't be read or has faults.
pub fn digest(path: &Path) -> Result<Report, CommandError> {
    let document = load_document(path)?;
    let (voted, whole) = (
        document.voted_digest().to_string(),
        document.digest().to_string(),
    );
    Ok(Report {
        outcome: Outcome::Passed,
        text: format!("voted {voted}\nwhole {whole}"),
        json: json!({ "voted": voted, "whole": whole }),
    })
}
