//! Development tasks: `cargo xtask codegen [--check]` generates or checks the code of the schema.

mod codegen;

use anyhow::Result;
use clap::{Arg, ArgAction, Command};

fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("codegen", sub)) if sub.get_flag("check") => codegen::check(),
        Some(("codegen", _)) => codegen::write(),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Fail when the committed code is out of date");
    Command::new("xtask")
        .about("Development tasks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("codegen")
                .about("Generate Rust code from the schema")
                .arg(check),
        )
}
