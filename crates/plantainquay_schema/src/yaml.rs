//! YAML to wire types.

use serde::de::DeserializeOwned;

use crate::{ValidationError, ValidationErrors};

/// Largest input that is parsed, in bytes.
pub(crate) const MAX_BYTES: usize = 16 << 20;

/// Parses `text`; a syntax fault carries the line that the parser gives.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    if text.len() > MAX_BYTES {
        return Err(fault(format!("longer than {MAX_BYTES} bytes")));
    }
    serde_saphyr::from_str(text).map_err(|error| fault(describe(&error)))
}

fn fault(reason: String) -> ValidationErrors {
    ValidationErrors::from(ValidationError {
        path: String::new(),
        reason,
    })
}

/// The parser's first line; the lines after it repeat the input.
fn describe(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    match error.location() {
        Some(at) if !first.contains("line") => format!("line {}: {first}", at.line()),
        _ => first.to_owned(),
    }
}
