//! Results of commands.

use plantainquay_schema::ValidationErrors;
use serde_json::{Value, json};

/// Outcome of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The check passed or the query found a result; exit code 0.
    Passed,
    /// The check failed or the query found no result; exit code 1.
    Failed,
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Result of a command, in every output format.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Determines the exit code.
    pub outcome: Outcome,
    /// Human-readable text, without a final line break.
    pub text: String,
    /// JSON for programs.
    pub json: Value,
}

impl Report {
    /// Builds the report of a check that found validation errors.
    pub(crate) fn from_validation_errors(errors: &[&ValidationErrors]) -> Self {
        let text: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let error_list = errors.iter().flat_map(|errors| errors.iter());
        let error_list =
            error_list.map(|error| json!({ "path": error.path, "reason": error.reason }));
        Self {
            outcome: Outcome::Failed,
            text: text.join("\n"),
            json: json!({ "good": false, "faults": error_list.collect::<Vec<_>>() }),
        }
    }

    /// Renders the report in the given format.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.text.clone(),
            OutputFormat::Json => self.json.to_string(),
        }
    }
}
