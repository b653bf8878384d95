//! The whole path as separate processes, from callers through balancers and agents to upstreams.
//!
//! `cargo run --release --example demo`. The runner starts this program again for each process;
//! a balancer stops, another joins, an upstream drains and generations are published in mid-run.
//! The last line's figures are counted at the callers and the upstreams.

mod load;
mod options;
mod scenario;
mod summary;

use std::process::ExitCode;

use anyhow::Result;
use options::{Mode, Options};

fn main() -> ExitCode {
    let result = match options::parse() {
        Mode::Run(options) => run(&options),
        Mode::Process { kind, file } => stand_ins::run_process(&kind, &file).map(|()| true),
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
    let runtime = tokio::runtime::Runtime::new()?;
    let summary = runtime.block_on(scenario::run(options))?;
    println!("{summary}");
    Ok(summary.is_success())
}
