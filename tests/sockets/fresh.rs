//! No read is answered from data that is older than its class allows, where ledger hosts answer from what they have and
//! leave that to the proxy. Each crossing is forced: a connection is held back until what showed its host to be fresh
//! enough has run out, and a host is made to tell another role and position than it had.

use crate::scenario::{play_with_faults, play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// The scenarios' settings where reads of the class `any` may be answered from data so old, in milliseconds, and do what
/// `repeat` says when repeated; hosts neither check nor can be asked.
fn bounded(ms: u64, repeat: &str) -> String {
    settings_with(|all| {
        all["familyInfo"]["freshness"] = json!(["bounded", "session", "write"]);
        all["familyInfo"]["classBound"] = json!([ms as f64 / 1e3, 0, 0]);
        all["familyInfo"]["whenBehind"] = json!("off");
        all["grades"][0]["repeat"] = json!(repeat);
        all["report"] = json!({"how": "off", "fields": []});
        all["limits"]["connectTimeout"] = json!(6.0);
        all["limits"]["keepalive"] = json!(60.0);
        // What a host is made to hold back is late, and must not keep others out.
        all["grades"].as_array_mut().unwrap().iter_mut().for_each(|grade| grade["onTime"] = json!(2.9));
    })
}

/// A replica has told where it stands, after a primary's answer has shown what the hosts' clock is; a read that may go there
/// waits for a connection that comes up late.
const LATE: &str = "
    c8-9 start
    h1 serve c9 own q7 2900 = seven primary
    wait 20                             # a connection rests for 3 ms after its answer
    h1 serve c9 own q9 2900 = nine replica
    h1 expect knock
    wait 20
    c8 send own q8 2900                 # holds the one connection there is
    h1 expect id=q8
    h1 send hold
    c1 start
    c1 send read q1 2900
    h1 expect knock
    proxy expect figures sent=4
";

#[test]
fn what_waits_for_a_connection_is_not_written_once_its_proof_has_run_out() {
    let text = format!(
        "{LATE}
        wait 620                            # the bound
        h1 send release
        h1 expect silence 200
        proxy expect figures sent=4 moot=1 connect_failed=0
        h1 send value eight replica         # told anew: the same connection, no further one
        c8 expect value eight
        h1 expect id=q1
        h1 answer c1 one replica
        proxy expect figures connects=2"
    );
    play_with_settings(&bounded(600, "pure"), 1, &text);
}

#[test]
fn what_waits_for_a_connection_is_written_while_its_proof_stands() {
    let text = format!(
        "{LATE}
        h1 send release
        h1 expect id=q1
        h1 send value one replica -1900     # it need not have moved
        c1 expect value one
        proxy expect figures moot=0 stale=0"
    );
    play_with_settings(&bounded(2_000, "pure"), 1, &text);
}

/// Two hosts that are the primary one after the other show by their answers what the hosts' clock is, whatever this
/// machine's says: two answers each, and one host alone cannot lower the offset. Then one drains and takes nothing more, so
/// that what follows is played by the other as by the only one.
const CLOCK_IS_PROVED: &str = "
    list expect follow
    list send h1 draining
    proxy expect figures lists=2
    c20 start
    h2 serve c20 write p1 2900 kp = p1 primary
    wait 20                             # a connection rests for 3 ms after its answer
    h2 serve c20 write p2 2900 kp = p2 primary
    list send h1 up
    proxy expect figures lists=3
    list send h2 draining
    proxy expect figures lists=4
    h1 serve c20 write p3 2900 kp = p3 primary
    wait 20
    h1 serve c20 write p4 2900 kp = p4 primary
    wait 20
";

/// The host was the primary when it was asked, and answers as a replica.
const DEPOSED: &str = "
    c1-2 start
    h1 serve c1 write q1 2900 = one primary
";

#[rstest]
#[case::older_than_the_bound("read", "-900")]
#[case::older_than_the_sessions_write("own", "-60000")]
fn an_answer_that_tells_too_old_a_position_reaches_nobody(#[case] asks: &str, #[case] ahead: &str) {
    let text = format!(
        "{DEPOSED}
        h1 take c2 {asks} q2 1900
        h1 send value old replica {ahead}
        c2 expect error 53300
        proxy expect figures stale=1 ok=1 served=1"
    );
    play_with_settings(&bounded(500, "pure"), 1, &text);
}

#[rstest]
#[case::bounded("read", "-300")]
#[case::session("own", "0")]
fn one_that_is_recent_enough_is_served(#[case] asks: &str, #[case] ahead: &str) {
    let text = format!(
        "{DEPOSED}
        h1 serve c2 {asks} q2 1900 = there replica {ahead}
        proxy expect figures stale=0"
    );
    play_with_settings(&bounded(500, "pure"), 1, &text);
}

/// Another host has it: the read goes there, and its client has one answer.
#[test]
fn a_read_that_was_answered_from_too_old_data_goes_elsewhere() {
    let text = "
        c1-2 start
        any serve c1 write q1 2900 = one primary
        any take c2 read q2 1900
        any send value old replica -900
        h1 expect silence 20
        c1 send write q3 1900               # shows the other one to be the primary now
        any expect id=q3
        any answer c1 three primary
        any expect id=q2
        any answer c2 there primary";
    play_with_settings(&bounded(500, "pure"), 2, text);
}

/// It has run, so it does not run again.
#[test]
fn a_read_that_must_not_be_repeated_fails_when_its_answer_is_too_old() {
    let text = format!(
        "{DEPOSED}
        h1 take c2 read q2 1900
        h1 send value old replica -900
        c2 expect error 58000
        h1 expect silence 300
        proxy expect figures sent=2 stale=1 failed=1"
    );
    play_with_settings(&bounded(500, "side_effect"), 1, &text);
}

/// A session's write is out at the primary, and may be committed whatever becomes of its answer: its next read, which comes
/// by another connection, goes there too and not to the idle replica.
#[test]
fn a_session_with_a_write_out_reads_at_the_primary() {
    let text = "
        list expect follow
        list send h2 draining
        proxy expect figures lists=2
        c1-2 start
        c1 send text INSERT INTO kv (name, content) VALUES ('k2', '\\x00') RETURNING content /* id=q0,c=write,t=acme,d=2900,k=8,cluster=0 */
        h1 expect id=q0
        h1 answer c1 zero primary
        list send h2 up
        proxy expect figures lists=3
        h1 take c1 write q1 2900
        h1 take c2 own q2 2900
        h2 expect silence 20
        h1 answer c2 two primary";
    play_with_settings(&bounded(500, "pure"), 2, text);
}

/// The primary takes no connection, then one write whose answer is lost: guards against the bounded read that was sent to it
/// as to the primary still (brink F 8101, fifth day).
#[rstest]
#[case::bounded("read")]
#[case::session("own")]
fn no_fresh_read_goes_to_a_primary_that_failed_and_has_not_answered_since(#[case] asks: &str) {
    let text = format!(
        "
        c1-2 start
        h1 serve c1 write q1 2900 = one primary
        h1 close
        h1 send hold
        c2 send write q2 1900               # it waits for a connection, which does not come up
        h1 expect knock
        c2 expect error 53300
        h1 send release
        wait 300
        c3-4 send startup                   # now: a first request is due 2.2 s after its connection
        c3-4 expect ready
        c3 send write q3 1900               # out, and lost
        h1 expect id=q3
        c4 send {asks} q4 900
        h1 expect silence 300
        h1 close
        c4 expect error 53300"
    );
    play_with_settings(&bounded(500, "pure"), 1, &text);
}

/// Guards against a read that is rejected for good where this machine's clock is an hour off: what the hosts have proved
/// of theirs has to do.
#[rstest]
#[case::bounded("read", "-300")]
#[case::session("own", "0")]
fn one_that_is_recent_enough_is_served_whatever_the_clock_says(
    #[case] asks: &str,
    #[case] ahead: &str,
    #[values(-3_600_000, 0, 3_600_000)] step_ms: i64,
) {
    let text = format!(
        "{CLOCK_IS_PROVED}{DEPOSED}
        h1 serve c2 {asks} q2 1900 = there replica {ahead}
        proxy expect figures stale=0"
    );
    play_with_faults(&format!("clock::step={step_ms}:1/1"), &bounded(500, "pure"), 2, &text);
}

/// Guards against an offset that is proved and wrong: too old an answer reaches nobody.
#[rstest]
#[case::older_than_the_bound("read", "-900")]
#[case::older_than_the_sessions_write("own", "-60000")]
fn too_old_a_position_reaches_nobody_whatever_the_clock_says(
    #[case] asks: &str,
    #[case] ahead: &str,
    #[values(-3_600_000, 0, 3_600_000)] step_ms: i64,
) {
    let text = format!(
        "{CLOCK_IS_PROVED}{DEPOSED}
        h1 take c2 {asks} q2 1900
        h1 send value old replica {ahead}
        c2 expect error 53300
        proxy expect figures stale=1 ok=5 served=5"
    );
    play_with_faults(&format!("clock::step={step_ms}:1/1"), &bounded(500, "pure"), 2, &text);
}

/// The scenario of [`LATE`] once the clock is proved, which took four attempts.
fn late_once_the_clock_is_proved() -> String {
    format!("{CLOCK_IS_PROVED}{}", LATE.replace("sent=4", "sent=8"))
}

/// Guards against a read that waits for a connection and is written on the word of this machine's clock.
#[rstest]
fn what_waits_is_not_written_without_a_proof_whatever_the_clock_says(
    #[values(-3_600_000, 0, 3_600_000)] step_ms: i64,
) {
    let text = format!(
        "{}
        wait 620                            # the bound
        h1 send release
        h1 expect silence 200
        proxy expect figures sent=8 moot=1 connect_failed=0
        h1 send value eight replica         # told anew: the same connection, no further one
        c8 expect value eight
        h1 expect id=q1
        h1 answer c1 one replica
        proxy expect figures connects=3",
        late_once_the_clock_is_proved()
    );
    play_with_faults(&format!("clock::step={step_ms}:1/1"), &bounded(600, "pure"), 2, &text);
}

/// Guards against a read that waits for a connection and is given up though its proof stands.
#[rstest]
fn what_waits_is_written_on_a_proof_whatever_the_clock_says(
    #[values(-3_600_000, 0, 3_600_000)] step_ms: i64,
) {
    let text = format!(
        "{}
        h1 send release
        h1 expect id=q1
        h1 send value one replica -1900     # it need not have moved
        c1 expect value one
        proxy expect figures moot=0 stale=0",
        late_once_the_clock_is_proved()
    );
    play_with_faults(&format!("clock::step={step_ms}:1/1"), &bounded(2_000, "pure"), 2, &text);
}
