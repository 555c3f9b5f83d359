//! Short soaks: a few seeds and scenarios on real processes of the proxy.

use std::process::{Command, Output};

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wheelpier-testbench"))
        .arg("soak")
        .args(arguments)
        .output()
        .expect("the test bench starts")
}

#[test]
fn a_few_seeds_break_no_rule() {
    let output = soak(&["--seeds", "1..6", "--seconds", "5"]);
    let printed = String::from_utf8_lossy(&output.stdout);
    let summary = printed.lines().last().unwrap_or_default();
    assert!(output.status.success(), "{printed}{}", String::from_utf8_lossy(&output.stderr));
    assert!(summary.starts_with("soak: seeds 6, requests "), "{summary}");
    assert!(summary.ends_with(", lost 0, duplicated 0, stale 0, held 0, crashes 0, broken 0"), "{summary}");
}

/// Guards against fresh reads at a former primary whose answers that report the loss of its role got lost.
#[test]
fn former_primaries_get_no_fresh_reads() {
    let output = soak(&["--scenario", "former-primary", "--seeds", "1..3", "--seconds", "10"]);
    let printed = String::from_utf8_lossy(&output.stdout);
    let summary = printed.lines().last().unwrap_or_default();
    assert!(
        summary.starts_with("soak: seeds 3, requests "),
        "{printed}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(summary.contains(", duplicated 0, stale 0, ") && output.status.success(), "{printed}");
}

/// Guards against judging freshness by log positions before a primary's answer has confirmed the offset of
/// the hosts' clock. The replicas lag as much as the clocks of the restarted processes are behind, and would
/// look fresh.
#[test]
fn no_lagging_replica_looks_fresh_to_a_new_process_whose_clock_is_behind() {
    let output = soak(&["--scenario", "lag-like-the-clock", "--seeds", "1..1", "--seconds", "7"]);
    let printed = String::from_utf8_lossy(&output.stdout);
    let summary = printed.lines().last().unwrap_or_default();
    assert!(
        summary.starts_with("soak: seeds 1, requests "),
        "{printed}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(summary.contains(", duplicated 0, stale 0, ") && output.status.success(), "{printed}");
}

#[test]
fn invalid_arguments_are_reported_in_one_line() {
    for wrong in [&["--seeds", "5"][..], &["--seeds", "1..2", "--faults", "weather"], &["--seeds", "9..1"]] {
        let output = soak(wrong);
        let printed = String::from_utf8_lossy(&output.stderr);
        assert_eq!((output.status.code(), printed.lines().count()), (Some(2), 1), "{printed}");
    }
}
