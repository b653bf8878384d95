//! `plantainquayctl`: exit codes are 0 for good, 1 for no, 2 for wrong use.

use std::process::ExitCode;

use plantainquayctl::{Answer, command, run};

const WRONG_USE: u8 = 2;

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok((report, format)) => {
            println!("{}", report.render(format));
            match report.answer {
                Answer::Yes => ExitCode::SUCCESS,
                Answer::No => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("plantainquayctl: {error}");
            ExitCode::from(WRONG_USE)
        }
    }
}
