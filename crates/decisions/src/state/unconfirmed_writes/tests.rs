//! Conditions under which a write is unconfirmed, and the removal of expired entries.

use super::*;

const SESSION: SessionId = SessionId(1);

#[test]
fn a_session_is_unconfirmed_while_a_write_is_in_flight_or_may_still_commit() {
    let mut unconfirmed = UnconfirmedWrites::default();
    unconfirmed.write_sent(SESSION, 0, Timestamp(10));
    assert!(
        unconfirmed.is_unconfirmed(SESSION, 0, Timestamp(1_000))
            && !unconfirmed.is_unconfirmed(SESSION, 1, Timestamp(1_000))
    );
    unconfirmed.write_sent(SESSION, 0, Timestamp(20));
    unconfirmed.write_ended(SESSION, 0, None);
    assert!(unconfirmed.is_unconfirmed(SESSION, 0, Timestamp(1_000)), "the other write is still in flight");
    unconfirmed.write_ended(SESSION, 0, Some(Timestamp(2_000)));
    assert!(
        unconfirmed.is_unconfirmed(SESSION, 0, Timestamp(1_999))
            && !unconfirmed.is_unconfirmed(SESSION, 0, Timestamp(2_000))
    );
    unconfirmed.write_sent(SESSION, 0, Timestamp(3_000));
    unconfirmed.write_ended(SESSION, 0, None);
    assert!(
        !unconfirmed.is_unconfirmed(SESSION, 0, Timestamp(3_000)),
        "the write got a response or was never executed"
    );
}

#[test]
fn expired_entries_are_removed() {
    let mut unconfirmed = UnconfirmedWrites::default();
    for n in 0..10_000 {
        unconfirmed.write_sent(SessionId(n), 0, Timestamp(n as i64 * 10));
        unconfirmed.write_ended(SessionId(n), 0, Some(Timestamp(n as i64 * 10 + 100)));
    }
    assert!(unconfirmed.sessions.len() < 100, "{}", unconfirmed.sessions.len());
    assert!(unconfirmed.is_unconfirmed(SessionId(9_999), 0, Timestamp(99_999)));
}
