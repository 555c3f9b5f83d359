//! When a host that failed is left alone, and for how long: longer with each further failure, and forgotten with its
//! first answer. Who may be asked all the same is the module's to decide.

use crate::interface::Timestamp;

/// The rests of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    failures: u32,
    until: Timestamp,
}

/// A rest is doubled this often at the most.
const DOUBLINGS: u32 = 6;
/// So many failures without an answer between them are a host's state; fewer may be a fault of single connections.
const STATE: u32 = 3;

impl Rest {
    /// Whether it has failed since its last answer.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether it has failed time and again since its last answer.
    pub fn refuses(&self) -> bool {
        self.failures >= STATE
    }

    /// Whether it is to be left alone.
    pub fn rests(&self, now: Timestamp) -> bool {
        self.failing() && now < self.until
    }

    /// It has answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It has failed: it rests for `first` microseconds, doubled with each failure since its last answer, and for
    /// `longest` at the most. A rest that is longer already stands.
    pub fn failed(&mut self, now: Timestamp, first: i64, longest: i64) {
        self.failures += 1;
        let rest = (first << (self.failures - 1).min(DOUBLINGS)).min(longest);
        self.until = self.until.max(Timestamp(now.0 + rest));
    }

    /// It is asked: one that failed gets one trial at a time, so it rests for so many microseconds anew.
    pub fn tried(&mut self, now: Timestamp, span: i64) {
        if self.failing() {
            self.until = Timestamp(now.0 + span);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FIRST: i64 = 300;
    const LONGEST: i64 = 3_000;

    fn failed(times: i64) -> Rest {
        let mut rest = Rest::default();
        (0..times).for_each(|_| rest.failed(Timestamp(0), FIRST, LONGEST));
        rest
    }

    #[test]
    fn each_failure_doubles_the_rest_up_to_the_longest() {
        for (times, until) in [(1, 300), (2, 600), (3, 1_200), (5, 3_000), (100, 3_000)] {
            assert!(failed(times).rests(Timestamp(until - 1)), "{times}");
            assert!(!failed(times).rests(Timestamp(until)), "{times}");
        }
    }

    #[test]
    fn a_host_refuses_from_its_third_failure_in_a_row_on() {
        assert!(!failed(2).refuses() && failed(3).refuses());
        let mut rest = failed(3);
        rest.answered();
        assert!(!rest.refuses());
        rest.failed(Timestamp(0), FIRST, LONGEST);
        assert!(!rest.refuses(), "an answer came between");
    }

    #[test]
    fn an_answer_ends_it_and_the_next_failure_counts_from_the_first() {
        let mut rest = failed(1);
        rest.answered();
        assert!(!rest.failing() && !rest.rests(Timestamp(1)));
        rest.failed(Timestamp(1_000), FIRST, LONGEST);
        assert!(rest.rests(Timestamp(1_299)) && !rest.rests(Timestamp(1_300)));
    }

    #[test]
    fn a_trial_makes_the_others_wait_only_where_it_has_failed() {
        let mut rest = failed(1);
        rest.tried(Timestamp(400), FIRST);
        assert!(rest.rests(Timestamp(699)));
        let mut well = Rest::default();
        well.tried(Timestamp(400), FIRST);
        assert!(!well.rests(Timestamp(401)));
    }
}
