//! Structured logging as `key=value` lines, and the metrics recorder.

use std::fmt::{Display, Write as _};
use std::time::Instant;

use log::Level;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::log_sink::consume_budget;

/// Maximum length of a logged value in characters; the rest is left out.
///
/// Enough for a list of validation errors; values that others wrote can be megabytes long.
const MAX_VALUE_CHARS: usize = 2_000;

/// Bounds of the buckets of every histogram, in seconds.
const HISTOGRAM_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0, 60.0, 600.0, 3600.0,
];

/// Logs one event as `level=… event=… key=value …`.
///
/// Events beyond a per-name budget for each second are left out; the next line counts them.
pub fn event(level: Level, name: &str, pairs: &[(&str, &dyn Display)]) {
    if level > log::max_level() {
        return;
    }
    let Some(left_out) = consume_budget(name, Instant::now()) else {
        return;
    };
    let mut line = format!("level={} event={name}", level.as_str().to_ascii_lowercase());
    for (key, value) in pairs {
        line.push(' ');
        line.push_str(key);
        line.push('=');
        push_value(&mut line, &value.to_string());
    }
    if left_out > 0 {
        // Writing to a string never fails.
        let _infallible = write!(line, " left_out={left_out}");
    }
    log::log!(target: "plantainquay", level, "{line}");
}

/// Installs the recorder that `/metrics` renders.
///
/// # Errors
///
/// Fails when a recorder is installed already.
pub fn init_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS)?
        .install_recorder()
}

/// Appends a value, shortened if it is long, and quoted unless it is a single plain word.
fn push_value(line: &mut String, value: &str) {
    let value = match value.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => &format!("{}…", &value[..end]),
        None => value,
    };
    let is_plain = |c: char| !c.is_whitespace() && c != '"' && c != '=' && !c.is_control();
    if !value.is_empty() && value.chars().all(is_plain) {
        line.push_str(value);
        return;
    }
    // Writing to a string never fails.
    let _infallible = write!(line, "{value:?}");
}
