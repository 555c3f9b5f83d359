//! The laboratory of wheelpier: see the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    wheelpier_testbench::main()
}
