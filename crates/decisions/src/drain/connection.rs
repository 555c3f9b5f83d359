//! What a drain lets one client connection do, and until when: the only place that says whether a connection may still
//! take work.
//!
//! A drain goes through three moments. From `closes` on a connection that is found idle is closed. From `stops` on one that
//! has asked for something reads nothing further: what it has taken is answered, and then it is closed, whether or not its
//! client has sent more. From `ends` on a client that has sent more meanwhile gets its answers at once. So a connection is
//! let go whatever its client does, also where it never leaves a gap between its requests.

use super::Drain;
use crate::interface::Timestamp;
use std::time::Duration;

/// After a call to drain the operators wait so long until no connection may be held.
const QUIESCE_KEPT: Duration = Duration::from_secs(4);
/// Requests that came so long before that moment, or earlier, may still be out then.
const QUIESCE_RECENT: Duration = Duration::from_secs(2);
/// The front sends new connections elsewhere within 0.2 s of the call; as much again for those on their way.
const QUIESCE_CLOSES: Duration = Duration::from_millis(400);
/// The operators count from their call: it may be heard by a process that is held up for 0.15 s, and so may the read that was
/// allowed just before the end.
const QUIESCE_MARGIN: Duration = Duration::from_millis(500);
/// Answers are due so long before no connection may be held: what the way and a busy machine take.
const QUIESCE_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The moments of a drain for one connection, as spans from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSpans {
    /// From when on idle connections are closed.
    pub closes: Duration,
    /// From when on a connection that has asked for something takes nothing further.
    pub stops: Duration,
    /// From when on it does not wait for answers while its client sends more.
    pub ends: Duration,
    /// By when it is closed, whatever it waits for, if the process ends.
    pub cuts: Option<Duration>,
    /// How long a connection that has asked for nothing yet, or has sent half a message, may take from its last sign of life.
    pub first: Duration,
}

impl ConnectionSpans {
    /// Those of a drain by call, which does not end the process.
    pub const QUIESCE: Self = Self {
        closes: QUIESCE_CLOSES,
        stops: QUIESCE_KEPT.saturating_sub(QUIESCE_RECENT).saturating_sub(QUIESCE_MARGIN),
        ends: QUIESCE_KEPT.saturating_sub(QUIESCE_ANSWER_MARGIN),
        cuts: None,
        first: super::FIRST,
    };
}

impl From<Drain> for ConnectionSpans {
    fn from(drain: Drain) -> Self {
        let Drain { closes, shuts: stops, answers: ends, cuts, first, .. } = drain;
        Self { closes, stops, ends, cuts: Some(cuts), first }
    }
}

/// A drain that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveDrain {
    /// When it began.
    pub since: Timestamp,
    /// Its moments.
    pub spans: ConnectionSpans,
    /// Whether the process ends with it: then also those who have asked for nothing yet are closed at `stops`.
    pub is_final: bool,
}

/// What matters of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// When bytes were last read, or an answer last written.
    pub quiet: Timestamp,
    /// Whether it has asked for anything since it was opened.
    pub asked: bool,
    /// Whether part of a message is there.
    pub begun: bool,
}

/// What a connection may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// It reads and takes requests.
    Open,
    /// It reads nothing further and is closed once all is answered.
    Finishing,
    /// The same, and once its client has sent more all is answered at once.
    Overdue,
}

/// What a drain means for a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What it may do.
    pub permission: Permission,
    /// When it is to be closed if nothing is owed to it by then and nothing more comes.
    pub closes: Option<Timestamp>,
    /// When to ask again, if nothing else happens before.
    pub until: Option<Timestamp>,
}

impl Verdict {
    /// Without a drain.
    pub const OPEN: Self = Self { permission: Permission::Open, closes: None, until: None };

    /// The stricter of two.
    fn and(self, other: Self) -> Self {
        let earlier = |a: Option<Timestamp>, b: Option<Timestamp>| a.into_iter().chain(b).min();
        Self {
            permission: self.permission.max(other.permission),
            closes: earlier(self.closes, other.closes),
            until: earlier(self.until, other.until),
        }
    }
}

impl ActiveDrain {
    /// The moment that comes so long after its beginning.
    fn at(&self, span: Duration) -> Timestamp {
        Timestamp(self.since.0.saturating_add(span.as_micros() as i64))
    }

    /// What this drain means for a connection.
    fn verdict(&self, state: ConnectionState, now: Timestamp) -> Verdict {
        let ConnectionSpans { closes, stops, ends, .. } = self.spans;
        let (closes, stops, ends) = (self.at(closes), self.at(stops), self.at(ends));
        let patience = if state.asked && !state.begun { 0 } else { self.spans.first.as_micros() as i64 };
        let idle_until = Timestamp(closes.0.max(state.quiet.0.saturating_add(patience)));
        let is_bounded = state.asked || self.is_final;
        let permission = match state.asked {
            true if now >= ends => Permission::Overdue,
            true if now >= stops => Permission::Finishing,
            _ => Permission::Open,
        };
        Verdict {
            permission,
            closes: Some(if is_bounded { idle_until.min(stops) } else { idle_until }),
            until: [closes, stops, ends].into_iter().find(|moment| now < *moment),
        }
    }
}

/// What the drains that have begun mean for a connection.
pub fn verdict(
    drains: impl IntoIterator<Item = ActiveDrain>,
    state: ConnectionState,
    now: Timestamp,
) -> Verdict {
    let verdicts = drains.into_iter().map(|drain| drain.verdict(state, now));
    verdicts.fold(Verdict::OPEN, Verdict::and)
}

/// When a client that takes nothing of what is written is given up for a drain: it has had that long since it last took
/// something, and the drain is past its end; at the latest when connections are cut. None without a drain.
pub fn write_ends(
    drains: impl IntoIterator<Item = ActiveDrain>,
    last_taken: Timestamp,
    stalled: Duration,
) -> Option<Timestamp> {
    let stalled = Timestamp(last_taken.0.saturating_add(stalled.as_micros() as i64));
    let end = |drain: ActiveDrain| {
        let patient = drain.at(drain.spans.ends).max(stalled);
        drain.spans.cuts.map_or(patient, |cuts| patient.min(drain.at(cuts)))
    };
    drains.into_iter().map(end).min()
}

/// When connections are cut, whatever they wait for: where the process ends.
pub fn cuts(drains: impl IntoIterator<Item = ActiveDrain>) -> Option<Timestamp> {
    drains.into_iter().filter_map(|drain| Some(drain.at(drain.spans.cuts?))).min()
}
