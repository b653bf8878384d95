//! The whole path as separate processes, from callers through balancers and agents to upstreams.
//!
//! `cargo run --release --example demo`. The runner starts this program again for each process;
//! a balancer stops, another joins, an upstream drains and generations are published in mid-run.
//! The last line's figures are counted at the callers and the upstreams.

mod cluster;
mod load;
mod options;
mod scenario;
mod summary;

use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use options::{Mode, Options};

fn main() -> ExitCode {
    let result = match options::parse() {
        Mode::Run(options) => run(&options),
        Mode::Process { kind, file } => run_process(&kind, &file).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<bool> {
    let threads = tokio::runtime::Runtime::new()?;
    let summary = threads.block_on(scenario::run(options))?;
    println!("{summary}");
    Ok(summary.is_good())
}

/// One process of the demo.
fn run_process(kind: &str, file: &Path) -> Result<()> {
    match kind {
        "daemon" => plantainquayd::run(plantainquayd::load_settings(file)?),
        "platform" => stand_ins::run_platform(std::fs::read_to_string(file)?.trim().parse()?),
        "fabric" => stand_ins::run_fabric(&from_yaml(file)?),
        "upstream" => stand_ins::run_upstream(from_yaml(file)?),
        _ => bail!("no process `{kind}`"),
    }
}

fn from_yaml<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T> {
    let text = std::fs::read_to_string(file)?;
    serde_saphyr::from_str(&text).with_context(|| file.display().to_string())
}
