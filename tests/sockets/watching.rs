//! Discovery: watches that end or fall silent, and endpoint lists in every form. No drain is missed, and an
//! invalid entry affects only itself.

use crate::scenario::{play, play_with_settings, settings_with};
use rstest::rstest;

const WATCH_OPEN: &str = "
    list expect follow
    c1 start
";

/// Returns the lines that check that `h1` drains: new requests go to `h2` only.
fn expect_h1_drained(lists: u32) -> String {
    format!(
        "
    proxy expect figures lists={lists}
    c1-4 start
    c1-4 send read r@ 900
    h2 expect c=any
    h2 expect c=any
    h2 expect c=any
    h2 expect c=any
    h1 expect silence 30
"
    )
}

#[rstest]
#[case::indented(
    2,
    r#"
    list send chunk {\n  "index": 2,\n  "snapshot": false,\n  "endpoints": [\n    {"name": "h1", "address": "@h1",\n
    list send chunk  "zone": "z", "group": 0,\n     "status": "draining", "since_ms": 0}\n  ]\n}\n
    "#
)]
#[case::cut_within_a_word_and_without_a_line_end(
    2,
    r#"
    list send chunk {"index":2,"snapshot":false,"endpoints":[{"name":"h1","address":"@h1","zone":"z","status":"drai
    wait 20
    list send chunk ning","group":0}]}
    "#
)]
#[case::two_in_one(
    3,
    r#"
    list send chunk {"index":2,"endpoints":[]}{"index":3,"endpoints":[{"name":"h1","address":"@h1","status":"draining"}]}
    "#
)]
#[case::one_entry_of_other_types(
    2,
    r#"
    list send chunk {"index":2,"endpoints":[{"name":7},{"name":"h2","address":17,"status":"up"},{"name":"h1","address":"@h1","status":"draining"},"x"]}
    "#
)]
#[case::a_whole_list_with_an_entry_that_cannot_be_read(
    2,
    r#"
    list send chunk {"index":2,"snapshot":true,"endpoints":[{"name":"h2","address":"@h2","status":5},{"name":"h1","address":"@h1","status":"draining"}]}
    "#
)]
#[case::a_whole_list_of_an_older_index_without_the_host(
    2,
    r#"
    list close
    list expect follow since=1
    list send chunk {"index":0,"snapshot":true,"endpoints":[{"name":"h2","address":"@h2","status":"up"}]}
    "#
)]
#[case::removed_between_two_watches(
    2,
    r#"
    list close
    list expect follow since=1
    list send chunk {"index":9,"snapshot":false,"endpoints":[{"name":"h1","address":"@h1","status":"removed"}]}
    "#
)]
fn a_drain_is_applied(#[case] lists: u32, #[case] events: &str) {
    // `lists` includes the list in the configuration.
    play(2, &format!("list expect follow\n{events}\n{}", expect_h1_drained(lists)));
}

/// A removed host comes back with the same name at another address: requests go to the new address, and the
/// old connections are closed.
#[test]
fn a_host_that_was_removed_comes_back_elsewhere() {
    let text = r#"
        list expect follow
        list send chunk {"index":2,"endpoints":[{"name":"h2","address":"@h2","status":"removed"}]}
        c1 start
        h1 serve c1 read q1 2900 = one primary
        list send chunk {"index":3,"endpoints":[{"name":"h1","address":"@h1","status":"removed"}]}
        list send chunk {"index":4,"endpoints":[{"name":"h1","address":"@h2","status":"up"}]}
        proxy expect figures lists=4
        h2 take c1 read q2 2900
        h1 expect closed"#;
    play(2, text);
}

/// A watch that shows no sign of life is reopened. Text that trickles within a value, or white space, is no
/// sign of life.
#[rstest]
#[case::silence("")]
#[case::after_the_first_bytes_of_a_value("list send chunk {")]
#[case::within_a_value("list send chunk {\"index\":2,\"endpoints\":[\n    TRICKLE 5")]
#[case::white_space("TRICKLE \\t")]
fn a_watch_without_a_sign_of_life_is_reopened(#[case] before: &str) {
    let (before, trickled_text) = before.split_once("TRICKLE ").unwrap_or((before, ""));
    let one =
        if trickled_text.is_empty() { String::new() } else { format!("list send chunk {trickled_text}\n") };
    let pauses = format!("wait 480\n{one}").repeat(5);
    let text = format!("{WATCH_OPEN}{before}\n{pauses}list expect within 900 follow since=1\n");
    play(1, &text);
}

/// A silent watch is reopened and that call hangs: within 6 s of the last sign of life another call has
/// delivered the list.
#[test]
fn a_reopening_that_hangs_does_not_block_the_next_one() {
    let text = r#"
        list expect follow
        list send mute
        list expect within 3300 follow since=1
        list send speak
        list expect within 500 follow since=1
        list send h1 draining
        proxy expect figures lists=2"#;
    play(1, text);
}

/// Plays a scenario with a proxy that polls discovery as one of this number of routers.
fn play_with_routers(routers: u32, text: &str) {
    let settings = settings_with(|all| {
        all["balancers"] = routers.into();
        all["discovery"] = "on_request".into();
    });
    play_with_settings(&settings, 1, text);
}

/// Whatever failed, and however many routers poll the same discovery: each applies a change within 6 s of
/// when discovery has it and can be reached. That leaves 4 s between two calls, and 2 s for the call.
#[rstest]
fn one_of_many_routers_polls_in_time(#[values(1, 3, 30, 300)] routers: u32) {
    play_with_routers(
        routers,
        "
        list expect follow
        list close                          # the watch ends
        list expect within 4200 follow
        list send fail
        list close
        list expect within 4200 follow      # several calls in a row fail
        list expect within 4200 follow
        list expect within 4200 follow
        list send speak                     # and discovery returns
        list expect within 4200 follow
        list send h1 draining
        proxy expect figures lists=2",
    );
}

/// The watch falls silent, and the call that reopens it hangs.
#[rstest]
fn one_of_many_routers_polls_in_time_after_silence(#[values(3, 30, 300)] routers: u32) {
    play_with_routers(
        routers,
        "
        list expect follow
        list send mute
        list expect within 4200 follow since=1
        list send speak
        list expect within 2400 follow since=1
        list send h1 draining
        proxy expect figures lists=2",
    );
}

/// A call that is not answered in time is kept open while another is made: where discovery queues calls, it
/// may be the next one to be answered.
#[test]
fn a_queued_call_is_kept_while_another_is_made() {
    play_with_routers(
        30,
        "
        list expect follow
        list send mute
        list close
        list expect within 3200 follow
        list expect within 2400 follow
        list send first                     # the first call is answered, and becomes the watch
        list send h1 draining
        proxy expect figures lists=2",
    );
}

/// New settings name another discovery service. It is called within 2 s, and if that call hangs, another one
/// follows.
#[rstest]
fn a_new_address_is_called_in_time(#[values(3, 300)] routers: u32) {
    play_with_routers(
        routers,
        "
        list expect follow
        file send moved
        list send mute
        proxy send HUP
        list expect within 2100 follow since=1
        list send speak
        list expect within 2400 follow since=1
        list send h1 draining
        proxy expect figures lists=2",
    );
}

/// Discovery is unavailable and its local agent does not answer. An event that the agent gets when discovery
/// returns counts at once, and the grace period after a drain may be half a second: however long the outage,
/// the list is requested within a part of that.
#[rstest]
#[case::the_call_that_waits_is_answered("answer")]
#[case::only_later_calls_are("speak")]
fn events_of_discovery_after_an_outage_are_applied_at_once(#[case] reply: &str) {
    let later_call = if reply == "speak" { "list expect within 420 follow" } else { "" };
    let unanswered_calls = "list expect follow\n".repeat(12);
    let text = format!(
        "
        list expect follow
        list send mute
        list close
        {unanswered_calls}
        list send {reply}
        {later_call}
        wait 20
        list send h1 draining
        proxy expect figures lists=2"
    );
    play(1, &text);
}

/// A request that waits for a connection to be established is not sent once its host drains.
#[test]
fn a_drain_reported_while_a_connection_is_established() {
    let text = "
        list expect follow
        h1 send hold
        c1 start
        c1 send read q1 2900
        h1 expect knock
        proxy expect figures sent=1
        list send h1 draining
        proxy expect figures lists=2 connect_failed=1
        h1 send release
        h1 expect silence 300
        list send h1 up                     # and is sent there once the host is up again
        h1 expect id=q1";
    play(1, text);
}

/// A request that waits for one of the nine descriptors that all hosts share is not sent once its host
/// drains.
#[test]
fn a_drain_reported_while_a_connection_is_awaited() {
    let expect_all = "h1 expect c=any\n".repeat(9);
    let text = format!(
        "
        list expect follow
        c1-10 start
        h1 serve c1 read q1 2900 = one primary
        c1-9 send read r@ 2900
        {expect_all}
        c10 send read q10 2900
        proxy expect figures sent=11
        list send h1 draining
        proxy expect figures lists=2
        h1 close
        h1 expect silence 300"
    );
    play(1, &text);
}

/// A response without a length, whose connection is reset before the end: events that arrived whole are
/// applied, an incomplete list is not, and the watch is reopened from the last event that was applied.
#[test]
fn a_list_in_an_answer_without_a_length() {
    let text = r#"
        list expect follow
        list send plain
        list close
        list expect follow since=1
        list send chunk {"index":2,"endpoints":[{"name":"h2","address":"@h2","status":"up"}]}
        proxy expect figures lists=2
        list send chunk {"index":3,"snapshot":true,"endpoints":[{"name":"h2","address":"@h2","status":"up"}
        list close reset
        list expect follow since=2
        proxy expect figures lists=2
        list send chunk {"index":4,"endpoints":[{"name":"h1","address":"@h1","status":"draining"}]}
        "#;
    play(2, &format!("{text}\n{}", expect_h1_drained(3)));
}
