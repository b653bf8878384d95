//! What a command answers.

use plantainquay_schema::ValidationErrors;
use serde_json::{Value, json};

/// Whether the answer to the operator's question is yes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Good; exit code 0.
    Passed,
    /// The answer is no; exit code 1.
    Failed,
}

/// How a report is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// A command's answer, in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Yes or no.
    pub outcome: Outcome,
    /// For people, without a final line break.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Report {
    /// The answer to a check that has found faults.
    pub(crate) fn from_validation_errors(errors: &[&ValidationErrors]) -> Self {
        let text: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let error_list = errors.iter().flat_map(|errors| errors.iter());
        let error_list = error_list.map(|f| json!({ "path": f.path, "reason": f.reason }));
        Self {
            outcome: Outcome::Failed,
            text: text.join("\n"),
            json: json!({ "good": false, "faults": error_list.collect::<Vec<_>>() }),
        }
    }

    /// The report in one form.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.text.clone(),
            OutputFormat::Json => self.json.to_string(),
        }
    }
}
