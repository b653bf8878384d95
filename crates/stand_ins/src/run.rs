//! Selects the process to run by its kind.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::de::DeserializeOwned;

use crate::{run_fabric, run_platform, run_upstream};

/// Runs a process of the given `kind` with the settings in `file` until it exits.
///
/// # Errors
///
/// Fails when `kind` is unknown, the settings are invalid or the process can't start.
pub fn run_process(kind: &str, file: &Path) -> Result<()> {
    match kind {
        "daemon" => plantainquayd::run(plantainquayd::load_settings(file)?),
        "platform" => run_platform(std::fs::read_to_string(file)?.trim().parse()?),
        "fabric" => run_fabric(&read_yaml(file)?),
        "upstream" => run_upstream(read_yaml(file)?),
        _ => bail!("unknown process kind `{kind}`"),
    }
}

fn read_yaml<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let text = std::fs::read_to_string(file)?;
    serde_saphyr::from_str(&text).with_context(|| file.display().to_string())
}
