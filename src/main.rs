//! The proxy of wheelpier: see the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    wheelpier::cli::main()
}
