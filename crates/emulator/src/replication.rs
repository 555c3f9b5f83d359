//! The replicated log of a group: its primary, and the position up to which each member has applied the log.

use crate::{Micros, SECOND};

/// Progress of a member in the log, as a position at a point in time and a speed, from which the position at
/// any later time follows.
#[derive(Clone, Debug)]
struct Progress {
    at: Micros,
    position: Micros,
    /// The delay of the log on its way from the primary.
    delay: Micros,
    /// The positions applied per unit of time while there is a backlog.
    speed: f64,
}

/// The replicated log of a group. A position is the time up to which all commits are applied.
#[derive(Clone, Debug)]
pub struct Replication {
    /// The progress of each member.
    applied: Vec<Progress>,
    primary: Option<usize>,
    /// The end of the log while there is no primary.
    end: Micros,
    last_commit: Micros,
}

impl Replication {
    /// Creates the log of a group. `members` holds the delay from the primary and the share of the time spent
    /// on applying the log, for each member; the first member is the primary.
    pub fn new(members: &[(Micros, f64)], now: Micros) -> Self {
        let applied = members
            .iter()
            .map(|(delay, utilization)| Progress {
                at: now,
                position: now - delay,
                delay: *delay,
                speed: 1.0 / utilization,
            })
            .collect();
        Self { applied, primary: Some(0), end: now, last_commit: now }
    }

    /// Returns the primary, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    fn head(&self, now: Micros) -> Micros {
        if self.primary.is_some() {
            now
        } else {
            self.end
        }
    }

    /// Returns the position up to which a member has applied the log.
    pub fn position(&self, member: usize, now: Micros) -> Micros {
        if self.primary == Some(member) {
            return now;
        }
        let progress = &self.applied[member];
        let available = (self.head(now) - progress.delay).max(progress.position);
        (progress.position + ((now - progress.at) as f64 * progress.speed) as Micros).min(available)
    }

    /// Returns the time at which a member reaches a position if nothing changes, or none if it never will.
    pub fn time_of_reaching(&self, member: usize, position: Micros, now: Micros) -> Option<Micros> {
        if self.position(member, now) >= position {
            return Some(now);
        }
        let progress = &self.applied[member];
        let caught_up_at =
            progress.at + ((position - progress.position) as f64 / progress.speed).ceil() as Micros;
        match self.primary {
            Some(_) => Some(caught_up_at.max(position + progress.delay)),
            None if self.end - progress.delay >= position => Some(caught_up_at),
            None => None,
        }
    }

    fn rebase(&mut self, now: Micros) {
        for member in 0..self.applied.len() {
            let position = self.position(member, now);
            let progress = &mut self.applied[member];
            (progress.at, progress.position) = (now, position);
        }
    }

    /// Slows a member's application of the log down by the factor `times` from now on; 1 restores its normal
    /// speed.
    pub fn set_slowdown(&mut self, member: usize, times: f64, utilization: f64, now: Micros) {
        self.rebase(now);
        self.applied[member].speed = 1.0 / (utilization * times.max(1.0));
    }

    /// Leaves the group without a primary from now on.
    pub fn remove_primary(&mut self, now: Micros) {
        self.rebase(now);
        self.end = self.head(now);
        self.primary = None;
    }

    /// Makes the candidate with the most advanced position the primary and returns it, or none without
    /// candidates. The new primary has applied all acknowledged commits before it accepts its first write.
    pub fn elect(&mut self, candidates: &[usize], now: Micros) -> Option<usize> {
        self.rebase(now);
        let best = *candidates.iter().max_by_key(|member| self.applied[**member].position)?;
        self.primary = Some(best);
        Some(best)
    }

    /// Lets a member that was down continue from its position at that time, as it applied nothing in between.
    pub fn resume(&mut self, member: usize, position: Micros, now: Micros) {
        self.rebase(now);
        self.applied[member].position = position.min(now);
    }

    /// Returns the position of the next commit: the present, but after the previous commit.
    pub fn commit(&mut self, now: Micros) -> Micros {
        self.last_commit = now.max(self.last_commit + 1);
        self.last_commit
    }
}

/// Converts a position to whole milliseconds, as hosts report it: commits are rounded up, applied positions
/// down.
pub fn to_reported_ms(position: Micros, is_commit: bool) -> i64 {
    let unit = SECOND / 1_000;
    if is_commit {
        (position + unit - 1).div_euclid(unit)
    } else {
        position.div_euclid(unit)
    }
}
