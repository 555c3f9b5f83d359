//! How late answers are, in parts of their aims, by group and by whether its primary or its replicas gave them. A router that
//! hears a group every few seconds knows it by one or two answers, of which a single long one says little: what it hears
//! of all groups stands beside that. What follows from lateness is the module's to decide.

use super::Faded;
use crate::interface::Timestamp;
use std::collections::BTreeMap;

/// What is heard of all groups counts as much as so many answers of the one.
const OTHERS: f64 = 3.0;

/// Answers of late of one kind: how late, and how many.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    late: Faded,
    number: f64,
    at: Timestamp,
}

impl Heard {
    fn number(&self, now: Timestamp, span: f64) -> f64 {
        self.number * (-((now.0 - self.at.0).max(0) as f64) / span).exp()
    }

    fn learn(&mut self, now: Timestamp, sample: f64, least: f64, span: f64) {
        (self.number, self.at) = (self.number(now, span) + 1.0, now);
        self.late.learn(now, sample, least, span);
    }
}

/// Lateness by group. What is older than `span` microseconds is all but forgotten; the least weight of a new sample is `least`.
#[derive(Clone, Debug)]
pub struct Crowd {
    span: f64,
    least: f64,
    groups: BTreeMap<(u32, bool), Heard>,
    /// Of all replicas, and of all primaries.
    all: [Faded; 2],
}

impl Crowd {
    /// Nothing heard yet.
    pub fn new(span: f64, least: f64) -> Self {
        Self { span, least, groups: BTreeMap::new(), all: Default::default() }
    }

    /// An answer of a group's primary, or of a replica, that took so many parts of its aim.
    pub fn learn(&mut self, group: u32, primary: bool, now: Timestamp, sample: f64) {
        self.groups.entry((group, primary)).or_default().learn(now, sample, self.least, self.span);
        self.all[usize::from(primary)].learn(now, sample, self.least, self.span);
    }

    /// How late answers are there; what is heard of other groups weighs the more the less is heard of this one.
    pub fn late(&self, group: u32, primary: bool, now: Timestamp) -> f64 {
        let own = self.groups.get(&(group, primary)).copied().unwrap_or_default();
        let own_number = own.number(now, self.span);
        let all = self.all[usize::from(primary)].read(now, self.span);
        // Without any answer of the group's own nothing is held against it.
        let others = if own_number > 0.0 { OTHERS } else { 0.0 };
        let sum = own.late.read(now, self.span) * own_number + all * others;
        sum / (own_number + others).max(1e-9)
    }

    /// Part of what is known of a group that is still fresh, between 0 and 1.
    pub fn known(&self, group: u32, primary: bool, now: Timestamp) -> f64 {
        self.groups.get(&(group, primary)).map_or(0.0, |heard| heard.late.kept(now, self.span))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: f64 = 6e6;

    fn at(ms: i64) -> Timestamp {
        Timestamp(1_000_000_000 + ms * 1_000)
    }

    /// Twenty groups, each heard once in two seconds, all of them well.
    fn thin() -> Crowd {
        let mut crowd = Crowd::new(SPAN, 0.25);
        (0..100).for_each(|n| crowd.learn(n as u32 % 20, true, at(100 * n), 0.2));
        crowd
    }

    #[test]
    fn one_long_answer_of_a_group_that_is_seldom_heard_is_outweighed_by_what_others_say() {
        let (mut crowd, mut alone) = (thin(), Faded::default());
        alone.learn(at(8_300), 0.2, 0.25, SPAN);
        alone.learn(at(10_000), 2.0, 0.25, SPAN);
        crowd.learn(3, true, at(10_000), 2.0);
        (1..8).for_each(|n| crowd.learn(10 + n as u32, true, at(10_000 + 100 * n), 0.2));
        let (with, without) = (crowd.late(3, true, at(10_700)), alone.read(at(10_700), SPAN));
        assert!(with < without * 0.75, "{with} with the others, {without} alone");
        // Several in a row count, whatever the others say.
        for n in 1..8 {
            crowd.learn(3, true, at(11_000 + 300 * n), 2.0);
            (0..4).for_each(|other| crowd.learn(10 + other, true, at(11_100 + 300 * n), 0.2));
        }
        assert!(crowd.late(3, true, at(13_200)) > 1.0);
    }

    #[test]
    fn where_much_is_heard_of_a_group_the_others_hardly_count() {
        let mut crowd = Crowd::new(SPAN, 0.25);
        (0..400).for_each(|n| crowd.learn(0, false, at(10 * n), 1.0));
        (0..400).for_each(|n| crowd.learn(1, false, at(10 * n), 0.0));
        assert!(crowd.late(0, false, at(4_000)) > 0.95 && crowd.late(1, false, at(4_000)) < 0.05);
    }

    #[test]
    fn nothing_is_held_against_a_group_that_was_never_heard() {
        let crowd = thin();
        assert_eq!((crowd.late(99, true, at(10_000)), crowd.known(99, true, at(10_000))), (0.0, 0.0));
        assert_eq!(crowd.late(3, false, at(10_000)), 0.0, "primaries and replicas are counted apart");
    }
}
