//! YAML parsing into wire types.

use serde::de::DeserializeOwned;

use crate::{ValidationError, ValidationErrors};

/// Maximum size of the input, in bytes.
pub(crate) const MAX_BYTES: usize = 16 << 20;

/// Parses `text`; a syntax error includes the line number reported by the parser.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    if text.len() > MAX_BYTES {
        return Err(validation_error(format!("longer than {MAX_BYTES} bytes")));
    }
    serde_saphyr::from_str(text).map_err(|error| validation_error(describe_error(&error)))
}

fn validation_error(reason: String) -> ValidationErrors {
    ValidationErrors::from(ValidationError {
        path: String::new(),
        reason,
    })
}

/// Returns the first line of the parser's message; the following lines repeat the input.
fn describe_error(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let first_line = text.lines().next().unwrap_or_default();
    match error.location() {
        Some(location) if !first_line.contains("line") => {
            format!("line {}: {first_line}", location.line())
        }
        _ => first_line.to_owned(),
    }
}
