//! Sessions with a write of which nobody here knows whether it was committed: it is out, or it ended without a word. Its
//! host may have answered all the same, and the answer may be lost on its way; a read of the session that comes meanwhile
//! has to see it. What such a read may be sent to is the module's to decide.

use crate::interface::{SessionId, Timestamp};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Writes {
    /// Attempts that have not ended.
    out: u32,
    /// Until when one that has ended may still come to count.
    until: Timestamp,
}

/// The sessions in doubt, each with its set.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedWrites {
    writes: BTreeMap<(u32, SessionId), Writes>,
    /// How many there were when those in no doubt any more were last looked for.
    swept: usize,
}

impl UnconfirmedWrites {
    /// An attempt of a session's write is sent to a set.
    pub fn sent(&mut self, session: SessionId, set: u32, now: Timestamp) {
        if self.writes.len() > 2 * self.swept.max(16) {
            self.writes.retain(|_, writes| writes.out > 0 || now < writes.until);
            self.swept = self.writes.len();
        }
        self.writes.entry((set, session)).or_insert(Writes { out: 0, until: now }).out += 1;
    }

    /// One has ended: it never ran or its answer has told, if `until` is none; else it may come to count until then.
    pub fn ended(&mut self, session: SessionId, set: u32, until: Option<Timestamp>) {
        let Some(writes) = self.writes.get_mut(&(set, session)) else { return };
        writes.out = writes.out.saturating_sub(1);
        writes.until = until.map_or(writes.until, |until| writes.until.max(until));
    }

    /// Whether a write of the session may have been committed there without anybody having told.
    pub fn is_in_doubt(&self, session: SessionId, set: u32, now: Timestamp) -> bool {
        self.writes.get(&(set, session)).is_some_and(|writes| writes.out > 0 || now < writes.until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: SessionId = SessionId(1);

    #[test]
    fn a_session_is_in_doubt_while_its_write_is_out_and_for_as_long_as_one_without_an_answer_may_count() {
        let mut unsure = UnconfirmedWrites::default();
        unsure.sent(ONE, 0, Timestamp(10));
        assert!(
            unsure.is_in_doubt(ONE, 0, Timestamp(1_000)) && !unsure.is_in_doubt(ONE, 1, Timestamp(1_000))
        );
        unsure.sent(ONE, 0, Timestamp(20));
        unsure.ended(ONE, 0, None);
        assert!(unsure.is_in_doubt(ONE, 0, Timestamp(1_000)), "the other one is still out");
        unsure.ended(ONE, 0, Some(Timestamp(2_000)));
        assert!(
            unsure.is_in_doubt(ONE, 0, Timestamp(1_999)) && !unsure.is_in_doubt(ONE, 0, Timestamp(2_000))
        );
        unsure.sent(ONE, 0, Timestamp(3_000));
        unsure.ended(ONE, 0, None);
        assert!(!unsure.is_in_doubt(ONE, 0, Timestamp(3_000)), "it never ran, or has told");
    }

    #[test]
    fn what_is_in_no_doubt_any_more_is_forgotten() {
        let mut unsure = UnconfirmedWrites::default();
        for n in 0..10_000 {
            unsure.sent(SessionId(n), 0, Timestamp(n as i64 * 10));
            unsure.ended(SessionId(n), 0, Some(Timestamp(n as i64 * 10 + 100)));
        }
        assert!(unsure.writes.len() < 100, "{}", unsure.writes.len());
        assert!(unsure.is_in_doubt(SessionId(9_999), 0, Timestamp(99_999)));
    }
}
