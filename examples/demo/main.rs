//! Runs the whole system as separate processes: balancers, agents and upstreams, under load.
//!
//! `cargo run --release --example demo`. The runner starts this program again for each process.
//! During the run, a balancer stops, another one joins, an upstream drains and new generations of
//! the document are published. The last line prints figures counted at the callers and upstreams.

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
