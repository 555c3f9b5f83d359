//! Runs each fault script in virtual time with many seeds. `processes.rs` runs the same scripts on processes.

use rstest::rstest;
use std::path::PathBuf;
use wheelpier_testbench::fault_script::Script;

#[rstest]
fn every_script_has_only_allowed_outcomes_in_virtual_time(#[files("fleets/*.yaml")] path: PathBuf) {
    let script = Script::from_file(&path).unwrap();
    for seed in 0..200 {
        let result = script.run_virtually(seed);
        let violations = script.violations(&result);
        let last: Vec<String> = result.history.iter().rev().take(60).rev().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}\n{}", last.join("\n"));
    }
}
