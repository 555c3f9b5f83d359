//! How far the hosts' clock is ahead of this machine's, as their answers show it. Positions, starts and the times of
//! writes that clients tell are moments of the hosts' clock; everything else here runs on this machine's. No decision may
//! rest on the two being set alike: the wall clock of a machine may be an hour off when its process starts.
//!
//! Until the hosts show otherwise the clocks are held to agree. A primary stands at the present, so its answer to a request
//! bounds the difference from above (by the moment of the send) and any position from below (by the moment of the receipt).
//! The difference is only set anew when more hosts contradict it than support it, each over several answers that agree with
//! one another, one of them a primary: a single host whose positions are wrong moves nothing.
//!
//! The difference is chosen from above. If it is too large, positions look older than they are, and reads go to the
//! primary; if it were too small, replicas would look fresher than they are.

use crate::interface::{HostId, LogPosition, Role, Timestamp};
use std::collections::BTreeMap;

/// A position may be ahead of the clock by so much: the clocks' own steps, and rounding.
pub const AHEAD_US: i64 = 10_000;
/// A primary whose answer is older than its request by so much contradicts the difference as it is held.
const BEHIND_US: i64 = 100_000;
/// Samples of one host agree if their differences do within this.
const AGREEMENT_US: i64 = 250_000;
/// A host contradicts from this many samples in a row on.
const SAMPLES_EACH: u32 = 2;
/// And all of them together from this many on.
const SAMPLES: u32 = 3;
/// What was heard longer ago than this counts no more.
const WINDOW_US: i64 = 10_000_000;

/// What an answer tells of its host's clock. The position is the host's, the two moments are this machine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The position.
    pub position: LogPosition,
    /// Who the host says it is.
    pub role: Option<Role>,
    /// When the last byte of the request was written; none for a report, which may be older than its request.
    pub sent: Option<Timestamp>,
    /// When the answer was taken.
    pub received: Timestamp,
}

impl Sample {
    /// The least difference that allows for it.
    fn low(&self) -> i64 {
        self.position.0.saturating_sub(self.received.0)
    }

    /// The greatest difference that allows for it, if it tells one.
    fn high(&self) -> Option<i64> {
        let sent = self.sent.filter(|_| self.role == Some(Role::Primary))?;
        Some(self.position.0.saturating_sub(sent.0))
    }
}

/// What a sample says about the difference as it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Opinion {
    /// The hosts' clock is further ahead.
    Ahead,
    /// It is less far ahead.
    Behind,
    /// It is where it is held to be.
    Supports,
    /// A position in the past tells nothing: its host may lag.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    at: Timestamp,
    opinion: Opinion,
    low: i64,
    high: Option<i64>,
    /// Samples in a row that said so and agree.
    samples: u32,
}

/// The difference between the clocks. As large as there are hosts that were heard lately.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    offset_us: i64,
    hosts: BTreeMap<HostId, Evidence>,
}

impl HostClock {
    /// A moment of the hosts' clock in this machine's.
    pub fn local(&self, moment: Timestamp) -> Timestamp {
        Timestamp(moment.0.saturating_sub(self.offset_us))
    }

    /// A position in this machine's time.
    pub fn local_position(&self, position: LogPosition) -> LogPosition {
        LogPosition(position.0.saturating_sub(self.offset_us))
    }

    /// How far the hosts' clock is held to be ahead, in microseconds.
    pub fn offset_us(&self) -> i64 {
        self.offset_us
    }

    /// Whether a host's positions have contradicted the difference several times, so that they tell nothing for now.
    pub fn is_in_doubt(&self, host: HostId) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|evidence| evidence.opinion == Opinion::Ahead && evidence.samples >= SAMPLES_EACH)
    }

    /// Takes what an answer tells. If it sets the difference anew: by how much, in microseconds.
    pub fn note(&mut self, host: HostId, sample: Sample) -> Option<i64> {
        let opinion = self.opinion(&sample);
        if opinion == Opinion::Silent {
            return None;
        }
        let last = self.hosts.get(&host).copied();
        let (low, high) = (sample.low(), sample.high());
        let agrees = |last: &Evidence| {
            last.opinion == opinion
                && (last.low - low).abs() <= AGREEMENT_US
                && !is_old(last, sample.received)
        };
        let evidence = match last.filter(agrees) {
            None => Evidence { at: sample.received, opinion, low, high, samples: 1 },
            Some(last) => Evidence {
                at: sample.received,
                opinion,
                low: last.low.max(low),
                // The quickest answer tells most.
                high: last.high.into_iter().chain(high).min(),
                samples: last.samples.saturating_add(1),
            },
        };
        self.hosts.insert(host, evidence);
        if opinion == Opinion::Supports {
            return None;
        }
        self.hosts.retain(|_, evidence| !is_old(evidence, sample.received));
        self.set_anew(opinion)
    }

    fn opinion(&self, sample: &Sample) -> Opinion {
        let behind = self.offset_us - BEHIND_US;
        if sample.low() > self.offset_us + AHEAD_US {
            Opinion::Ahead
        } else if sample.high().is_some_and(|high| high < behind) {
            Opinion::Behind
        } else if sample.low() >= behind {
            Opinion::Supports
        } else {
            Opinion::Silent
        }
    }

    /// Sets the difference anew if the hosts that say so are the most, and agree.
    fn set_anew(&mut self, opinion: Opinion) -> Option<i64> {
        let count =
            |wanted: Opinion| self.hosts.values().filter(|evidence| evidence.opinion == wanted).count();
        let contradicting =
            || self.hosts.values().filter(|e| e.opinion == opinion && e.samples >= SAMPLES_EACH);
        let samples: u32 = contradicting().map(|evidence| evidence.samples).sum();
        let mut highs: Vec<i64> = contradicting().filter_map(|evidence| evidence.high).collect();
        highs.sort_unstable();
        let middle = *highs.get(highs.len() / 2)?;
        // Whoever is ahead even of that is contradicted by the primaries.
        let agreeing = contradicting().filter(|evidence| evidence.low <= middle + AHEAD_US).count();
        let others = self.hosts.len() - agreeing - count(Opinion::Silent);
        if samples < SAMPLES || agreeing <= others {
            return None;
        }
        let shift = middle - self.offset_us;
        self.offset_us = middle;
        self.hosts.clear();
        Some(shift)
    }
}

fn is_old(evidence: &Evidence, now: Timestamp) -> bool {
    now.0.saturating_sub(evidence.at.0) > WINDOW_US
}
