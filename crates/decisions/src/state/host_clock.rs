//! The offset of the hosts' clock from this machine's, estimated from answers.
//!
//! Positions, start times and the times of writes that clients give are points in time of the hosts' clock; everything
//! else here is on this machine's. No decision may assume that the two agree: a machine's wall clock may be an hour off
//! when its process starts.
//!
//! Any position bounds the offset from below, by the time of its receipt. A primary's position is current, so its answer
//! bounds the offset from above too, by the time of the send. An offset that is too large makes positions look older than
//! they are, and reads go to the primary; one that is too small makes replicas look fresher than they are. Hence:
//!
//! - The offset is presumed to be zero, but until a primary's answer confirms the offset, and again once none has done so
//!   for [`MAX_CONFIRMATION_AGE`], positions prove nothing.
//! - It grows when more hosts contradict it than support it, one of them a primary.
//! - It falls only on the word of two hosts: a primary and another host that stands where the primary does, while no
//!   host has shown a newer position. One host with an old position, or that calls itself the primary and is not,
//!   changes nothing.
//!
//! Of a primary the offset is not needed: whatever its clock, a position that a host has shown lies in the past of each
//! query written later ([`HostClock::is_past`]), and the primary's own must not.

use crate::interface::{HostId, LogPosition, Role, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How far a position may be ahead of the clock: rounding, and the clock's own steps.
pub const MAX_POSITION_LEAD: TimeDelta = TimeDelta::from_millis(10);
/// How long a primary's answer confirms the offset.
pub const MAX_CONFIRMATION_AGE: TimeDelta = TimeDelta::from_secs(30);
/// An answer that took longer says too little about the offset to confirm it.
const MAX_CONFIRMING_LATENCY: TimeDelta = TimeDelta::from_millis(250);
/// A primary whose position is older than its request by more than this contradicts the offset.
pub const MAX_PRIMARY_LAG: TimeDelta = TimeDelta::from_millis(100);
/// How far a current position may look older than it is: positions come in whole milliseconds, and clocks drift.
pub const POSITION_PRECISION: TimeDelta = TimeDelta::from_millis(3);
/// Samples of one host are consistent if their bounds differ by no more than this.
const MAX_SAMPLE_SPREAD: TimeDelta = TimeDelta::from_millis(250);
/// Consistent samples in a row from which on a host contradicts the offset.
const MIN_SAMPLES_PER_HOST: u32 = 2;
/// Samples of all contradicting hosts together that a change of the offset takes.
const MIN_SAMPLES: u32 = 3;
/// Hosts that have to agree before the offset falls.
const MIN_HOSTS_TO_LOWER: usize = 2;
/// Age beyond which evidence is dropped.
const MAX_EVIDENCE_AGE: TimeDelta = TimeDelta::from_secs(10);

/// What an answer says about its host's clock. The position is on the hosts' clock, the times are on this machine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The position that the answer carries.
    pub position: LogPosition,
    /// The host's role, if the answer carries it.
    pub role: Option<Role>,
    /// When the last byte of the request was written; `None` if the position may be older: in a load report, or in the
    /// answer to a repeated write, which tells the commit of the first run.
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

/// The tightest of consistent bounds in a row, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Bound {
    value: i64,
    samples: u32,
    received: Timestamp,
}

impl Bound {
    /// Takes a further bound, of which `tighter` returns the tighter one of two. One that is inconsistent replaces the
    /// earlier ones.
    fn merge(previous: Option<Self>, value: i64, received: Timestamp, tighter: fn(i64, i64) -> i64) -> Self {
        let is_consistent = |previous: &Self| {
            previous.value.abs_diff(value) <= MAX_SAMPLE_SPREAD.0.unsigned_abs()
                && !previous.is_expired(received)
        };
        match previous.filter(is_consistent) {
            Some(previous) => Self {
                value: tighter(previous.value, value),
                samples: previous.samples.saturating_add(1),
                received,
            },
            None => Self { value, samples: 1, received },
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now.0.saturating_sub(self.received.0) > MAX_EVIDENCE_AGE.0
    }
}

/// What the recent answers of one host say.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    lower: Bound,
    /// The highest lower bound: later answers may tell older positions, but what a host has shown was there.
    highest: Bound,
    /// From its answers as the primary.
    upper: Option<Bound>,
}

impl Evidence {
    fn updated(previous: Option<Self>, sample: &Sample) -> Self {
        let received = sample.received;
        let lower = previous.map(|previous| previous.lower);
        let upper = previous.and_then(|previous| previous.upper).filter(|upper| !upper.is_expired(received));
        let latest = Bound { value: sample.lower_bound(), samples: 1, received };
        let highest =
            previous.map(|previous| previous.highest).filter(|highest| !highest.is_expired(received));
        let merge_upper = |value| Bound::merge(upper, value, received, i64::min);
        Self {
            lower: Bound::merge(lower, sample.lower_bound(), received, i64::max),
            highest: highest.filter(|highest| highest.value > latest.value).unwrap_or(latest),
            upper: sample.upper_bound().map(merge_upper).or(upper),
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.lower.is_expired(now)
    }

    /// Returns whether the host's positions are ahead of what `offset` allows.
    fn is_ahead_of(&self, offset: i64) -> bool {
        self.lower.value > offset.saturating_add(MAX_POSITION_LEAD.0)
    }

    /// Returns whether the host's latest positions are those of the present by `offset`.
    fn supports(&self, offset: i64) -> bool {
        !self.is_ahead_of(offset) && self.lower.value >= offset.saturating_sub(MAX_PRIMARY_LAG.0)
    }

    /// Returns the bound of a primary that has shown the offset to be lower than `offset`.
    fn upper_below(&self, offset: i64) -> Option<Bound> {
        let is_below = |upper: &Bound| upper.value < offset.saturating_sub(MAX_PRIMARY_LAG.0);
        self.upper.filter(|upper| is_below(upper) && upper.samples >= MIN_SAMPLES_PER_HOST)
    }
}

/// The estimated offset, with the recent evidence of each host.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    offset: TimeDelta,
    evidence: BTreeMap<HostId, Evidence>,
    /// The highest of all lower bounds that are plausible: it shows what the hosts' clock reads at least.
    highest: Option<Bound>,
    /// When a primary's answer last confirmed the offset.
    confirmed_at: Option<Timestamp>,
    /// When a primary was last behind the offset. Only then is the evidence of all hosts looked at.
    contradicted_at: Option<Timestamp>,
}

impl HostClock {
    /// Converts a point in time of the hosts' clock to this machine's, by the offset as it is presumed.
    pub fn to_local(&self, time: Timestamp) -> Timestamp {
        Timestamp(time.0.saturating_sub(self.offset.0))
    }

    /// Converts a position to this machine's clock, for the question how old its data are: the oldest of all while
    /// nothing confirms the offset.
    pub fn to_local_position(&self, position: LogPosition) -> LogPosition {
        if self.is_confirmed() {
            LogPosition(position.0.saturating_sub(self.offset.0))
        } else {
            LogPosition::default()
        }
    }

    /// Converts the position of a commit to this machine's clock, for comparison with other positions.
    pub fn to_local_commit(&self, position: LogPosition) -> LogPosition {
        LogPosition(self.to_local(Timestamp(position.0)).0)
    }

    /// Returns whether the hosts' clock had passed `position`, which `host` reports, by more than `tolerance` when a query
    /// was written, by what hosts have shown: no host that was the primary then answers the query with it. A position from
    /// ahead of this machine's clock counts only against the host that has shown it.
    pub fn is_past(
        &self,
        host: HostId,
        position: LogPosition,
        written: Timestamp,
        tolerance: TimeDelta,
    ) -> bool {
        let own = self.evidence.get(&host).map(|evidence| evidence.lower);
        let shown = own.into_iter().chain(self.highest).filter(|bound| !bound.is_expired(written));
        let present = shown.map(|bound| written.0.saturating_add(bound.value)).max();
        present.is_some_and(|present| position.0.saturating_add(tolerance.0) < present)
    }

    /// Returns how far the hosts' clock is ahead of this machine's.
    pub fn offset(&self) -> TimeDelta {
        self.offset
    }

    /// Returns whether a primary's answer has confirmed the offset, not too long ago.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Forgets a confirmation that is too old at `now`.
    pub fn expire_confirmation(&mut self, now: Timestamp) {
        let is_recent = |at: &Timestamp| now.0.saturating_sub(at.0) <= MAX_CONFIRMATION_AGE.0;
        self.confirmed_at = self.confirmed_at.filter(is_recent);
    }

    /// Returns whether several samples of a host were ahead of the clock, so that its positions prove nothing for now.
    pub fn has_implausible_positions(&self, host: HostId) -> bool {
        let evidence = self.evidence.get(&host);
        evidence.is_some_and(|evidence| {
            evidence.is_ahead_of(self.offset.0) && evidence.lower.samples >= MIN_SAMPLES_PER_HOST
        })
    }

    /// Records what an answer of a host says. Returns by how much the offset grew if that changed it.
    pub fn record(&mut self, host: HostId, sample: Sample) -> Option<TimeDelta> {
        let now = sample.received;
        self.expire_confirmation(now);
        let previous = self.evidence.get(&host).filter(|previous| !previous.is_expired(now));
        let evidence = Evidence::updated(previous.copied(), &sample);
        self.evidence.insert(host, evidence);
        if sample.lower_bound() > self.offset.0.saturating_add(MAX_POSITION_LEAD.0) {
            self.drop_expired(now);
            return self.raise(now);
        }
        let highest = self.highest.filter(|highest| !highest.is_expired(now));
        let latest = Bound { value: sample.lower_bound(), samples: 1, received: now };
        self.highest = highest.filter(|highest| highest.value > latest.value).or(Some(latest));
        if self.confirms(&sample) {
            self.confirmed_at = Some(now);
        }
        if evidence.upper_below(self.offset.0).is_some() {
            self.contradicted_at = Some(now);
        }
        let is_recent = |at: Timestamp| now.0.saturating_sub(at.0) <= MAX_EVIDENCE_AGE.0;
        if !self.contradicted_at.is_some_and(is_recent) {
            return None;
        }
        self.drop_expired(now);
        self.lower(now)
    }

    /// Returns whether the sample bounds the offset from both sides, close enough.
    fn confirms(&self, sample: &Sample) -> bool {
        let lowest = self.offset.0.saturating_sub(MAX_PRIMARY_LAG.0);
        let highest = self.offset.0.saturating_add(MAX_CONFIRMING_LATENCY.0);
        sample.upper_bound().is_some_and(|bound| (lowest..=highest).contains(&bound))
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.evidence.retain(|_, evidence| !evidence.is_expired(now));
    }

    /// Raises the offset to the median upper bound of the hosts that are ahead of it, if they are the majority and agree.
    fn raise(&mut self, now: Timestamp) -> Option<TimeDelta> {
        let offset = self.offset.0;
        let contradicts = |evidence: &&Evidence| {
            evidence.is_ahead_of(offset) && evidence.lower.samples >= MIN_SAMPLES_PER_HOST
        };
        let contradicting: Vec<&Evidence> = self.evidence.values().filter(contradicts).collect();
        let samples: u32 = contradicting.iter().map(|evidence| evidence.lower.samples).sum();
        let upper_bounds =
            contradicting.iter().filter_map(|evidence| evidence.upper).map(|upper| upper.value);
        let median = median(upper_bounds.filter(|value| *value > offset).collect())?;
        // A host that is ahead even of the median is contradicted by the primaries.
        let agreeing = contradicting.iter().filter(|evidence| !evidence.is_ahead_of(median)).count();
        let is_other = |evidence: &&Evidence| {
            evidence.is_ahead_of(offset)
                || evidence.supports(offset)
                || evidence.upper_below(offset).is_some()
        };
        let others = self.evidence.values().filter(is_other).count() - agreeing;
        (samples >= MIN_SAMPLES && agreeing > others).then(|| self.change_offset(median, now))
    }

    /// Lowers the offset to the median upper bound of the primaries that are behind it, if another host stands there
    /// too and none has shown a newer position.
    fn lower(&mut self, now: Timestamp) -> Option<TimeDelta> {
        let offset = self.offset.0;
        let primaries = || self.evidence.values().filter_map(|evidence| evidence.upper_below(offset));
        let median = median(primaries().map(|upper| upper.value).collect())?;
        let samples: u32 = primaries().map(|upper| upper.samples).sum();
        let agrees = |evidence: &&Evidence| {
            let lowest = median.saturating_sub(MAX_PRIMARY_LAG.0);
            let is_primary =
                evidence.upper_below(offset).is_some_and(|upper| (lowest..=median).contains(&upper.value));
            is_primary || evidence.supports(median)
        };
        let agreeing = self.evidence.values().filter(agrees).count();
        // A host that is ahead of the present offset too is wrong itself.
        let refutes = |evidence: &Evidence| {
            let allowed = |offset: i64| offset.saturating_add(MAX_POSITION_LEAD.0);
            (allowed(median) + 1..=allowed(offset)).contains(&evidence.highest.value)
        };
        let is_refuted = self.evidence.values().any(refutes);
        let is_agreed = samples >= MIN_SAMPLES && agreeing >= MIN_HOSTS_TO_LOWER && !is_refuted;
        is_agreed.then(|| self.change_offset(median, now))
    }

    fn change_offset(&mut self, offset: i64, now: Timestamp) -> TimeDelta {
        let change = TimeDelta(offset.saturating_sub(self.offset.0));
        self.offset = TimeDelta(offset);
        self.highest = None;
        self.confirmed_at = Some(now);
        change
    }
}

/// Returns the median, the higher one of two; none of no values.
fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
