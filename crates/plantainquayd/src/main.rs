//! Command line of the daemon: `plantainquayd --settings FILE` or `plantainquayd platform`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

/// Subcommand that runs the daemon with the platform's adapter.
const PLATFORM_SUBCOMMAND: &str = "platform";
/// Exit code for missing or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    if matches.subcommand_matches(PLATFORM_SUBCOMMAND).is_some() {
        return run_on_platform();
    }
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires the argument");
    let settings = match plantainquayd::load_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("plantainquayd: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    exit_code(plantainquayd::run(settings))
}

fn run_on_platform() -> ExitCode {
    let Some(settings_path) = plantainquay_platform::settings_path() else {
        eprintln!("plantainquayd: the environment contains no path of a settings file");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    exit_code(plantainquayd::run_relay(plantainquayd::RelayAdapter {
        format: plantainquay_platform::packet_format(),
        store_reader: plantainquay_platform::store_reader,
        settings_path,
    }))
}

fn exit_code(result: Result<(), plantainquayd::DaemonError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantainquayd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn build_command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Path of the settings file (YAML)");
    Command::new("plantainquayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs a plantainquay balancer or agent, depending on the settings file")
        .arg(settings)
        .subcommand_negates_reqs(true)
        .subcommand(
            Command::new(PLATFORM_SUBCOMMAND)
                .about("Run with the settings file, packet format and store of the platform"),
        )
}
