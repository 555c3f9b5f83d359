//! A group of hosts as one router meets it: how many members it has had, and what of the requests that come for it its
//! hosts serve. What hosts serve is what they can do; what clients ask may be many times that, since whoever is turned
//! away comes again. Which host gets what is the module's to decide.

use crate::interface::{TimeDelta, Timestamp};

/// So many requests are presumed to have been asked and served: the first few tell nothing.
const PRESUMED: f64 = 2.0;

/// Requests of late: older ones count the less.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    asked: f64,
    served: f64,
    at: Timestamp,
}

impl Offer {
    fn fade(&mut self, now: Timestamp, span: TimeDelta) {
        let kept = (-((now.0 - self.at.0).max(0) as f64) / span.0.max(1) as f64).exp();
        (self.asked, self.served, self.at) = (self.asked * kept, self.served * kept, now);
    }
}

/// What is known of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    most: usize,
    reads: Offer,
    writes: Offer,
}

impl Group {
    /// It has so many members now.
    pub fn has(&mut self, members: usize) {
        self.most = self.most.max(members);
    }

    /// The most members that it has had at once, one at the least.
    pub fn most(&self) -> usize {
        self.most.max(1)
    }

    /// A request has come for it: a write, or a read. What is older than `span` is all but forgotten.
    pub fn asked(&mut self, write: bool, now: Timestamp, span: TimeDelta) {
        let offer = self.offer(write);
        offer.fade(now, span);
        offer.asked += 1.0;
    }

    /// A host has served one.
    pub fn served(&mut self, write: bool, now: Timestamp, span: TimeDelta) {
        let offer = self.offer(write);
        offer.fade(now, span);
        offer.served += 1.0;
    }

    /// Part of what is asked that is served, at most 1.
    pub fn served_part(&self, write: bool) -> f64 {
        let offer = if write { &self.writes } else { &self.reads };
        ((offer.served + PRESUMED) / (offer.asked + PRESUMED)).min(1.0)
    }

    /// Part of what is asked that one host serves: all writes go to one, reads to each of the members that it has had at
    /// most at once. The last member left would otherwise draw the reads of all.
    pub fn part_of_one(&self, write: bool) -> f64 {
        let takers = if write { 1 } else { self.most() };
        self.served_part(write) / takers as f64
    }

    fn offer(&mut self, write: bool) -> &mut Offer {
        if write {
            &mut self.writes
        } else {
            &mut self.reads
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: TimeDelta = TimeDelta(3_000_000);

    #[test]
    fn what_comes_again_after_refusals_lowers_the_part_that_is_served() {
        let mut group = Group::default();
        let ask = |group: &mut Group, n: i64, each: i64| {
            for at in (0..n).map(|n| Timestamp(1_000_000_000 + n * 100_000)) {
                (0..each).for_each(|_| group.asked(false, at, SPAN));
                group.served(false, at, SPAN);
            }
        };
        ask(&mut group, 100, 1);
        assert!(group.served_part(false) > 0.95);
        ask(&mut group, 100, 4);
        assert!((0.2..0.35).contains(&group.served_part(false)), "{}", group.served_part(false));
        assert!(group.served_part(true) == 1.0, "writes are counted apart");
    }

    #[test]
    fn the_most_members_count() {
        let mut group = Group::default();
        assert_eq!(group.most(), 1);
        group.has(6);
        group.has(2);
        assert_eq!(group.most(), 6);
    }
}
