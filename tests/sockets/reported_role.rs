//! The role that a host reports counts from when the host sent it, not from when it arrived or whether it
//! did: no fresh read goes to a host that has reported not to be the primary.
//!
//! In these tests hosts neither check the freshness of reads nor answer health checks.

use crate::scenario::{play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// Returns settings where reads of the class `any` may see data 0.5 s old, those of `own` data of any age,
/// and no request gets a second attempt.
fn with_lag_policy_off() -> String {
    settings_with(|all| {
        all["familyInfo"]["freshness"] = json!(["bounded", "any", "write"]);
        all["familyInfo"]["classBound"] = json!([0.5, 0, 0]);
        all["familyInfo"]["whenBehind"] = json!("off");
        all["report"] = json!({"how": "off", "fields": []});
        all["limits"]["keepalive"] = json!(60.0);
        all["limits"]["maxAttempts"] = json!(1);
        all["limits"]["secondCopies"] = json!(false);
    })
}

/// The only host has answered as the primary, more than a second ago.
const IDLE_PRIMARY: &str = "
    c1-3 start
    h1 serve c1 write q1 2900 = one primary
    wait 1200
";

/// The answer to a query is lost without a sign; after 100 ms it is overdue. Guards against a fresh read that
/// goes to the same host because of its earlier role.
#[rstest]
fn no_fresh_read_is_sent_while_an_answer_is_overdue(
    #[values("own", "write", "read")] request: &str,
    #[values(150, 400)] delay_ms: u64,
) {
    let text = format!(
        "{IDLE_PRIMARY}
        h1 take c2 {request} q2 2900
        wait {delay_ms}
        c10 start
        c10 send read q3 900
        h1 expect silence 200"
    );
    play_with_settings(&with_lag_policy_off(), 1, &text);
}

/// Two queries are unanswered: the second is answered as a replica, then the first as the primary that the
/// host was before. Guards against a fresh read that is routed by the order in which the answers arrive.
#[rstest]
fn no_fresh_read_follows_an_older_answer_that_arrives_last(#[values(400, 700)] delay_ms: u64) {
    let text = format!(
        "{IDLE_PRIMARY}
        h1 take c2 own q2 2900
        h1 take c3 own q3 2900
        wait 200
        h1 answer c3 three replica -5000
        h1 expect again id=q2
        h1 answer c2 two primary -200
        wait {delay_ms}
        c10 start
        c10 send read q4 900
        h1 expect silence 200"
    );
    play_with_settings(&with_lag_policy_off(), 1, &text);
}

/// The process is stopped until after the timeout of an unanswered query, and a fresh read arrives meanwhile.
/// Guards against a fresh read that is sent to the host before that timeout is processed.
#[test]
fn no_fresh_read_is_sent_before_a_late_timeout_is_processed() {
    let text = format!(
        "{IDLE_PRIMARY}
        c10 start
        h1 take c2 own q2 500
        proxy send STOP
        wait 800
        c10 send read q3 1900
        wait 20
        proxy send CONT
        h1 expect silence 300"
    );
    play_with_settings(&with_lag_policy_off(), 1, &text);
}

/// The answer is longer than what is held in memory, and reports the role after its value. Guards against a
/// role that is not read there.
#[test]
fn no_fresh_read_follows_a_long_answer_as_a_replica() {
    let value = "v".repeat(256 << 10);
    let text = format!(
        "{IDLE_PRIMARY}
        h1 take c2 own q2 2900
        h1 send value {value} replica -5000
        c2 expect answer
        wait 100
        c10 start
        c10 send read q3 900
        h1 expect silence 200"
    );
    play_with_settings(&with_lag_policy_off(), 1, &text);
}

/// One answer of a replica reports a position ahead of all others, as a corrupt one may. Guards against a
/// real primary that counts as replaced because of it, and gets no fresh read after a time without requests.
#[rstest]
fn a_real_primary_serves_reads_after_one_position_ahead_of_all_others(#[values(0, 1_000)] ahead_ms: u64) {
    let text = format!(
        "
        list expect follow
        list send h2 draining
        proxy expect figures lists=2
        c1-4 start
        h1 serve c1 write q1 2900 = one primary
        list send h2 up
        proxy expect figures lists=3
        wait 600
        h2 serve c2 own q2 2900 = two replica {ahead_ms}
        wait 20
        h2 serve c3 own q3 2900 = three replica
        list send h2 draining
        proxy expect figures lists=4
        h1 serve c4 own q4 2900 = four primary
        wait 700
        c10 start
        h1 serve c10 read q5 900 = five primary"
    );
    play_with_settings(&with_lag_policy_off(), 2, &text);
}
