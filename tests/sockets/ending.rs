//! The end of the process: what it has taken is answered before SIGKILL, whatever the deadlines, and no connection is
//! closed on a request that it has read.

use crate::scenario::{play, play_with_settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// The scenarios' settings with that longest deadline, in milliseconds.
fn within(longest: u64) -> String {
    settings_with(|all| {
        for grade in all["grades"].as_array_mut().unwrap() {
            grade["deadline"] = json!(longest as f64 / 1e3);
            grade["onTime"] = json!(longest as f64 / 2e3);
        }
    })
}

/// A host hangs. A request that waits for it, one that comes after SIGTERM, one whose client just connects, one that is
/// half there and one that is never whole: each has its answer or its close before SIGKILL has to be expected.
#[rstest]
fn all_is_answered_before_sigkill(#[values(150, 300, 600, 3_000, 10_000)] longest: u64) {
    let killed = longest.min(3_000) + 700;
    let text = format!(
        "
        c1-6 start
        c1-2 send text
        c1-2 expect empty
        h1 take c3 read q3 60000
        c6 send part 40
        proxy send TERM
        h1 take c4 read q4 60000
        wait 300
        c7 send startup
        c7 send read q7 60000
        c7 expect ready
        h1 expect id=q7
        c8 send startup
        c9 send raw 0000
        c1 expect closed
        c3 expect error
        c4 expect error
        c7 expect error
        c1-9 expect gone
        proxy expect exit 0 by {killed}
        proxy expect log counters totals= taken=3 served=0"
    );
    play_with_settings(&within(longest), 1, &text);
}

/// Who asks on an open connection shortly before it would be closed has all the time that the settings give.
#[rstest]
fn a_late_request_has_its_whole_time(#[values(150, 300, 600)] longest: u64) {
    let text = format!(
        "
        c1 start
        c1 send text
        c1 expect empty
        proxy send TERM
        wait 420
        c1 send read q1 {longest}
        h1 expect ,d={}                      # of which 10 ms or so are kept for the way back
        h1 answer c1 late primary",
        match longest {
            150 => "d=1",
            300 => "d=2",
            _ => "d=5",
        }
        .trim_start_matches("d="),
    );
    play_with_settings(&within(longest), 1, &text);
}

/// Half a query when the connection would be closed as idle: its rest still comes, and it is answered.
#[test]
fn the_rest_of_a_query_is_waited_for() {
    let text = "
        c1 start
        proxy send TERM
        wait 420
        c1 send raw 510000000a5345          # the first bytes of `SET a`,
        wait 230                            # idle connections are closed by now,
        c1 send raw 54206100                # and the others
        c1 expect ready
        c1 expect closed
        proxy expect exit 0 by 850";
    play_with_settings(&within(150), 1, text);
}

#[rstest]
#[case::twice("proxy send TERM\nproxy send TERM")]
#[case::right_after_sighup("proxy send HUP\nproxy send TERM")]
#[case::right_before_sighup("proxy send TERM\nproxy send HUP")]
#[case::while_quiesced("operator send quiesce\nproxy send TERM")]
#[case::before_the_end_of_a_quiesce("operator send quiesce\nproxy send TERM\noperator send resume")]
fn sigterm_ends_it(#[case] told: &str) {
    let text = format!(
        "
        c1 start
        h1 take c1 read q1 900
        {told}
        h1 answer c1 one primary
        c1 expect closed
        proxy expect exit 0 by 3700
        proxy expect log counters totals= taken=1 served=1"
    );
    play(1, &text);
}

/// A new file gives requests another longest deadline: a drain after it goes by that one.
#[rstest]
#[case::shorter(10_000, 300)]
#[case::longer(300, 3_000)]
fn a_drain_goes_by_the_settings_in_force(#[case] before: u64, #[case] after: u64) {
    let file = format!(r#"{{"seed":"8c1f","settings":{}}}"#, within(after));
    let killed = after + 700;
    let text = format!(
        "
        c1 start
        file send text {file}
        proxy send HUP
        proxy expect log configuration reloaded
        h1 take c1 read q1 60000
        proxy send TERM
        c1 expect error
        c1 expect closed
        proxy expect exit 0 by {killed}
        proxy expect log counters totals= taken=1 served=0"
    );
    play_with_settings(&within(before), 1, &text);
}
