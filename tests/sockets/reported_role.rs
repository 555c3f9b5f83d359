//! What a host told of its role counts by when it was written, not by when or whether it arrived: no read that must be fresh
//! goes to a host that has told that it is no primary.
//!
//! Hosts answer from what they have here: neither do they check reads nor can they be asked.

use crate::scenario::{play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// Settings where reads of the class `any` may see data 0.5 s old, those of `own` data of any age, and nothing is sent twice.
fn unchecked() -> String {
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

/// The only host has answered as the primary, longer than a second ago.
const QUIET_PRIMARY: &str = "
    c1-3 start
    h1 serve c1 write q1 2900 = one primary
    wait 1200
";

/// A query is out, and its answer, which counts as known after 100 ms, is lost without a sign: guards against a fresh read
/// that goes to the same host on what it was before.
#[rstest]
fn no_fresh_read_goes_beside_an_answer_that_does_not_come(
    #[values("own", "write", "read")] out: &str,
    #[values(150, 400)] later_ms: u64,
) {
    let text = format!(
        "{QUIET_PRIMARY}
        h1 take c2 {out} q2 2900
        wait {later_ms}
        c10 start
        c10 send read q3 900
        h1 expect silence 200"
    );
    play_with_settings(&unchecked(), 1, &text);
}

/// Two queries are out: the second is answered as a replica, then the first as the primary that its host was. Guards against a
/// fresh read that goes by the order of arrival.
#[rstest]
fn no_fresh_read_follows_an_older_answer_that_arrives_last(#[values(400, 700)] later_ms: u64) {
    let text = format!(
        "{QUIET_PRIMARY}
        h1 take c2 own q2 2900
        h1 take c3 own q3 2900
        wait 200
        h1 answer c3 three replica -5000
        h1 expect again id=q2
        h1 answer c2 two primary -200
        wait {later_ms}
        c10 start
        c10 send read q4 900
        h1 expect silence 200"
    );
    play_with_settings(&unchecked(), 1, &text);
}

/// The process is stopped until after the time of a query that is out; a fresh read comes meanwhile. Guards against one that
/// goes to its host before the end of the query is seen.
#[test]
fn no_fresh_read_goes_out_before_an_end_that_is_seen_late() {
    let text = format!(
        "{QUIET_PRIMARY}
        c10 start
        h1 take c2 own q2 500
        proxy send STOP
        wait 800
        c10 send read q3 1900
        wait 20
        proxy send CONT
        h1 expect silence 300"
    );
    play_with_settings(&unchecked(), 1, &text);
}

/// The answer is longer than what is held in memory, and tells the role behind its value: guards against a role that is not
/// read there.
#[test]
fn no_fresh_read_follows_a_long_answer_as_a_replica() {
    let value = "v".repeat(256 << 10);
    let text = format!(
        "{QUIET_PRIMARY}
        h1 take c2 own q2 2900
        h1 send value {value} replica -5000
        c2 expect answer
        wait 100
        c10 start
        c10 send read q3 900
        h1 expect silence 200"
    );
    play_with_settings(&unchecked(), 1, &text);
}

/// One answer of a replica is from ahead of all others, as a spoilt one may be: guards against an honest primary that counts as
/// replaced since, and gets no fresh read after a quiet time.
#[rstest]
fn an_honest_primary_is_served_after_one_answer_from_ahead(#[values(0, 1_000)] ahead_ms: u64) {
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
    play_with_settings(&unchecked(), 2, &text);
}
