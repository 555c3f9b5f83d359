//! What comes in one turn of the program with what would end it. The program is stopped (SIGSTOP) until both are there, and
//! continued: it finds a request beside the eviction, the closing or the exit that was due.

use crate::scenario::{play, play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// The scenarios' settings where every class has that deadline, in milliseconds.
fn within(longest: u64) -> String {
    settings_with(|all| {
        for grade in all["grades"].as_array_mut().unwrap() {
            grade["deadline"] = json!(longest as f64 / 1e3);
            // A host that is stopped with the program is late, and must not be spared for it.
            grade["onTime"] = json!(longest as f64 / 1.1e3);
        }
    })
}

/// All 22 seats are taken, and who has been here longest without asking for anything makes room for the next.
#[test]
fn a_request_beside_the_eviction_of_a_newcomer() {
    let text = "
        c1-22 start
        wait 250                            # who means to ask has said so after 200 ms
        proxy send STOP
        c1 send read q1 2900
        c23 send startup
        proxy send CONT
        h1 expect id=q1
        h1 answer c1 one primary
        c2 expect error 53300               # the next who has asked for nothing, once one more comes
        c2 expect closed";
    let (before, after) = text.split_once("c2 expect error").unwrap();
    play(1, &format!("{before}c24 send startup\nc2 expect error{after}"));
}

/// Half of the seats may go to those who have not said who they are: the one here longest makes room.
#[test]
fn a_first_request_beside_the_eviction_of_a_stranger() {
    let text = "
        c1-11 send raw                      # they connect and say nothing
        wait 50
        proxy send STOP
        c1 send startup
        c1 send read q1 2900
        c12 send raw
        proxy send CONT
        c1 expect ready
        h1 expect id=q1
        h1 answer c1 one primary
        c13 send raw
        c2 expect closed";
    play(1, text);
}

/// Three quarters of the seats are taken: those who have been idle for 2 s are asked to leave.
#[test]
fn a_request_beside_the_call_to_make_room() {
    let text = "
        c1-16 start
        c1-16 send text
        c1-16 expect empty
        wait 2050
        proxy send STOP
        c1 send read q1 2900
        c17-18 send startup
        proxy send CONT
        h1 expect id=q1
        h1 answer c1 one primary
        c2 expect closed";
    play(1, text);
}

/// Idle connections are closed 0.57 s after SIGTERM with these deadlines; the query was there before the turn that closes.
#[test]
fn a_request_beside_the_close_of_its_idle_connection() {
    let text = "
        c1-2 start
        c1-2 send text
        c1-2 expect empty
        proxy send TERM
        wait 400
        proxy send STOP
        c1 send read q1 600
        wait 300
        proxy send CONT
        h1 expect id=q1
        h1 answer c1 one primary
        c1-2 expect closed
        proxy expect exit 0 by 1300
        proxy expect log counters totals= taken=1 served=1";
    play_with_settings(&within(600), 1, text);
}

/// The program would end 0.75 s after SIGTERM; who came before that turn still waits to be accepted.
#[rstest]
#[case::startup_alone("c2 send startup", "c2 send read q2 900")]
#[case::startup_and_query("c2 send startup\nc2 send read q2 900", "")]
#[case::half_a_startup(
    "c2 send raw 000000",
    "c2 send raw 250003000075736572006261636b656e640064617461626173650073746f72650000\nc2 send read q2 900"
)]
fn a_client_in_the_listen_queue_as_the_program_would_end(#[case] before: &str, #[case] after: &str) {
    let text = format!(
        "
        c1 start
        c1 send text
        c1 expect empty
        c1 close
        proxy send TERM
        wait 600
        proxy send STOP
        {before}
        wait 300
        proxy send CONT
        {after}
        c2 expect ready
        h1 expect id=q2
        h1 answer c2 two primary
        c2 expect closed
        proxy expect exit 0 by 3700
        proxy expect log counters totals= taken=1 served=1"
    );
    play(1, &text);
}

/// The answer is there as its client's time runs out: one of the two is told, and the connection is right for the next.
#[rstest]
#[case::served("value late primary")]
#[case::failed("error XX000")]
fn an_answer_beside_the_time_out(#[case] answer: &str) {
    let text = format!(
        "
        c1 start
        h1 take c1 read q1 300
        proxy send STOP
        h1 send {answer}
        wait 400
        proxy send CONT
        c1 expect answer
        h1 serve c1 read q2 2900 = two primary
        operator send stats
        operator expect gw.outstanding=0"
    );
    play_with_settings(&within(3_000), 1, &text);
}

/// And as its client leaves.
#[rstest]
fn an_answer_beside_the_leaving(#[values("close", "close half", "close reset")] leaves: &str) {
    let text = format!(
        "
        c1 start
        h1 take c1 read q1 2900
        proxy send STOP
        h1 send value late primary
        c1 {leaves}
        proxy send CONT
        c2 start
        c2 send read q1 2900                # the same name: the one before is over
        h1 expect id=q1
        h1 answer c2 two primary
        operator send stats
        operator expect gw.outstanding=0"
    );
    play(1, &text);
}

/// The host's connection ends in the turn in which a request would be written to it: another one is taken.
#[test]
fn a_request_beside_the_end_of_an_idle_connection() {
    let text = "
        c1 start
        h1 serve c1 read q1 2900 = one primary
        wait 20
        proxy send STOP
        h1 close
        c1 send read q2 2900
        proxy send CONT
        h1 expect id=q2
        h1 answer c1 two primary
        proxy expect figures sent=2 ok=2 reset=0";
    play(1, text);
}

/// A drain is told in the turn in which a request comes that would go to the host.
#[test]
fn a_request_beside_a_drain() {
    let text = "
        list expect follow
        c1 start
        proxy send STOP
        list send h1 draining
        wait 20
        c1 send read q1 2900
        proxy send CONT
        proxy expect figures lists=2
        any expect id=q1
        any answer c1 one replica
        h2 take c1 read q2 2900
        h1 expect silence 50";
    play(2, text);
}

/// Who has not said who he is within 1.2 s, or has asked for nothing within 2.2 s, is closed on; what came before that turn
/// is heard.
#[rstest]
#[case::startup("c1 send raw", 1_000, "c1 send startup\nc1 send read q1 2900")]
#[case::first_statement("c1 send startup\nc1 expect ready", 2_000, "c1 send read q1 2900")]
fn a_first_word_beside_the_end_of_patience(#[case] before: &str, #[case] waits: u32, #[case] says: &str) {
    let hello = if before.contains("startup") { "" } else { "c1 expect ready" };
    let text = format!(
        "
        {before}
        wait {waits}
        proxy send STOP
        {says}
        wait 400
        proxy send CONT
        {hello}
        h1 expect id=q1
        h1 answer c1 one primary"
    );
    play(1, &text);
}
