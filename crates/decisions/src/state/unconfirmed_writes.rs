//! Sessions with an unconfirmed write: one whose attempt is in flight or ended without a response.
//!
//! The host may have committed such a write although no response arrived, so a read of the session has to see
//! all commits that may have been made.

use crate::interface::{SessionId, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Number of entries up to which expired ones are not removed.
const MIN_ENTRIES_TO_SWEEP: usize = 32;

/// The unconfirmed writes of one session in one group.
#[derive(Clone, Copy, Debug)]
struct SessionWrites {
    in_flight_attempts: u32,
    /// Time until which an attempt in flight may commit, even if its end is never recorded.
    in_flight_until: Timestamp,
    /// Time until which an attempt that ended without a response may still commit.
    may_commit_until: Timestamp,
}

impl SessionWrites {
    fn is_unconfirmed(&self, now: Timestamp) -> bool {
        self.has_in_flight(now) || now < self.may_commit_until
    }

    fn has_in_flight(&self, now: Timestamp) -> bool {
        self.in_flight_attempts > 0 && now < self.in_flight_until
    }
}

/// The sessions with an unconfirmed write, by replication group.
///
/// Expired entries are removed each time the number of entries has doubled since the last removal.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedWrites {
    sessions: BTreeMap<(u32, SessionId), SessionWrites>,
    entries_after_sweep: usize,
}

impl UnconfirmedWrites {
    /// Records that an attempt of a session's write was sent to a group. Its end is always recorded.
    pub fn write_sent(&mut self, session: SessionId, group: u32, now: Timestamp) {
        self.write_sent_until(session, group, now, Timestamp(i64::MAX));
    }

    /// Records that an attempt of a session's write was sent to a group. It may commit until `until`, after
    /// which its end is not waited for.
    pub fn write_sent_until(&mut self, session: SessionId, group: u32, now: Timestamp, until: Timestamp) {
        if self.sessions.len() > MIN_ENTRIES_TO_SWEEP.max(2 * self.entries_after_sweep) {
            self.sessions.retain(|_, writes| writes.is_unconfirmed(now));
            self.entries_after_sweep = self.sessions.len();
        }
        let new = SessionWrites { in_flight_attempts: 0, in_flight_until: now, may_commit_until: now };
        let writes = self.sessions.entry((group, session)).or_insert(new);
        if !writes.has_in_flight(now) {
            writes.in_flight_attempts = 0;
            writes.in_flight_until = now;
        }
        writes.in_flight_attempts += 1;
        writes.in_flight_until = writes.in_flight_until.max(until);
    }

    /// Records the end of an attempt. `may_commit_until` is `None` if a response arrived or the write was
    /// never executed.
    pub fn write_ended(&mut self, session: SessionId, group: u32, may_commit_until: Option<Timestamp>) {
        let Some(writes) = self.sessions.get_mut(&(group, session)) else { return };
        writes.in_flight_attempts = writes.in_flight_attempts.saturating_sub(1);
        if let Some(until) = may_commit_until {
            writes.may_commit_until = writes.may_commit_until.max(until);
        }
    }

    /// Returns whether the session has an unconfirmed write in the group.
    pub fn is_unconfirmed(&self, session: SessionId, group: u32, now: Timestamp) -> bool {
        self.sessions.get(&(group, session)).is_some_and(|writes| writes.is_unconfirmed(now))
    }
}
