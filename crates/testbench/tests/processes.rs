//! Several processes of the program, with faults between them: each fault script is played on them, and what they say is
//! held against the rules and against the script. Bounds are on outcomes, generous in time. `fault_scripts.rs` plays the same
//! scripts in virtual time.

use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use wheelpier_testbench::fault_script::Script;
use wheelpier_testbench::history::What;
use wheelpier_testbench::processes::Processes;

/// On a busy machine all takes longer.
const PATIENCE: Duration = Duration::from_secs(40);

async fn founded(members: usize, founders: usize, seed: u64) -> Processes {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_wheelpier-testbench"));
    let fleet = Processes::start_on(program, (members, founders), seed, None).await.unwrap();
    let all: Vec<usize> = (0..founders).collect();
    fleet.until("all found the fleet", PATIENCE, |fleet| fleet.agree(&all)).await;
    fleet
}

#[rstest]
#[tokio::test]
async fn every_script_ends_as_it_says_on_processes(#[files("fleets/*.yaml")] path: PathBuf) {
    let script = Script::from_file(&path).unwrap();
    let seed = 7;
    let mut fleet = founded(script.proxies, script.founders(), seed).await;
    let played = script.play(&mut fleet).await.unwrap();
    let faults = script.faults(&played);
    assert!(faults.is_empty(), "{} with seed {seed}: {faults:#?}\n{}", path.display(), fleet.recent_output());
}

/// What a person sees: the causes of a death and of a leave.
#[tokio::test]
async fn the_history_tells_a_death_from_a_leave() {
    let mut fleet = founded(4, 4, 8).await;
    assert!(fleet.leave(2, PATIENCE).await, "{}", fleet.recent_output());
    fleet.until("three go on", PATIENCE, |fleet| fleet.agree(&[0, 1, 3])).await;
    fleet.kill(1);
    fleet.until("two go on", PATIENCE, |fleet| fleet.agree(&[0, 3])).await;
    let history = fleet.history();
    let causes = |name: &str| -> Vec<&str> {
        let own = ["Founded", "Joined", "LeaseHeld", "Fenced", "Stood", "Free"];
        let of = history.iter().filter_map(|event| match &event.what {
            What::Change { who, cause, .. } if who.starts_with(name) => Some(cause.as_str()),
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
