//! Values far beyond the usual length, from host to client.

use crate::scenario::{play, play_with_operator_file};
use rstest::rstest;

/// Passed on to the letter, and the connections on both sides are good for what comes next.
#[rstest]
#[case::just_beyond_the_usual_length(73 << 10)]
#[case::a_quarter_of_a_mebibyte(256 << 10)]
#[case::the_longest(4 << 20)]
fn a_long_value_reaches_its_client_to_the_letter(#[case] length: usize) {
    let value = "v".repeat(length);
    play(
        1,
        &format!(
            "
        c1 start
        h1 serve c1 read q1 2900 = {value} primary
        h1 serve c1 read q2 900 = short primary"
        ),
    );
}

/// Where there is a place for one at a time, the others stay with their hosts until it has been written.
#[test]
fn many_long_values_share_the_places_that_there_are() {
    let value = "v".repeat(1 << 20);
    play_with_operator_file(
        "memory: {purposes: {upstream-buffers: {cap: 400KiB, reserve: 0B}}}",
        1,
        &format!(
            "
            c1-6 start
            c1-6 send read q@ 2900
            any expect id=q
            any send value {value} primary
            any expect id=q
            any send value {value} primary
            any expect id=q
            any send value {value} primary
            any expect id=q
            any send value {value} primary
            any expect id=q
            any send value {value} primary
            any expect id=q
            any send value {value} primary
            c1-6 expect value {value}"
        ),
    );
}

#[test]
fn one_that_there_is_no_memory_for_is_refused_and_leaves_the_host_to_others() {
    let value = "v".repeat(600 << 10);
    play_with_operator_file(
        "memory: {purposes: {upstream-buffers: {cap: 128KiB, reserve: 0B}}}",
        1,
        &format!(
            "
            c1 start
            h1 take c1 read q1 900
            h1 try value {value} primary
            h1 expect id=q1
            h1 try value {value} primary
            c1 expect error 53300
            h1 serve c1 read q2 900 = short primary"
        ),
    );
}

/// The description of a row and the beginning of one with a value of 3 MiB.
const BEGUN: &str =
    "54000000200001636f6e74656e740000000000000000000011ffffffffffff0001440030000a000100300000767676";

/// The client has a part of it already: only the end of its connection can say that there is no more.
#[test]
fn a_long_value_that_breaks_off_ends_its_clients_connection() {
    play(
        1,
        &format!(
            "
            c1-2 start
            h1 take c1 read q1 2900
            h1 send raw {BEGUN}
            h1 close
            c1 expect gone
            h1 serve c2 read q2 900 = fine primary"
        ),
    );
}

/// A host must not make a client wait for good.
#[test]
fn a_long_value_that_stands_still_ends_its_clients_connection() {
    play(
        1,
        &format!(
            "
            c1 start
            h1 take c1 read q1 2900
            h1 send raw {BEGUN}
            c1 expect within 4000 gone"
        ),
    );
}

/// Its first bytes are not held back until the last have come.
#[test]
fn a_long_value_begins_at_its_client_before_it_is_whole() {
    let part = "76".repeat(1000);
    play(
        1,
        &format!(
            "
            c1 start
            h1 take c1 read q1 2900
            h1 send raw {BEGUN}{part}
            c1 expect within 500 bytes {BEGUN}{part}
            c1 close"
        ),
    );
}

/// What has been read of the row stays, though the buffer has grown beyond what an idle connection keeps.
#[test]
fn a_long_value_behind_a_long_notice_is_whole() {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let message =
        |kind: u8, content: &[u8]| [&[kind][..], &(content.len() as u32 + 4).to_be_bytes(), content].concat();
    let value = "v".repeat(128 << 10);
    let notice = message(b'N', &[b"SNOTICE\0M".as_slice(), &[b'n'; 9000], b"\0\0"].concat());
    let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let end = [message(b'C', b"SELECT 1\0"), message(b'Z', b"I")].concat();
    let (notice, row, end) = (hex(&notice), hex(&message(b'D', &row)), hex(&end));
    let described = &BEGUN[..66];
    play(
        1,
        &format!(
            "
            c1 start
            h1 take c1 read q1 2900
            h1 send raw {notice}{described}{row}{end}
            c1 expect value {value}"
        ),
    );
}
