//! The offset of the hosts' clock from this machine's, estimated from answers.
//!
//! Positions, start times and the times of writes that clients give are points in time of the hosts' clock; everything
//! else here is on this machine's. No decision may assume that the two agree: a machine's wall clock may be an hour off
//! when its process starts.
//!
//! The offset is zero until answers contradict it. A primary's position is current, so its answer bounds the offset from
//! above, by the time of the send; any position bounds it from below, by the time of the receipt. The offset changes only
//! when more hosts contradict it than support it, each with several consistent answers and one of them a primary: a
//! single host with wrong positions changes nothing.
//!
//! The offset is the largest that the bounds allow. One that is too large makes positions look older than they are, and
//! reads go to the primary; one that is too small would make replicas look fresher than they are.

use crate::interface::{HostId, LogPosition, Role, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How far a position may be ahead of the clock: rounding, and the clock's own steps.
pub const MAX_POSITION_LEAD: TimeDelta = TimeDelta::from_millis(10);
/// A primary whose position is older than its request by more than this contradicts the offset.
const MAX_PRIMARY_LAG: TimeDelta = TimeDelta::from_millis(100);
/// Samples of one host are consistent if their lower bounds differ by no more than this.
const MAX_SAMPLE_SPREAD: TimeDelta = TimeDelta::from_millis(250);
/// Consistent samples in a row from which on a host contradicts the offset.
const MIN_SAMPLES_PER_HOST: u32 = 2;
/// Samples of all contradicting hosts together that a change of the offset takes.
const MIN_SAMPLES: u32 = 3;
/// Age beyond which evidence is dropped.
const MAX_EVIDENCE_AGE: TimeDelta = TimeDelta::from_secs(10);

/// What an answer says about its host's clock. The position is on the hosts' clock, the times are on this machine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The position that the answer carries.
    pub position: LogPosition,
    /// The host's role, if the answer carries it.
    pub role: Option<Role>,
    /// When the last byte of the request was written; `None` for a load report, which may be older than its request.
    pub sent: Option<Timestamp>,
    /// When the answer was received.
    pub received: Timestamp,
}

impl Sample {
    /// Returns the smallest offset that is consistent with the sample, in microseconds.
    fn lower_bound(&self) -> i64 {
        self.position.0.saturating_sub(self.received.0)
    }

    /// Returns the largest offset that is consistent with the sample, in microseconds, if it bounds the offset from
    /// above.
    fn upper_bound(&self) -> Option<i64> {
        let sent = self.sent.filter(|_| self.role == Some(Role::Primary))?;
        Some(self.position.0.saturating_sub(sent.0))
    }
}

/// How a sample relates to the current offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The offset is too small.
    TooSmall,
    /// The offset is too large.
    TooLarge,
    /// The offset is consistent with the sample.
    Supports,
    /// The position is old, which says nothing: its host may lag.
    Inconclusive,
}

/// The last consistent samples of one host.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    received: Timestamp,
    verdict: Verdict,
    /// The highest of the samples' lower bounds, in microseconds.
    lower_bound: i64,
    /// The lowest of the samples' upper bounds, in microseconds.
    upper_bound: Option<i64>,
    samples: u32,
}

impl Evidence {
    fn new(sample: &Sample, verdict: Verdict) -> Self {
        Self {
            received: sample.received,
            verdict,
            lower_bound: sample.lower_bound(),
            upper_bound: sample.upper_bound(),
            samples: 1,
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now.0.saturating_sub(self.received.0) > MAX_EVIDENCE_AGE.0
    }

    fn is_consistent_with(&self, new: &Self) -> bool {
        self.verdict == new.verdict
            && (self.lower_bound - new.lower_bound).abs() <= MAX_SAMPLE_SPREAD.0
            && !self.is_expired(new.received)
    }

    fn merge(self, new: &Self) -> Self {
        Self {
            lower_bound: self.lower_bound.max(new.lower_bound),
            upper_bound: self.upper_bound.into_iter().chain(new.upper_bound).min(),
            samples: self.samples.saturating_add(1),
            ..*new
        }
    }

    fn contradicts(&self) -> bool {
        matches!(self.verdict, Verdict::TooSmall | Verdict::TooLarge) && self.samples >= MIN_SAMPLES_PER_HOST
    }
}

/// The estimated offset, with the recent evidence of each host.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    offset: TimeDelta,
    evidence: BTreeMap<HostId, Evidence>,
}

impl HostClock {
    /// Converts a point in time of the hosts' clock to this machine's.
    pub fn to_local(&self, time: Timestamp) -> Timestamp {
        Timestamp(time.0.saturating_sub(self.offset.0))
    }

    /// Converts a position to this machine's clock.
    pub fn to_local_position(&self, position: LogPosition) -> LogPosition {
        LogPosition(position.0.saturating_sub(self.offset.0))
    }

    /// Returns how far the hosts' clock is ahead of this machine's.
    pub fn offset(&self) -> TimeDelta {
        self.offset
    }

    /// Returns whether several samples of a host were ahead of the clock, so that its positions prove nothing for now.
    pub fn distrusts(&self, host: HostId) -> bool {
        let evidence = self.evidence.get(&host);
        evidence.is_some_and(|evidence| evidence.verdict == Verdict::TooSmall && evidence.contradicts())
    }

    /// Records what an answer of a host says. Returns by how much the offset grew if that changed it.
    pub fn record(&mut self, host: HostId, sample: Sample) -> Option<TimeDelta> {
        let verdict = self.verdict(&sample);
        if verdict == Verdict::Inconclusive {
            return None;
        }
        let new = Evidence::new(&sample, verdict);
        let previous = self.evidence.get(&host).filter(|previous| previous.is_consistent_with(&new));
        let evidence = previous.map_or(new, |previous| previous.merge(&new));
        self.evidence.insert(host, evidence);
        if verdict == Verdict::Supports {
            return None;
        }
        self.evidence.retain(|_, evidence| !evidence.is_expired(sample.received));
        self.change_offset(verdict)
    }

    fn verdict(&self, sample: &Sample) -> Verdict {
        let lowest = self.offset.0 - MAX_PRIMARY_LAG.0;
        if sample.lower_bound() > self.offset.0 + MAX_POSITION_LEAD.0 {
            Verdict::TooSmall
        } else if sample.upper_bound().is_some_and(|bound| bound < lowest) {
            Verdict::TooLarge
        } else if sample.lower_bound() >= lowest {
            Verdict::Supports
        } else {
            Verdict::Inconclusive
        }
    }

    /// Changes the offset to the median upper bound if the hosts with this verdict are the majority and agree on it.
    fn change_offset(&mut self, verdict: Verdict) -> Option<TimeDelta> {
        let of_verdict = self.evidence.values().filter(|evidence| evidence.verdict == verdict);
        let contradicting: Vec<&Evidence> = of_verdict.filter(|evidence| evidence.contradicts()).collect();
        let samples: u32 = contradicting.iter().map(|evidence| evidence.samples).sum();
        let mut upper_bounds: Vec<i64> =
            contradicting.iter().filter_map(|evidence| evidence.upper_bound).collect();
        upper_bounds.sort_unstable();
        let median = *upper_bounds.get(upper_bounds.len() / 2)?;
        // A host that is ahead even of the median is contradicted by the primaries.
        let agrees = |evidence: &&&Evidence| evidence.lower_bound <= median + MAX_POSITION_LEAD.0;
        let agreeing = contradicting.iter().filter(agrees).count();
        let others = self.evidence.len() - agreeing;
        if samples < MIN_SAMPLES || agreeing <= others {
            return None;
        }
        let change = TimeDelta(median - self.offset.0);
        self.offset = TimeDelta(median);
        self.evidence.clear();
        Some(change)
    }
}
