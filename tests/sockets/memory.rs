//! Caps on memory, on sockets: a request or connection over the cap is rejected with a reason, and others go
//! on.

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
    c6 send write w1 2900               # a quarter is reserved for classes that write
    h1 expect id=q
    h1 expect id=q
    h1 expect id=q
    h1 expect id=q
    h1 expect id=w1
    h1 answer c6 done primary
    proxy expect log memory reservations rejected purpose=requests"
)]
#[case::a_message_larger_than_the_cap_is_rejected_and_harms_no_other_client(
    "memory: {purposes: {client-buffers: {cap: 48KiB, reserve: 0B}}}",
    "
    c1-2 start
    c1 send part 60000
    c1 expect within 1000 error 53300
    c1 expect closed
    h1 serve c2 read q1 900 = fine primary"
)]
#[case::connections_over_the_cap_are_closed_and_may_come_again(
    "memory: {purposes: {connections: {cap: 20KiB, reserve: 0B}}}",
    "
    wait 200                            # the connection that checked whether the proxy listens is closed
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

/// A client that has sent no request yet holds borrowed memory for a message that it does not complete. A
/// client that has sent requests is told to retry later, and by then the memory has been reclaimed.
#[test]
fn memory_borrowed_by_an_unknown_client_is_reclaimed_in_time() {
    play_with_operator_file(
        "memory: {purposes: {client-buffers: {cap: 200KiB, reserve: 0B}}}",
        1,
        "
        c1-3 start
        c2-3 send read q@ 900           # so that their class is known
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

/// Clients that begin a message and do not complete it hold their connection slots for long. Clients that
/// have not sent a request yet are evicted first.
#[test]
fn clients_without_a_request_are_evicted_when_all_slots_are_taken() {
    play_with_operator_file(
        "",
        1,
        "
        c1-21 send startup              # 64 descriptors leave 21 for clients
        c1-21 expect ready
        c1-21 send part 10
        wait 300
        c23 send startup
        c23 expect within 500 ready
        wait 100
        h1 serve c23 read q1 900 = fine primary
        c1 expect within 500 error 53300
        c1 expect closed",
    );
}
