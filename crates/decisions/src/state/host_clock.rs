//! Estimate of the offset of the hosts' clock from this machine's clock, based on their responses.
//!
//! Log positions, start times of hosts and the times of writes that clients send are on the hosts' clock; all
//! other times here are on this machine's. No decision may assume that the two clocks agree: a machine's wall
//! clock may be an hour off when its process starts.
//!
//! A response's position is no later than its receipt, which gives a lower bound of the offset. A primary's
//! position is current, so it is no earlier than the send of its request, which gives an upper bound too. An
//! offset that is too large makes positions look older than they are, and reads go to the primary; one that
//! is too small makes replicas look fresher than they are. Hence:
//!
//! - The offset starts at zero. While no primary's response has confirmed it within [`MAX_CONFIRMATION_AGE`],
//!   positions are not evidence of freshness.
//! - The offset is raised if more hosts contradict it than support it, at least one of them as a primary.
//! - The offset is lowered only if two hosts agree, a primary and another host at the same position, and no
//!   host has reported a newer position. A single host with an old position, or one that wrongly claims to be
//!   the primary, cannot change the offset.
//!
//! The check whether a response can come from the current primary does not use the offset: a position that
//! any host has reported is in the past for every query written later ([`HostClock::is_past`]), and the
//! current primary never responds with a past position.

use crate::interface::{HostId, LogPosition, Role, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Maximum lead of a position over the clock, which rounding and steps of the clock may cause.
pub const MAX_POSITION_LEAD: TimeDelta = TimeDelta::from_millis(10);
/// Time for which a primary's response confirms the offset.
pub const MAX_CONFIRMATION_AGE: TimeDelta = TimeDelta::from_secs(30);
/// Maximum latency of a response that confirms the offset; the bounds from slower responses are too loose.
const MAX_CONFIRMING_LATENCY: TimeDelta = TimeDelta::from_millis(250);
/// Maximum age of a primary's position at the send of its request; an older position contradicts the offset.
pub const MAX_PRIMARY_LAG: TimeDelta = TimeDelta::from_millis(100);
/// Maximum apparent age of a current position: positions are in whole milliseconds, and clocks drift.
pub const POSITION_PRECISION: TimeDelta = TimeDelta::from_millis(3);
/// Maximum difference between the bounds of consistent samples of one host.
const MAX_SAMPLE_SPREAD: TimeDelta = TimeDelta::from_millis(250);
/// Number of consecutive consistent samples from which a host contradicts the offset.
const MIN_SAMPLES_PER_HOST: u32 = 2;
/// Minimum number of samples from all contradicting hosts together for a change of the offset.
const MIN_SAMPLES: u32 = 3;
/// Minimum number of hosts that have to agree for the offset to be lowered.
const MIN_HOSTS_TO_LOWER: usize = 2;
/// Age at which evidence expires.
const MAX_EVIDENCE_AGE: TimeDelta = TimeDelta::from_secs(10);

/// The evidence of one response about the hosts' clock. The position is on the hosts' clock, the times on
/// this machine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The position that the response carries.
    pub position: LogPosition,
    /// The host's role, if the response carries it.
    pub role: Option<Role>,
    /// Time at which the last byte of the request was written; `None` if the position may be older than that,
    /// as in a load report, or in the response to a repeated write, which carries the commit of the first
    /// execution.
    pub sent: Option<Timestamp>,
    /// Time at which the response was received.
    pub received: Timestamp,
}

impl Sample {
    /// Returns the smallest offset that is consistent with the sample, in microseconds.
    fn lower_bound(&self) -> i64 {
        self.position.0.saturating_sub(self.received.0)
    }

    /// Returns the largest offset that is consistent with the sample, in microseconds; `None` unless it is a
    /// current position of a primary.
    fn upper_bound(&self) -> Option<i64> {
        let sent = self.sent.filter(|_| self.role == Some(Role::Primary))?;
        Some(self.position.0.saturating_sub(sent.0))
    }
}

/// The tightest of several consecutive consistent bounds, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Bound {
    value: i64,
    samples: u32,
    received: Timestamp,
}

impl Bound {
    /// Combines the previous bound with a further one; `tighter` returns the tighter of two bounds. A bound
    /// that is not consistent with the previous one replaces it.
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

/// The evidence of one host's recent responses.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    lower_bound: Bound,
    /// The highest lower bound: a position that the host has reported existed, even if later responses carry
    /// older ones.
    highest_lower_bound: Bound,
    /// Upper bound from the host's responses as the primary.
    upper_bound: Option<Bound>,
}

impl Evidence {
    fn updated(previous: Option<Self>, sample: &Sample) -> Self {
        let received = sample.received;
        let lower = previous.map(|previous| previous.lower_bound);
        let upper =
            previous.and_then(|previous| previous.upper_bound).filter(|upper| !upper.is_expired(received));
        let latest = Bound { value: sample.lower_bound(), samples: 1, received };
        let highest = previous
            .map(|previous| previous.highest_lower_bound)
            .filter(|highest| !highest.is_expired(received));
        let merge_upper = |value| Bound::merge(upper, value, received, i64::min);
        Self {
            lower_bound: Bound::merge(lower, sample.lower_bound(), received, i64::max),
            highest_lower_bound: highest.filter(|highest| highest.value > latest.value).unwrap_or(latest),
            upper_bound: sample.upper_bound().map(merge_upper).or(upper),
        }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.lower_bound.is_expired(now)
    }

    /// Returns whether the host's positions are later than `offset` allows.
    fn is_ahead_of(&self, offset: i64) -> bool {
        self.lower_bound.value > offset.saturating_add(MAX_POSITION_LEAD.0)
    }

    /// Returns whether the host's latest positions are current according to `offset`.
    fn supports(&self, offset: i64) -> bool {
        !self.is_ahead_of(offset) && self.lower_bound.value >= offset.saturating_sub(MAX_PRIMARY_LAG.0)
    }

    /// Returns the upper bound if the host, as the primary, has shown that the offset is lower than `offset`.
    fn upper_bound_below(&self, offset: i64) -> Option<Bound> {
        let is_below = |upper: &Bound| upper.value < offset.saturating_sub(MAX_PRIMARY_LAG.0);
        self.upper_bound.filter(|upper| is_below(upper) && upper.samples >= MIN_SAMPLES_PER_HOST)
    }
}

/// The estimated offset, with the recent evidence of each host.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    offset: TimeDelta,
    evidence: BTreeMap<HostId, Evidence>,
    /// The highest plausible lower bound of all hosts, which gives the minimum time of the hosts' clock.
    highest_lower_bound: Option<Bound>,
    /// Time at which a primary's response last confirmed the offset.
    confirmed_at: Option<Timestamp>,
    /// Time at which a primary last contradicted the offset with an old position. The evidence of all hosts
    /// is evaluated only for some time after that.
    contradicted_at: Option<Timestamp>,
}

impl HostClock {
    /// Converts a point in time from the hosts' clock to this machine's, whether or not the offset is
    /// confirmed.
    pub fn to_local(&self, time: Timestamp) -> Timestamp {
        Timestamp(time.0.saturating_sub(self.offset.0))
    }

    /// Converts a position to this machine's clock to determine the age of its data. While the offset is not
    /// confirmed, returns position zero, so that the data counts as too old.
    pub fn to_local_position(&self, position: LogPosition) -> LogPosition {
        if self.is_confirmed() {
            LogPosition(position.0.saturating_sub(self.offset.0))
        } else {
            LogPosition::default()
        }
    }

    /// Converts the position of a commit to this machine's clock to compare it with other positions.
    pub fn to_local_commit(&self, position: LogPosition) -> LogPosition {
        LogPosition(self.to_local(Timestamp(position.0)).0)
    }

    /// Converts the position of a commit back to the hosts' clock.
    pub fn to_host_commit(&self, position: LogPosition) -> LogPosition {
        LogPosition(position.0.saturating_add(self.offset.0))
    }

    /// Returns whether positions reported by hosts show that the hosts' clock had passed `position`, which
    /// `host` reports, by more than `tolerance` when a query was written. A host that was the primary at that
    /// time does not respond to the query with such a position. A position ahead of this machine's clock
    /// counts only against the host that reported it.
    pub fn is_past(
        &self,
        host: HostId,
        position: LogPosition,
        written: Timestamp,
        tolerance: TimeDelta,
    ) -> bool {
        let own_bound = self.evidence.get(&host).map(|evidence| evidence.lower_bound);
        let bounds =
            own_bound.into_iter().chain(self.highest_lower_bound).filter(|bound| !bound.is_expired(written));
        let host_time = bounds.map(|bound| written.0.saturating_add(bound.value)).max();
        host_time.is_some_and(|host_time| position.0.saturating_add(tolerance.0) < host_time)
    }

    /// Returns the time by which the hosts' clock is ahead of this machine's.
    pub fn offset(&self) -> TimeDelta {
        self.offset
    }

    /// Returns whether a primary's response has confirmed the offset recently.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Drops the confirmation if it is older than [`MAX_CONFIRMATION_AGE`] at `now`.
    pub fn expire_confirmation(&mut self, now: Timestamp) {
        let is_recent = |at: &Timestamp| now.0.saturating_sub(at.0) <= MAX_CONFIRMATION_AGE.0;
        self.confirmed_at = self.confirmed_at.filter(is_recent);
    }

    /// Returns whether several recent positions of a host were ahead of the clock, so that none of its
    /// positions counts.
    pub fn has_implausible_positions(&self, host: HostId) -> bool {
        let evidence = self.evidence.get(&host);
        evidence.is_some_and(|evidence| {
            evidence.is_ahead_of(self.offset.0) && evidence.lower_bound.samples >= MIN_SAMPLES_PER_HOST
        })
    }

    /// Records a sample from a response of a host. Returns the change of the offset if the sample caused one.
    pub fn record(&mut self, host: HostId, sample: Sample) -> Option<TimeDelta> {
        let now = sample.received;
        self.expire_confirmation(now);
        let previous = self.evidence.get(&host).filter(|previous| !previous.is_expired(now));
        let evidence = Evidence::updated(previous.copied(), &sample);
        self.evidence.insert(host, evidence);
        if sample.lower_bound() > self.offset.0.saturating_add(MAX_POSITION_LEAD.0) {
            self.drop_expired(now);
            return self.raise_offset(now);
        }
        let highest = self.highest_lower_bound.filter(|highest| !highest.is_expired(now));
        let latest = Bound { value: sample.lower_bound(), samples: 1, received: now };
        self.highest_lower_bound = highest.filter(|highest| highest.value > latest.value).or(Some(latest));
        if self.confirms(&sample) {
            self.confirmed_at = Some(now);
        }
        if evidence.upper_bound_below(self.offset.0).is_some() {
            self.contradicted_at = Some(now);
        }
        let is_recent = |at: Timestamp| now.0.saturating_sub(at.0) <= MAX_EVIDENCE_AGE.0;
        if !self.contradicted_at.is_some_and(is_recent) {
            return None;
        }
        self.drop_expired(now);
        self.lower_offset(now)
    }

    /// Returns whether the sample confirms the offset, that is, whether its upper bound is close to it.
    fn confirms(&self, sample: &Sample) -> bool {
        let lowest = self.offset.0.saturating_sub(MAX_PRIMARY_LAG.0);
        let highest = self.offset.0.saturating_add(MAX_CONFIRMING_LATENCY.0);
        sample.upper_bound().is_some_and(|bound| (lowest..=highest).contains(&bound))
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.evidence.retain(|_, evidence| !evidence.is_expired(now));
    }

    /// Raises the offset to the median upper bound of the hosts ahead of it, if the hosts that agree are in
    /// the majority.
    fn raise_offset(&mut self, now: Timestamp) -> Option<TimeDelta> {
        let offset = self.offset.0;
        let contradicts = |evidence: &&Evidence| {
            evidence.is_ahead_of(offset) && evidence.lower_bound.samples >= MIN_SAMPLES_PER_HOST
        };
        let contradicting: Vec<&Evidence> = self.evidence.values().filter(contradicts).collect();
        let samples: u32 = contradicting.iter().map(|evidence| evidence.lower_bound.samples).sum();
        let upper_bounds =
            contradicting.iter().filter_map(|evidence| evidence.upper_bound).map(|upper| upper.value);
        let median = median(upper_bounds.filter(|value| *value > offset).collect())?;
        // Hosts that are ahead even of the median do not agree: the primaries contradict them.
        let agreeing = contradicting.iter().filter(|evidence| !evidence.is_ahead_of(median)).count();
        let is_other = |evidence: &&Evidence| {
            evidence.is_ahead_of(offset)
                || evidence.supports(offset)
                || evidence.upper_bound_below(offset).is_some()
        };
        let others = self.evidence.values().filter(is_other).count() - agreeing;
        (samples >= MIN_SAMPLES && agreeing > others).then(|| self.change_offset(median, now))
    }

    /// Lowers the offset to the median upper bound of the primaries that contradict it, if another host
    /// agrees and none has reported a newer position.
    fn lower_offset(&mut self, now: Timestamp) -> Option<TimeDelta> {
        let offset = self.offset.0;
        let primaries = || self.evidence.values().filter_map(|evidence| evidence.upper_bound_below(offset));
        let median = median(primaries().map(|upper| upper.value).collect())?;
        let samples: u32 = primaries().map(|upper| upper.samples).sum();
        let agrees = |evidence: &&Evidence| {
            let lowest = median.saturating_sub(MAX_PRIMARY_LAG.0);
            let is_primary = evidence
                .upper_bound_below(offset)
                .is_some_and(|upper| (lowest..=median).contains(&upper.value));
            is_primary || evidence.supports(median)
        };
        let agreeing = self.evidence.values().filter(agrees).count();
        // Hosts that are ahead of even the current offset have wrong positions and do not count.
        let refutes = |evidence: &Evidence| {
            let allowed = |offset: i64| offset.saturating_add(MAX_POSITION_LEAD.0);
            (allowed(median) + 1..=allowed(offset)).contains(&evidence.highest_lower_bound.value)
        };
        let is_refuted = self.evidence.values().any(refutes);
        let is_agreed = samples >= MIN_SAMPLES && agreeing >= MIN_HOSTS_TO_LOWER && !is_refuted;
        is_agreed.then(|| self.change_offset(median, now))
    }

    fn change_offset(&mut self, offset: i64, now: Timestamp) -> TimeDelta {
        let change = TimeDelta(offset.saturating_sub(self.offset.0));
        self.offset = TimeDelta(offset);
        self.highest_lower_bound = None;
        self.confirmed_at = Some(now);
        change
    }
}

/// Returns the median, the higher of the two middle values of an even number; `None` without values.
fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
