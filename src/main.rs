//! The proxy of wheelpier: see the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    match wheelpier::run_from_env() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("wheelpier: {problem}");
            ExitCode::FAILURE
        }
    }
}
