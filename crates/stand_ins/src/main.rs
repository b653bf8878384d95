//! `stand_in --process KIND --file FILE`: runs one process of a test.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

fn main() -> anyhow::Result<()> {
    let matches = Command::new("stand_in")
        .about("Runs one process of a test: daemon, platform, fabric or upstream")
        .arg(Arg::new("process").long("process").required(true))
        .arg(
            Arg::new("file")
                .long("file")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .get_matches();
    let kind: &String = matches
        .get_one("process")
        .expect("clap requires the argument");
    let file: &PathBuf = matches.get_one("file").expect("clap requires the argument");
    stand_ins::run_process(kind, file)
}
