//! Command line of the demo.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

const DEFAULT_DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/gusterna.yaml");

/// Role of this process.
pub(crate) enum Mode {
    /// The runner, which starts all other processes.
    Run(Options),
    /// A process that the runner has started.
    Process { kind: String, file: PathBuf },
}

/// Options of the runner.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) flows: usize,
    pub(crate) balancers: usize,
    pub(crate) document: PathBuf,
    pub(crate) changes_per_second: u32,
    pub(crate) seconds: u64,
}

/// Reads the command line.
pub(crate) fn parse() -> Mode {
    let matches = command().get_matches();
    if let Some(kind) = matches.get_one::<String>("process") {
        return Mode::Process {
            kind: kind.clone(),
            file: matches
                .get_one::<PathBuf>("file")
                .cloned()
                .unwrap_or_default(),
        };
    }
    let number = |name: &str| {
        *matches
            .get_one::<u64>(name)
            .expect("the option has a default")
    };
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let document: &PathBuf = matches
        .get_one("document")
        .expect("the option has a default");
    Mode::Run(Options {
        seed: number("seed"),
        flows: count("flows"),
        balancers: count("balancers"),
        document: document.clone(),
        changes_per_second: u32::try_from(number("changes-per-second")).unwrap_or(u32::MAX),
        seconds: number("seconds"),
    })
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("demo")
        .about("Runs the whole system as separate processes, with changes during the run")
        .arg(number("seed", "1", "Seed of the fabric's random choices"))
        .arg(number(
            "flows",
            "200",
            "Feeds that stay open for the whole run",
        ))
        .arg(number("balancers", "3", "Number of balancers at the start"))
        .arg(number(
            "changes-per-second",
            "0",
            "Document changes per second during the run",
        ))
        .arg(number(
            "seconds",
            "20",
            "Duration of the document changes in seconds",
        ))
        .arg(
            Arg::new("document")
                .long("document")
                .value_name("FILE")
                .default_value(DEFAULT_DOCUMENT)
                .value_parser(value_parser!(PathBuf))
                .help("YAML document with services and facts"),
        )
        .arg(Arg::new("process").long("process").hide(true))
        .arg(
            Arg::new("file")
                .long("file")
                .hide(true)
                .value_parser(value_parser!(PathBuf)),
        )
}
