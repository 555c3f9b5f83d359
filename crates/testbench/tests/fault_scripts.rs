//! Each fault script in virtual time, with many seeds. `processes.rs` plays some of them on processes.

use rstest::rstest;
use std::path::PathBuf;
use wheelpier_testbench::fault_script::Script;

#[rstest]
fn every_script_ends_as_it_says_in_virtual_time(#[files("fleets/*.yaml")] path: PathBuf) {
    let script = Script::from_file(&path).unwrap();
    for seed in 0..200 {
        let played = script.play_virtually(seed);
        let faults = script.faults(&played);
        let last: Vec<String> = played.history.iter().rev().take(60).rev().map(ToString::to_string).collect();
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}\n{}", last.join("\n"));
    }
}
