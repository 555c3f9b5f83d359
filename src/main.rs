//! The `wheelpier` program. The library contains its implementation.

use std::process::ExitCode;

fn main() -> ExitCode {
    wheelpier::cli::main()
}
