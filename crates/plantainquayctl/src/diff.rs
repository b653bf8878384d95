//! The command `diff OLD NEW`: compares two documents.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plantainquay_core::{BucketTable, moved_share};
use plantainquay_schema::{Document, Limit, Resource, Service, Upstream, UpstreamState};
use serde_json::{Value, json};

use crate::load::CommandError;
use crate::{Outcome, Report, load_document};

/// Lists the differences between two documents, with the share of buckets of each service that
/// change owner.
///
/// # Errors
///
/// Returns an error if a document can't be read or is invalid.
pub fn diff(old: &Path, new: &Path) -> Result<Report, CommandError> {
    let (old, new) = (load_document(old)?, load_document(new)?);
    let changes: Vec<ServiceChange> = service_pairs(&old, &new)
        .into_values()
        .filter_map(|(old, new)| ServiceChange::between(old, new))
        .collect();
    let mut text = format!("generation {} -> {}", old.generation, new.generation);
    for change in &changes {
        change.write_text(&mut text);
    }
    if changes.is_empty() {
        text.push_str("\nno service changes");
    }
    Ok(Report {
        outcome: Outcome::Passed,
        text,
        json: json!({
            "old_generation": old.generation.0,
            "new_generation": new.generation.0,
            "services": changes.iter().map(ServiceChange::to_json).collect::<Vec<_>>(),
        }),
    })
}

type ServicePair<'a> = (Option<&'a Service>, Option<&'a Service>);

fn service_pairs<'a>(old: &'a Document, new: &'a Document) -> BTreeMap<&'a str, ServicePair<'a>> {
    let mut pairs: BTreeMap<&str, ServicePair<'_>> = BTreeMap::new();
    for service in &old.services {
        pairs.entry(service.name.as_str()).or_default().0 = Some(service);
    }
    for service in &new.services {
        pairs.entry(service.name.as_str()).or_default().1 = Some(service);
    }
    pairs
}

/// Differences in one service.
struct ServiceChange {
    name: String,
    lines: Vec<String>,
    moved_percent: f64,
}

impl ServiceChange {
    fn between(old: Option<&Service>, new: Option<&Service>) -> Option<Self> {
        let name = old.or(new)?.name.to_string();
        let (lines, moved_share) = match (old, new) {
            (Some(old), Some(new)) if old == new => return None,
            (Some(old), Some(new)) => (describe_changes(old, new), moved_bucket_share(old, new)),
            (None, _) => (vec!["+ service".to_owned()], 1.0),
            (_, None) => (vec!["- service".to_owned()], 1.0),
        };
        Some(Self {
            name,
            lines,
            moved_percent: moved_share * 100.0,
        })
    }

    fn write_text(&self, text: &mut String) {
        // Writing to a string never fails.
        let _infallible = write!(
            text,
            "\nservice {}: {:.1}% of buckets move",
            self.name, self.moved_percent
        );
        for line in &self.lines {
            let _infallible = write!(text, "\n  {line}");
        }
    }

    fn to_json(&self) -> Value {
        json!({
            "service": self.name,
            "changes": self.lines,
            "moved_percent": (self.moved_percent * 10.0).round() / 10.0,
        })
    }
}

fn moved_bucket_share(old: &Service, new: &Service) -> f64 {
    moved_share(&BucketTable::build(old), &BucketTable::build(new))
}

fn describe_changes(old: &Service, new: &Service) -> Vec<String> {
    let mut lines = Vec::new();
    let upstream_pair = |u: &Upstream| (format!("upstream {}", u.number), describe_upstream(u));
    append_differences(
        old.upstreams.iter().map(upstream_pair),
        new.upstreams.iter().map(upstream_pair),
        &mut lines,
    );
    let limit_pair = |l: &Limit| (describe_limit(l), l.amount.to_string());
    append_differences(
        old.limits.iter().map(limit_pair),
        new.limits.iter().map(limit_pair),
        &mut lines,
    );
    if old.listeners != new.listeners {
        lines.push("~ listeners".to_owned());
    }
    if old.classes != new.classes {
        lines.push("~ classes".to_owned());
    }
    if old.addresses != new.addresses {
        lines.push("~ addresses".to_owned());
    }
    lines
}

/// Appends a line for each key that was added or removed or whose value changed.
fn append_differences(
    old: impl Iterator<Item = (String, String)>,
    new: impl Iterator<Item = (String, String)>,
    lines: &mut Vec<String>,
) {
    let mut pairs: BTreeMap<String, (Option<String>, Option<String>)> = BTreeMap::new();
    for (key, value) in old {
        pairs.entry(key).or_default().0 = Some(value);
    }
    for (key, value) in new {
        pairs.entry(key).or_default().1 = Some(value);
    }
    for (key, pair) in pairs {
        match pair {
            (Some(old), Some(new)) if old == new => {}
            (Some(old), Some(new)) => lines.push(format!("~ {key}: {old} -> {new}")),
            (Some(old), None) => lines.push(format!("- {key}: {old}")),
            (None, Some(new)) => lines.push(format!("+ {key}: {new}")),
            (None, None) => {}
        }
    }
}

fn describe_upstream(upstream: &Upstream) -> String {
    let state = match upstream.state {
        UpstreamState::Serving => "serving",
        UpstreamState::Draining => "draining",
    };
    format!(
        "{} in {}, {} slots, {} connections, agent {}, {state}",
        upstream.name, upstream.data_centre, upstream.slots, upstream.connections, upstream.agent
    )
}

fn describe_limit(limit: &Limit) -> String {
    let resource = match limit.resource {
        Resource::ConcurrentRequests => "concurrent requests",
        Resource::OpenFlows => "open flows",
        Resource::RequestsPerSecond => "requests per second",
    };
    match &limit.class {
        Some(class) => format!("limit on {resource} of {} for {class}", limit.member),
        None => format!("limit on {resource} of {}", limit.member),
    }
}
