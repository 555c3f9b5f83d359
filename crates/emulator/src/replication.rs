//! The log of one ledger set: who is primary, and how far each member has applied it.

use crate::{Micros, SECOND};

/// A member's place in the log. Kept as a point and a speed, so that any later moment can be asked for.
#[derive(Clone, Debug)]
struct Applied {
    at: Micros,
    position: Micros,
    /// How far the log is away.
    ship: Micros,
    /// Positions applied per unit of time when there is a backlog.
    speed: f64,
}

/// The log of one ledger set. Positions are times up to which all commits are applied.
#[derive(Clone, Debug)]
pub struct Replication {
    /// By member.
    applied: Vec<Applied>,
    primary: Option<usize>,
    /// Where the log ends while there is no primary.
    stands: Micros,
    last_commit: Micros,
}

impl Replication {
    /// Members, each with its way from the primary and the share of the time that it applies; the first is primary.
    pub fn new(members: &[(Micros, f64)], now: Micros) -> Self {
        let applied = members
            .iter()
            .map(|(ship, busy)| Applied { at: now, position: now - ship, ship: *ship, speed: 1.0 / busy })
            .collect();
        Self { applied, primary: Some(0), stands: now, last_commit: now }
    }

    /// The primary, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    fn head(&self, now: Micros) -> Micros {
        if self.primary.is_some() {
            now
        } else {
            self.stands
        }
    }

    /// Up to where a member has applied the log.
    pub fn position(&self, member: usize, now: Micros) -> Micros {
        if self.primary == Some(member) {
            return now;
        }
        let one = &self.applied[member];
        let most = (self.head(now) - one.ship).max(one.position);
        (one.position + ((now - one.at) as f64 * one.speed) as Micros).min(most)
    }

    /// When a member will have reached a position, as things are; none if it never will.
    pub fn reaches(&self, member: usize, position: Micros, now: Micros) -> Option<Micros> {
        if self.position(member, now) >= position {
            return Some(now);
        }
        let one = &self.applied[member];
        let by_speed = one.at + ((position - one.position) as f64 / one.speed).ceil() as Micros;
        match self.primary {
            Some(_) => Some(by_speed.max(position + one.ship)),
            None if self.stands - one.ship >= position => Some(by_speed),
            None => None,
        }
    }

    fn settle(&mut self, now: Micros) {
        for member in 0..self.applied.len() {
            let position = self.position(member, now);
            let one = &mut self.applied[member];
            (one.at, one.position) = (now, position);
        }
    }

    /// A member applies so many times more slowly from now on, or as ever again.
    pub fn slow(&mut self, member: usize, times: f64, busy: f64, now: Micros) {
        self.settle(now);
        self.applied[member].speed = 1.0 / (busy * times.max(1.0));
    }

    /// The set has no primary from now on.
    pub fn behead(&mut self, now: Micros) {
        self.settle(now);
        self.stands = self.head(now);
        self.primary = None;
    }

    /// The one among these that has most of the log takes over; whether there is one. It has applied what was
    /// acknowledged before it takes its first write.
    pub fn elect(&mut self, alive: &[usize], now: Micros) -> Option<usize> {
        self.settle(now);
        let best = *alive.iter().max_by_key(|member| self.applied[**member].position)?;
        self.primary = Some(best);
        Some(best)
    }

    /// A member applies nothing while it is down: it goes on from where it stood.
    pub fn resume(&mut self, member: usize, stood: Micros, now: Micros) {
        self.settle(now);
        self.applied[member].position = stood.min(now);
    }

    /// The next commit's position: the present, and after the one before.
    pub fn commit(&mut self, now: Micros) -> Micros {
        self.last_commit = now.max(self.last_commit + 1);
        self.last_commit
    }
}

/// Positions as they are told: in whole milliseconds, commits up, what is applied down.
pub fn told(position: Micros, commit: bool) -> i64 {
    let ms = SECOND / 1_000;
    if commit {
        (position + ms - 1).div_euclid(ms)
    } else {
        position.div_euclid(ms)
    }
}
