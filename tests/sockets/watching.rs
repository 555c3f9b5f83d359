//! Watches that die, and lists in every form: no drain is missed, and what is wrong with an entry costs that entry alone.

use crate::scenario::{play, play_with_settings, settings_with};
use rstest::rstest;

const OPENS: &str = "
    list expect follow
    c1 start
";

/// `h1` drains: what its clients ask from then on goes to the other host.
fn drained(lists: u32) -> String {
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
fn a_drain_is_heard(#[case] lists: u32, #[case] told: &str) {
    // `lists` counts the one that the configuration holds.
    play(2, &format!("list expect follow\n{told}\n{}", drained(lists)));
}

/// Under the same name at another address: at the new one from then on, the old connections closed.
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

/// The stand-in's watch shows no further sign of life. It trickles, within a value or within white space: that is none.
#[rstest]
#[case::silence("")]
#[case::after_the_first_bytes_of_a_value("list send chunk {")]
#[case::within_a_value("list send chunk {\"index\":2,\"endpoints\":[\n    TRICKLE 5")]
#[case::white_space("TRICKLE \\t")]
fn a_watch_without_a_sign_of_life_is_opened_anew(#[case] before: &str) {
    let (before, trickle) = before.split_once("TRICKLE ").unwrap_or((before, ""));
    let one = if trickle.is_empty() { String::new() } else { format!("list send chunk {trickle}\n") };
    let waits = format!("wait 480\n{one}").repeat(5);
    let text = format!("{OPENS}{before}\n{waits}list expect within 900 follow since=1\n");
    play(1, &text);
}

/// Its silence is heard, and its reopening hangs: within 6 s of the last sign of life another call has brought the list.
#[test]
fn a_reopening_that_hangs_does_not_stand_in_the_way() {
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

/// Plays a scenario in a proxy that asks one discovery, as one of so many.
fn play_among(routers: u32, text: &str) {
    let settings = settings_with(|all| {
        all["balancers"] = routers.into();
        all["discovery"] = "on_request".into();
    });
    play_with_settings(&settings, 1, text);
}

/// Whatever failed, and however many ask the same discovery: within 6 s of when it has a change and can be reached each has
/// heard it. That leaves 4 s between two calls, and 2 s for the call.
#[rstest]
fn one_of_many_asks_in_time(#[values(1, 3, 30, 300)] routers: u32) {
    play_among(
        routers,
        "
        list expect follow
        list close                          # its watch was reset
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

/// Its watch falls silent, and its reopening hangs.
#[rstest]
fn one_of_many_asks_in_time_after_silence(#[values(3, 30, 300)] routers: u32) {
    play_among(
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

/// A call that is not answered in its time is kept while another is placed: where calls queue, its turn may be next.
#[test]
fn a_call_that_queues_is_kept_while_another_is_placed() {
    play_among(
        30,
        "
        list expect follow
        list send mute
        list close
        list expect within 3200 follow
        list expect within 2400 follow
        list send first                     # that which came first is answered, and the watch is its
        list send h1 draining
        proxy expect figures lists=2",
    );
}

/// New settings name another discovery, which leaves 2 s for a call within 4 s; where the first hangs, another follows.
#[rstest]
fn a_new_address_is_asked_in_time(#[values(3, 300)] routers: u32) {
    play_among(
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

/// Discovery is away, and its agent is silent. What that gets when discovery returns counts at once, and the grace after
/// a drain may be half a second: however long it was away, the list is asked for within a part of that.
#[rstest]
#[case::the_call_that_waits_is_answered("answer")]
#[case::only_later_calls_are("speak")]
fn what_discovery_tells_at_its_return_is_heard_at_once(#[case] returns: &str) {
    let later = if returns == "speak" { "list expect within 420 follow" } else { "" };
    let away = "list expect follow\n".repeat(12);
    let text = format!(
        "
        list expect follow
        list send mute
        list close
        {away}
        list send {returns}
        {later}
        wait 20
        list send h1 draining
        proxy expect figures lists=2"
    );
    play(1, &text);
}

/// What waits for a connection that comes up late goes nowhere once its host drains.
#[test]
fn a_drain_told_while_a_connection_comes_up() {
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
        list send h1 up                     # and goes there once it is back
        h1 expect id=q1";
    play(1, text);
}

/// What waits for one of the nine descriptors that all hosts share goes nowhere once its host drains.
#[test]
fn a_drain_told_while_a_place_is_awaited() {
    let takes = "h1 expect c=any\n".repeat(9);
    let text = format!(
        "
        list expect follow
        c1-10 start
        h1 serve c1 read q1 2900 = one primary
        c1-9 send read r@ 2900
        {takes}
        c10 send read q10 2900
        proxy expect figures sent=11
        list send h1 draining
        proxy expect figures lists=2
        h1 close
        h1 expect silence 300"
    );
    play(1, &text);
}

/// An answer without a length, whose connection is reset on the way: what came whole counts, a reset ends no list, and the
/// watch is opened anew from what was heard.
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
    play(2, &format!("{text}\n{}", drained(3)));
}
