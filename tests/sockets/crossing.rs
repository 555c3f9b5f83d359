//! Events that reach the program in the same turn of its event loop. The program is stopped (SIGSTOP) until
//! both are due and then continued, so that it finds a request together with the eviction, close or exit that
//! would lose it.

use crate::scenario::{play, play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// Returns the default settings with this deadline for all request classes.
fn with_max_deadline(max_deadline_ms: u64) -> String {
    settings_with(|all| {
        for grade in all["grades"].as_array_mut().unwrap() {
            grade["deadline"] = json!(max_deadline_ms as f64 / 1e3);
            // A lax latency objective: the host looks slow while the program is stopped, and must still get
            // requests.
            grade["onTime"] = json!(max_deadline_ms as f64 / 1.1e3);
        }
    })
}

/// All 21 client connection slots are taken. The oldest client that has not sent a request is evicted for the
/// next one.
#[test]
fn a_request_beside_the_eviction_of_its_client() {
    let text = "
        c1-21 start
        wait 250                            # clients that send nothing for 200 ms may be evicted
        proxy send STOP
        c1 send read q1 2900
        c23 send startup
        proxy send CONT
        h1 expect id=q1
        h1 answer c1 one primary
        c2 expect error 53300               # the next client without a request, as one more connects
        c2 expect closed";
    let (before, after) = text.split_once("c2 expect error").unwrap();
    play(1, &format!("{before}c24 send startup\nc2 expect error{after}"));
}

/// At most half of the client connection slots go to clients that have not sent a startup message. The oldest
/// of them is evicted.
#[test]
fn a_first_request_beside_the_eviction_of_its_unidentified_client() {
    let text = "
        c1-10 send raw                      # they connect and send nothing
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

/// Three quarters of the client connection slots are taken: clients that have been idle for 2 s are evicted.
#[test]
fn a_request_beside_the_eviction_of_idle_clients() {
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

/// With these deadlines idle connections are closed 0.57 s after SIGTERM. The query arrived before the turn
/// of the event loop that closes.
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
    play_with_settings(&with_max_deadline(600), 1, text);
}

/// The program would exit 0.75 s after SIGTERM. A client that connected before that turn is still in the
/// accept queue.
#[rstest]
#[case::startup_alone("c2 send startup", "c2 send read q2 900")]
#[case::startup_and_query("c2 send startup\nc2 send read q2 900", "")]
#[case::half_a_startup(
    "c2 send raw 000000",
    "c2 send raw 250003000075736572006261636b656e640064617461626173650073746f72650000\nc2 send read q2 900"
)]
fn a_client_in_the_accept_queue_as_the_program_would_exit(#[case] before: &str, #[case] after: &str) {
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

/// The response arrives in the same turn in which its request times out: the client gets one of the two, and
/// the connection serves the next request.
#[rstest]
#[case::served("value late primary")]
#[case::failed("error XX000")]
fn an_answer_beside_its_timeout(#[case] answer: &str) {
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
    play_with_settings(&with_max_deadline(3_000), 1, &text);
}

/// The response arrives in the same turn in which its client leaves.
#[rstest]
fn an_answer_beside_the_departure_of_its_client(
    #[values("close", "close half", "close reset")] departure: &str,
) {
    let text = format!(
        "
        c1 start
        h1 take c1 read q1 2900
        proxy send STOP
        h1 send value late primary
        c1 {departure}
        proxy send CONT
        c2 start
        c2 send read q1 2900                # the same id: the request before has ended
        h1 expect id=q1
        h1 answer c2 two primary
        operator send stats
        operator expect gw.outstanding=0"
    );
    play(1, &text);
}

/// The host's connection ends in the turn in which a request would be written to it: another connection is
/// used.
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

/// The list reports a host as draining in the turn in which a request arrives that would go to that host.
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

/// A client that sends no startup message within 1.2 s, or no request within 2.2 s, is disconnected. What
/// arrived before the turn that disconnects it is still read.
#[rstest]
#[case::startup("c1 send raw", 1_000, "c1 send startup\nc1 send read q1 2900")]
#[case::first_statement("c1 send startup\nc1 expect ready", 2_000, "c1 send read q1 2900")]
fn a_first_message_beside_its_timeout(#[case] before: &str, #[case] wait_ms: u32, #[case] input: &str) {
    let greeting = if before.contains("startup") { "" } else { "c1 expect ready" };
    let text = format!(
        "
        {before}
        wait {wait_ms}
        proxy send STOP
        {input}
        wait 400
        proxy send CONT
        {greeting}
        h1 expect id=q1
        h1 answer c1 one primary"
    );
    play(1, &text);
}
