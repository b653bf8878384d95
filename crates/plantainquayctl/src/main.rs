//! `plantainquayctl`: exit codes are 0 for good, 1 for no, 2 for wrong use.

use std::process::ExitCode;

use plantainquayctl::{Outcome, command, run};

const ERROR_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok((report, format)) => {
            println!("{}", report.render(format));
            match report.outcome {
                Outcome::Passed => ExitCode::SUCCESS,
                Outcome::Failed => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("plantainquayctl: {error}");
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}
