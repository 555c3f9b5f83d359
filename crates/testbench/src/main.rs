//! The test bench of wheelpier. The code is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    wheelpier_testbench::main()
}
