//! The `plantainquayctl` binary; the exit code is 0 if the outcome is `Passed`, 1 if it is `Failed`
//! and 2 on an error.

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
