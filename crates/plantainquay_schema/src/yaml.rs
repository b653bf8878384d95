//! YAML parsing into wire types.

use std::fmt;

use serde::de::{DeserializeOwned, Deserializer, Error, Visitor};

use crate::{ValidationError, ValidationErrors};

/// Maximum size of the input, in bytes.
pub(crate) const MAX_BYTES: usize = 16 << 20;

/// Words of the parser's messages about a value, as opposed to the syntax.
const VALUE_ERRORS: [&str; 2] = ["invalid", "non-finite"];

/// Parses `text`; a syntax error includes the line number reported by the parser.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    if text.len() > MAX_BYTES {
        return Err(validation_error(format!("longer than {MAX_BYTES} bytes")));
    }
    serde_saphyr::from_str(text).map_err(|error| validation_error(describe_error(&error, text)))
}

fn validation_error(reason: String) -> ValidationErrors {
    ValidationErrors::from(ValidationError {
        path: String::new(),
        reason,
    })
}

/// Deserializes an optional number, whole or with a fraction.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    deserializer.deserialize_option(NumberVisitor)
}

struct NumberVisitor;

impl<'de> Visitor<'de> for NumberVisitor {
    type Value = Option<f64>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of at least 0")
    }

    fn visit_none<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Self::Value, E> {
        Ok(Some(v))
    }

    #[expect(clippy::cast_precision_loss, reason = "far beyond any limit")]
    fn visit_u64<E: Error>(self, v: u64) -> Result<Self::Value, E> {
        Ok(Some(v as f64))
    }

    #[expect(clippy::cast_precision_loss, reason = "far beyond any limit")]
    fn visit_i64<E: Error>(self, v: i64) -> Result<Self::Value, E> {
        Ok(Some(v as f64))
    }
}

/// Returns the first line of the parser's message, with the key of the line that it is about; the
/// following lines repeat the input.
fn describe_error(error: &serde_saphyr::Error, input: &str) -> String {
    let text = error.to_string();
    let first_line = text.lines().next().unwrap_or_default();
    let Some(location) = error.location() else {
        return first_line.to_owned();
    };
    let message = if first_line.contains("line") {
        first_line.to_owned()
    } else {
        format!("line {}: {first_line}", location.line())
    };
    let is_about_value = VALUE_ERRORS.iter().any(|words| message.contains(words));
    // The value itself may be a secret.
    match key_at(input, location.line()).filter(|key| is_about_value && !message.contains(*key)) {
        Some(key) => format!("{message} in `{key}`"),
        None => message,
    }
}

/// Returns the key of a line `key: value`, counted from one.
fn key_at(input: &str, line: u64) -> Option<&str> {
    let index = usize::try_from(line).ok()?.checked_sub(1)?;
    let (key, _) = input.lines().nth(index)?.split_once(':')?;
    let key = key.trim_start_matches([' ', '-']);
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    (!key.is_empty() && key.chars().all(is_name)).then_some(key)
}
