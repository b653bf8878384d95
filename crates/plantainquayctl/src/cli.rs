//! Command-line parsing and dispatch.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::load::CommandError;
use crate::{
    OutputFormat, Report, check, check_routes, diff, digest, explain, explain_routes, promote,
    status,
};

/// Builds the command-line parser.
#[must_use]
pub fn command() -> Command {
    let output = Arg::new("output")
        .long("output")
        .global(true)
        .default_value("text")
        .value_parser(["text", "json"])
        .help("Output format");
    Command::new("plantainquayctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and compares plantainquay documents and queries daemons; read-only.")
        .after_help("Exit codes: 0 passed, 1 failed, 2 error.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output)
        .subcommand(
            Command::new("check")
                .about("List the validation errors of a document")
                .arg(file_arg("FILE")),
        )
        .subcommand(
            Command::new("diff")
                .about("Show the differences between two documents")
                .arg(file_arg("OLD"))
                .arg(file_arg("NEW")),
        )
        .subcommand(
            Command::new("digest")
                .about("Show the digests of a document")
                .arg(file_arg("FILE")),
        )
        .subcommand(
            Command::new("explain")
                .about("Show where a daemon would forward a flow, and why")
                .arg(text_arg(
                    "ADDRESS",
                    "ip:port of the endpoint where the daemon serves changes",
                ))
                .args(flow_args()),
        )
        .subcommand(
            Command::new("promote")
                .about("Check if a trial document may be promoted to production")
                .arg(file_arg("TRIAL"))
                .arg(file_arg("PRODUCTION"))
                .arg(
                    file_arg("IN_FORCE")
                        .long("in-force")
                        .required(false)
                        .help("The document in force in production"),
                ),
        )
        .subcommand(routes_command())
        .subcommand(
            Command::new("status")
                .about("Show the status of daemons")
                .arg(
                    Arg::new("ADDRESS")
                        .required(true)
                        .action(ArgAction::Append)
                        .num_args(1..)
                        .help("ip:port of a daemon's HTTP endpoint"),
                ),
        )
}

/// Runs the command selected on the command line.
///
/// # Errors
///
/// Returns an error if an argument is invalid, a file can't be read or is invalid, or a daemon
/// doesn't respond.
pub fn run(matches: &ArgMatches) -> Result<(Report, OutputFormat), CommandError> {
    let format = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    };
    let report = match matches.subcommand() {
        Some(("check", sub)) => check(path_value(sub, "FILE"))?,
        Some(("diff", sub)) => diff(path_value(sub, "OLD"), path_value(sub, "NEW"))?,
        Some(("digest", sub)) => digest(path_value(sub, "FILE"))?,
        Some(("explain", sub)) => explain(
            text_value(sub, "ADDRESS"),
            text_value(sub, "CALLER"),
            text_value(sub, "LISTENER"),
        )?,
        Some(("promote", sub)) => {
            let in_force = sub.get_one::<PathBuf>("IN_FORCE").map(PathBuf::as_path);
            promote(
                path_value(sub, "TRIAL"),
                path_value(sub, "PRODUCTION"),
                in_force,
            )?
        }
        Some(("routes", sub)) => run_routes(sub)?,
        Some(("status", sub)) => {
            let addresses = sub.get_many::<String>("ADDRESS").into_iter().flatten();
            status(addresses.map(String::as_str))?
        }
        _ => unreachable!("clap requires a known subcommand"),
    };
    Ok((report, format))
}

/// Builds the subcommands for files in the platform's format.
fn routes_command() -> Command {
    let upstreams_arg = |required| {
        file_arg("UPSTREAMS")
            .long("upstreams")
            .required(required)
            .help("Response of the store to a read of all items")
    };
    Command::new("routes")
        .about("Check or explain routes in the platform's format")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("List the validation errors of routes, and of upstreams if given")
                .arg(file_arg("FILE"))
                .arg(upstreams_arg(false)),
        )
        .subcommand(
            Command::new("explain")
                .about("Show where a daemon with these files would forward a flow, and why")
                .arg(file_arg("FILE"))
                .arg(upstreams_arg(true))
                .args(flow_args()),
        )
}

fn run_routes(matches: &ArgMatches) -> Result<Report, CommandError> {
    match matches.subcommand() {
        Some(("check", sub)) => {
            let upstreams = sub.get_one::<PathBuf>("UPSTREAMS").map(PathBuf::as_path);
            check_routes(path_value(sub, "FILE"), upstreams)
        }
        Some(("explain", sub)) => {
            let (caller, listener) = (text_value(sub, "CALLER"), text_value(sub, "LISTENER"));
            explain_routes(
                path_value(sub, "FILE"),
                path_value(sub, "UPSTREAMS"),
                caller,
                listener,
            )
        }
        _ => unreachable!("clap requires a known subcommand"),
    }
}

/// Builds the arguments that identify a flow.
fn flow_args() -> [Arg; 2] {
    [
        text_arg("CALLER", "ip:port of the caller"),
        text_arg(
            "LISTENER",
            "ip:port of the listener that the caller connects to",
        ),
    ]
}

fn text_value<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn text_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn file_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn path_value<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    let path: &PathBuf = matches.get_one(name).expect("clap requires the argument");
    path
}
