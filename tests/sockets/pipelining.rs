//! Pipelining: a client sends requests before it has the answers to earlier ones. Each is answered once, in
//! order and within its own deadline, even if the process or the connection ends meanwhile. Hosts answer in
//! the order of the scenario.

use crate::scenario::{play, play_with_operator_file, play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// Returns the default settings with a lax latency objective, so that a slow answer does not keep other
/// requests from its host.
fn with_lax_latency_objective() -> String {
    settings_with(|all| {
        all["grades"].as_array_mut().unwrap().iter_mut().for_each(|grade| grade["onTime"] = json!(2.9));
    })
}

#[test]
fn requests_run_beside_each_other_and_their_answers_keep_their_order() {
    let text = "
        c1 start
        h1 take c1 write q1 2900
        h1 take c1 read q2 2900 k2
        h1 take c1 read q3 2900 k3
        h1 send value three primary
        h1 expect again id=q2
        h1 send error XX000
        h1 expect id=q2                     # the second attempt of one in the middle
        h1 send value two primary
        c1 expect silence 50
        h1 expect again id=q1
        h1 answer c1 one primary
        c1 expect value two
        c1 expect value three
        proxy expect figures taken=3 served=3 pipelined=2";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// All of it comes in one segment, the startup included.
#[test]
fn a_read_behind_a_write_of_its_key_sees_that_write() {
    let text = "
        c1 send startup
        c1 send write q1 2900
        c1 send own q2 2900
        c1 send own q3 2900 k2
        c1 send write q4 2900
        c1 expect ready
        h1 expect c=                        # the write of k1 and the read of k2, in either order
        h1 expect c=
        h1 expect silence 50                # neither the read of k1 nor its second write
        h1 expect again id=q3
        h1 send value three primary
        h1 expect again id=q1
        h1 answer c1 one primary
        h1 expect id=q2
        h1 send value two primary
        h1 expect id=q4
        h1 send value four primary
        c1 expect value two
        c1 expect value three
        c1 expect value four";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// The deadline of a request that waits for a conflicting one counts from its own arrival. Its host is sent
/// the time that is left.
#[test]
fn the_deadline_of_a_request_runs_from_its_arrival() {
    let text = "
        c1 start
        h1 take c1 write q1 2900
        c1 send read q2 900
        wait 350
        h1 answer c1 one primary
        h1 expect id=q2 ,d=5                # some 540 ms
        h1 answer c1 two primary";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// A host hangs: the first request is answered early enough for the one behind it. It is rejected if it may
/// be repeated, and failed if it may have run and must not be repeated.
#[rstest]
#[case::a_read("read q1 2900 k1", "error 53300")]
#[case::a_write("write q1 2900 k1", "error 58000")]
fn a_slow_request_does_not_cost_the_one_behind_it_its_answer(#[case] slow: &str, #[case] answer: &str) {
    let text = "
        c1 start
        c1 send SLOW
        h1 expect id=q1
        h1 take c1 read q2 500 k2
        h1 send value two primary
        c1 expect silence 400
        c1 expect within 150 ANSWER
        c1 expect within 20 value two
        proxy expect log request or connection rejected reason=order";
    play_with_settings(
        &with_lax_latency_objective(),
        1,
        &text.replace("SLOW", slow).replace("ANSWER", answer),
    );
}

/// A write is not given up for a read behind it while both can still be answered in time.
#[test]
fn a_write_is_awaited_while_the_request_behind_it_has_time() {
    let text = "
        c1 start
        h1 take c1 write q1 2900
        h1 take c1 read q2 700 k2
        h1 send value two primary
        h1 expect again id=q1
        wait 500
        h1 send value one primary
        c1 expect within 100 value one
        c1 expect within 100 value two";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// Invalid input is answered in order, and within 3 s even if the request before it may take longer.
#[rstest]
#[case::an_unknown_message("raw 7a00000004", "08P01")]
#[case::an_invalid_statement("text SELECT 1", "42601")]
fn an_error_behind_a_request_is_reported_in_order_and_in_time(
    #[case] invalid_input: &str,
    #[case] code: &str,
) {
    let text = "
        c1 start
        h1 take c1 read q1 20000
        c1 send BAD
        c1 expect silence 100
        c1 expect within 2700 error 53300
        c1 expect within 100 error CODE";
    play_with_settings(
        &with_lax_latency_objective(),
        1,
        &text.replace("BAD", invalid_input).replace("CODE", code),
    );
}

/// Invalid statements delay later statements but not the answers to earlier ones.
#[test]
fn answers_are_written_while_statements_wait_after_an_error() {
    let text = "
        c1 start
        c1 send text SELECT 1
        c1 expect error 42601
        c1 send text SELECT 2
        c1 expect error 42601
        c1 send text SELECT 3
        c1 expect error 42601
        wait 150
        h1 take c1 read q1 2900
        c1 send text SELECT 4
        c1 send read q2 2900 k2
        h1 send value one primary
        c1 expect within 80 value one       # for 160 ms from the error nothing more is read
        c1 expect within 80 error 42601
        h1 expect id=q2
        h1 answer c1 two primary";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// A client that sends Terminate after its requests still gets their answers.
#[test]
fn terminate_waits_for_the_answers_before_it() {
    let text = "
        c1 start
        h1 take c1 read q1 2900
        h1 take c1 read q2 2900
        c1 send terminate
        h1 send value two primary
        h1 expect again id=q1
        h1 answer c1 one primary
        c1 expect value two
        c1 expect closed";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// Empty queries and statements that only set up a session are answered in order.
#[test]
fn what_the_proxy_answers_itself_keeps_its_order() {
    let text = "
        c1 start
        h1 take c1 read q1 2900
        c1 send text SET a TO 1
        c1 send text
        c1 send sync
        c1 expect silence 100
        h1 answer c1 one primary
        c1 expect ready
        c1 expect empty
        c1 expect ready";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// SIGTERM with several pipelined requests: one runs, one waits for it, one is already answered by its host,
/// and one has arrived in part. Each gets its answer before SIGKILL is to be expected.
#[rstest]
#[case::a_host_that_answers("h1 send value one primary", "value one")]
#[case::a_host_that_hangs("", "error 58000")]
fn after_sigterm_each_request_is_answered(#[case] host: &str, #[case] first: &str) {
    let text = "
        c1 start
        h1 take c1 write q1 60000
        c1 send read q2 60000
        h1 take c1 read q3 60000 k2
        h1 send value three primary
        h1 expect again id=q1
        c1 send raw 510000000a5345
        proxy send TERM
        HOST
        c1 expect FIRST
        SECOND
        c1 expect value three
        c1 expect gone                      # possibly after an error for the incomplete message
        proxy expect exit 0 by 3700
        proxy expect log counters totals= taken=3";
    let second = match host.is_empty() {
        true => "c1 expect error 53300",
        false => "h1 expect id=q2\nh1 send value two primary\nc1 expect value two",
    };
    play_with_settings(
        &with_lax_latency_objective(),
        1,
        &text.replace("HOST", host).replace("FIRST", first).replace("SECOND", second),
    );
}

/// Pipelined requests are answered after a quiesce.
#[test]
fn after_a_quiesce_each_request_is_answered() {
    let text = "
        c1 start
        h1 take c1 read q1 2900
        h1 take c1 read q2 2900
        operator send quiesce
        operator expect 200
        wait 600
        h1 send value two primary
        h1 expect again id=q1
        h1 answer c1 one primary
        c1 expect value two
        c1 expect closed";
    play_with_settings(&with_lax_latency_objective(), 1, text);
}

/// However many requests arrive at once, only a limited number runs concurrently, and all are answered in
/// order.
#[test]
fn many_pipelined_requests_are_limited_and_answered_in_order() {
    let mut text = "
        c1 start
        h1 take c1 read q1 2900 k1
        h1 send value v1 primary
        c1 expect value v1\n"
        .to_owned();
    (2..=60).for_each(|n| text += &format!("c1 send read q{n} 5900 k{n}\n"));
    // 16 run concurrently. The host answers none, and each ends once it gets no further connection.
    text += "proxy expect figures taken=17\n";
    (2..=60).for_each(|_| text += "c1 expect answer\n");
    text += "proxy expect figures taken=60\n";
    play_with_settings(&with_lax_latency_objective(), 1, &text);
}

/// Without memory for answers that wait for their turn, requests run one after the other.
#[test]
fn without_memory_for_their_answers_requests_run_one_by_one() {
    let text = "
        c1 start
        h1 take c1 read q1 2900 k1
        c1 send read q2 2900 k2
        h1 expect silence 100
        h1 answer c1 one primary
        h1 expect id=q2
        h1 answer c1 two primary";
    play_with_operator_file("memory: {purposes: {upstream-buffers: {cap: 64KiB, reserve: 0}}}", 1, text);
}

/// Where hosts hang, a request that waits for a conflicting one ends within its own deadline.
#[test]
fn a_request_that_waits_for_a_conflict_is_answered_in_time() {
    let text = "
        c1 start
        h1 take c1 write q1 2900
        c1 send read q2 400
        c1 expect silence 300
        c1 expect within 150 error 58000
        c1 expect within 20 error 53300     # it was never sent
        proxy expect figures sent=1";
    play(1, text);
}
