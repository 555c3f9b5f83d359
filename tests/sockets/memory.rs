//! Caps on memory on sockets: at each a refusal with a reason, and others go on.

use crate::scenario::play_with_operator_file;
use rstest::rstest;

#[rstest]
#[case::a_full_request_table_refuses_reads_and_keeps_room_for_a_write(
    "memory: {purposes: {requests: {cap: 6KiB, reserve: 0B}}}",
    "
    c1-6 start
    c1-4 send read q@ 2900
    wait 100
    c5 send read q5 2900
    c5 expect within 200 error 53300 500
    c6 send write w1 2900               # a quarter is kept for those that write
    h1 expect id=q
    h1 expect id=q
    h1 expect id=q
    h1 expect id=q
    h1 expect id=w1
    h1 answer c6 done primary
    proxy expect log memory reservations rejected purpose=requests"
)]
#[case::who_begins_more_than_there_is_room_for_is_told_and_hurts_nobody(
    "memory: {purposes: {client-buffers: {cap: 48KiB, reserve: 0B}}}",
    "
    c1-2 start
    c1 send part 60000
    c1 expect within 1000 error 53300
    c1 expect closed
    h1 serve c2 read q1 900 = fine primary"
)]
#[case::connections_without_room_are_closed_and_come_again(
    "memory: {purposes: {connections: {cap: 20KiB, reserve: 0B}}}",
    "
    wait 200                            # whoever looked whether the proxy listens has left
    c1-3 start
    c4 expect within 500 closed
    c1 send terminate
    c1 expect closed
    wait 100
    c5 send startup
    c5 expect ready"
)]
fn a_cap_is_hit(#[case] operator: &str, #[case] text: &str) {
    play_with_operator_file(operator, 1, text);
}

/// One has begun what it does not end and holds what it has borrowed; a client that is entitled to room is told to
/// come again, and by then it is there.
#[test]
fn what_a_stranger_has_borrowed_is_taken_back_in_time() {
    play_with_operator_file(
        "memory: {purposes: {client-buffers: {cap: 200KiB, reserve: 0B}}}",
        1,
        "
        c1-3 start
        c2-3 send read q@ 900           # so that they are known by their class
        h1 expect id=q
        h1 send value fine primary
        h1 expect id=q
        h1 send value fine primary
        c2-3 expect value fine
        c1 send part 100000             # 128 KiB
        wait 50
        c2 send part 60000
        c2 expect within 200 error 53300 250
        c2 expect closed
        c1 expect within 600 error 53300
        c1 expect closed
        c3 send part 60000
        c3 expect silence 300",
    );
}

/// Those who begin and do not end hold their seats for long: whoever has asked for nothing yet makes room first.
#[test]
fn who_has_asked_for_nothing_makes_room_when_all_seats_are_taken() {
    play_with_operator_file(
        "",
        1,
        "
        c1-22 send startup              # 64 descriptors leave 22 for clients
        c1-22 expect ready
        c1-22 send part 10
        wait 300
        c23 send startup
        c23 expect within 500 ready
        wait 100
        h1 serve c23 read q1 900 = fine primary
        c1 expect within 500 error 53300
        c1 expect closed",
    );
}
