//! Runs a named experiment: two policies of the relay under the same load and faults.
//!
//! `cargo run --release --example experiment -- NAME [--rates 200,400] [--seeds 5] [--out FOLDER]`.
//! Prints a table, and writes `NAME.csv` and `NAME.svg` into the folder. `--list` prints
//! the experiments. The decisions are the daemon's; time, messages and upstreams are simulated in
//! memory, so results are reproducible from the seeds.

mod experiments;
mod report;

use std::path::PathBuf;

use anyhow::{Context as _, Result, ensure};
use clap::{Arg, ArgAction, Command, value_parser};
use experiments::{Experiment, all};
use plantainquay_trace::RelayLoad;
use report::{Point, Report};

/// Maximum number of flows per run; each needs its own source port above 10,000.
const MAX_FLOWS: usize = 50_000;

fn main() -> Result<()> {
    let matches = command().get_matches();
    let experiments = all();
    if matches.get_flag("list") {
        for experiment in &experiments {
            println!("{:<12} {}", experiment.name, experiment.description);
        }
        return Ok(());
    }
    let name: &String = matches
        .get_one("NAME")
        .context("missing experiment name; `--list` prints all names")?;
    let experiment = experiments.iter().find(|e| e.name == name.as_str());
    let experiment = experiment.with_context(|| format!("unknown experiment `{name}`"))?;
    let rates: Vec<f64> = match matches.get_many("rates") {
        Some(rates) => rates.copied().collect(),
        None => experiment.rates.to_vec(),
    };
    let seeds: u64 = *matches
        .get_one("seeds")
        .context("the option has a default")?;
    let report = run_experiment(experiment, &rates, seeds)?;
    print!("{report}");
    let out: &PathBuf = matches.get_one("out").context("the option has a default")?;
    report.write(out, experiment.name)
}

fn command() -> Command {
    Command::new("experiment")
        .about("Runs two policies of the relay under the same load and faults")
        .arg(Arg::new("NAME").help("Name of the experiment"))
        .arg(
            Arg::new("list")
                .long("list")
                .action(ArgAction::SetTrue)
                .help("List the experiments"),
        )
        .arg(
            Arg::new("rates")
                .long("rates")
                .value_delimiter(',')
                .value_parser(value_parser!(f64))
                .help("Offered rates in flows per second [default: the rates of the experiment]"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..))
                .help("Number of runs per rate and policy, with seeds from 1"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FOLDER")
                .default_value("target/experiment")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run_experiment(experiment: &Experiment, rates: &[f64], seeds: u64) -> Result<Report> {
    let mut report = Report::new(experiment);
    for rate in rates {
        let load = RelayLoad {
            rate: *rate,
            ..experiment.load.clone()
        };
        ensure!(
            rate.is_finite() && *rate > 0.0 && load.flow_count() <= MAX_FLOWS,
            "rate {rate} must be above 0 and produce at most {MAX_FLOWS} flows"
        );
        for policy in &experiment.policies {
            let mut point = Point::new(*rate, policy.name)?;
            for seed in 1..=seeds {
                let faults = (experiment.faults)(&load);
                for outcome in load.run(policy.policy, &faults, seed) {
                    point.add(outcome, experiment.target_ms)?;
                }
            }
            report.add(point);
        }
    }
    Ok(report)
}
