//! Tests of a fleet of several processes of the program. Each fault script runs on them, and their histories
//! are checked against the membership rules and the outcomes that the script allows, with generous time
//! limits. `fault_scripts.rs` runs the same scripts in virtual time.

use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use wheelpier_testbench::fault_script::Script;
use wheelpier_testbench::history::EventKind;
use wheelpier_testbench::processes::Processes;

/// Maximum wait for a state of the fleet, long enough for a busy machine.
const PATIENCE: Duration = Duration::from_secs(40);

async fn founded(members: usize, founders: usize, seed: u64) -> Processes {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_wheelpier-testbench"));
    let fleet = Processes::start_on(program, (members, founders), seed, None).await.unwrap();
    let all: Vec<usize> = (0..founders).collect();
    fleet.wait_until("all found the fleet", PATIENCE, |fleet| fleet.agree_on_view(&all)).await;
    fleet
}

#[rstest]
#[tokio::test]
async fn every_script_has_only_allowed_outcomes_on_processes(#[files("fleets/*.yaml")] path: PathBuf) {
    let script = Script::from_file(&path).unwrap();
    let seed = 7;
    let mut fleet = founded(script.proxies, script.founders(), seed).await;
    let result = script.run(&mut fleet).await.unwrap();
    let violations = script.violations(&result);
    assert!(
        violations.is_empty(),
        "{} with seed {seed}: {violations:#?}\n{}",
        path.display(),
        fleet.recent_output()
    );
}

/// The history must report different causes for a killed member and for one that leaves.
#[tokio::test]
async fn the_history_distinguishes_a_kill_from_a_leave() {
    let mut fleet = founded(4, 4, 8).await;
    assert!(fleet.leave(2, PATIENCE).await, "{}", fleet.recent_output());
    fleet
        .wait_until("the three remaining processes agree", PATIENCE, |fleet| fleet.agree_on_view(&[0, 1, 3]))
        .await;
    fleet.kill(1);
    fleet
        .wait_until("the two remaining processes agree", PATIENCE, |fleet| fleet.agree_on_view(&[0, 3]))
        .await;
    let history = fleet.history();
    let causes = |name: &str| -> Vec<&str> {
        let own = ["Founded", "Joined", "LeaseHeld", "Fenced", "Stood", "Free"];
        let of = history.iter().filter_map(|event| match &event.kind {
            EventKind::Change { who, cause, .. } if who.starts_with(name) => Some(cause.as_str()),
            _ => None,
        });
        of.filter(|cause| !own.contains(cause)).collect()
    };
    assert!(
        !causes("p2#").is_empty() && causes("p2#").iter().all(|cause| *cause == "Left"),
        "{}",
        fleet.recent_output()
    );
    assert!(
        !causes("p1#").is_empty() && causes("p1#").iter().all(|cause| *cause == "Gone"),
        "{}",
        fleet.recent_output()
    );
}
