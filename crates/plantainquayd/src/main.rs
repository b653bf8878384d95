//! `plantainquayd --settings FILE`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

/// Exit code for settings that can't be used.
const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("clap requires the argument");
    let settings = match plantainquayd::load_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("plantainquayd: {error}");
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    match plantainquayd::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantainquayd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in YAML");
    Command::new("plantainquayd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("plantainquay daemon: balancer or agent, as its settings say")
        .arg(settings)
}
