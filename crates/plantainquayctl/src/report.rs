//! What a command answers.

use serde_json::Value;

/// Whether the answer to the operator's question is yes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Good; exit code 0.
    Yes,
    /// The answer is no; exit code 1.
    No,
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
    pub answer: Answer,
    /// For people, without a final line break.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Report {
    /// The report in one form.
    #[must_use]
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Text => self.text.clone(),
            OutputFormat::Json => self.json.to_string(),
        }
    }
}
