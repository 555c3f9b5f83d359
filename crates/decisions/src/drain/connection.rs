//! What a drain lets one client connection do, and until when: the only place that decides whether a connection may still
//! take requests, how long its startup and its writes may take, and by when its answers are due.
//!
//! A drain reaches a connection in three steps. From `close_idle_after` on a connection that is found idle is closed. From
//! `stop_reading_after` on a connection that has sent a request reads nothing further: what was read is answered, then it
//! is closed, even if its client has sent more. From `answers_due_after` on a client that has sent more meanwhile gets its
//! answers at once. So every connection ends whatever its client does, also if the client never pauses between requests.

use super::shutdown::DRAIN_FIRST_REQUEST_TIMEOUT;
use super::ShutdownSchedule;
use crate::interface::{TimeDelta, Timestamp};
use std::time::Duration;

/// From this long after a quiesce call on, a connection may only be open for requests older than
/// [`QUIESCE_MIN_REQUEST_AGE`].
const QUIESCE_LIMIT: Duration = Duration::from_secs(4);
/// The age of a request that may still be in flight at [`QUIESCE_LIMIT`].
const QUIESCE_MIN_REQUEST_AGE: Duration = Duration::from_secs(2);
/// Idle connections are closed this long after a quiesce call: load balancers send new connections elsewhere within 0.2 s,
/// and as much again is left to those on their way.
const QUIESCE_CLOSE_IDLE_AFTER: Duration = Duration::from_millis(400);
/// Kept free for a process that is held up: between the operator's call and the drain's start, and during a read that was
/// admitted just before the end.
const QUIESCE_START_MARGIN: Duration = Duration::from_millis(500);
/// Answers are due this long before [`QUIESCE_LIMIT`]: time for the network and a busy machine.
const QUIESCE_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The schedule of a drain for one connection, in spans from the drain's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSchedule {
    /// From when on idle connections are closed.
    pub close_idle_after: Duration,
    /// From when on a connection that has sent a request reads nothing further.
    pub stop_reading_after: Duration,
    /// From when on a connection does not wait for answers while its client sends more.
    pub answers_due_after: Duration,
    /// By when a connection is closed, whatever it waits for, if the process ends.
    pub force_close_after: Option<Duration>,
    /// How long a connection without a request, or with part of a message, may take from its last activity.
    pub first_request_timeout: Duration,
}

impl ConnectionSchedule {
    /// The schedule of a quiesce call, which does not end the process.
    pub const QUIESCE: Self = Self {
        close_idle_after: QUIESCE_CLOSE_IDLE_AFTER,
        stop_reading_after: QUIESCE_LIMIT
            .saturating_sub(QUIESCE_MIN_REQUEST_AGE)
            .saturating_sub(QUIESCE_START_MARGIN),
        answers_due_after: QUIESCE_LIMIT.saturating_sub(QUIESCE_ANSWER_MARGIN),
        force_close_after: None,
        first_request_timeout: DRAIN_FIRST_REQUEST_TIMEOUT,
    };
}

impl From<ShutdownSchedule> for ConnectionSchedule {
    fn from(schedule: ShutdownSchedule) -> Self {
        Self {
            close_idle_after: schedule.close_idle_after,
            stop_reading_after: schedule.stop_reading_after,
            answers_due_after: schedule.answers_due_after,
            force_close_after: Some(schedule.force_close_after),
            first_request_timeout: schedule.first_request_timeout,
        }
    }
}

/// A drain that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveDrain {
    /// When it began.
    pub started_at: Timestamp,
    /// What it does when.
    pub schedule: ConnectionSchedule,
    /// Whether the process ends with it. If so, connections without a request are closed by `stop_reading_after` too, and
    /// answers are due by `answers_due_after`.
    pub ends_process: bool,
}

/// The state of a connection, as far as a drain depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// When bytes were last read, or an answer was last written.
    pub last_activity_at: Timestamp,
    /// Whether it has sent a request since it was opened.
    pub has_sent_request: bool,
    /// Whether part of a message was read.
    pub has_partial_message: bool,
}

/// What a connection may do; a later one is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// It reads and takes requests.
    Open,
    /// It reads nothing further and is closed once all requests are answered.
    Finishing,
    /// As `Finishing`; once its client sends more, all requests are answered at once.
    Overdue,
}

/// What the active drains mean for a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainDecision {
    /// What it may do.
    pub permission: Permission,
    /// When to close it if no request is open by then and nothing more is read.
    pub close_idle_at: Option<Timestamp>,
    /// When to decide again, if nothing else happens before.
    pub reevaluate_at: Option<Timestamp>,
}

impl DrainDecision {
    /// The decision without a drain.
    pub const OPEN: Self = Self { permission: Permission::Open, close_idle_at: None, reevaluate_at: None };

    /// Returns the stricter of two decisions, field by field.
    fn stricter(self, other: Self) -> Self {
        let earlier = |a: Option<Timestamp>, b: Option<Timestamp>| a.into_iter().chain(b).min();
        Self {
            permission: self.permission.max(other.permission),
            close_idle_at: earlier(self.close_idle_at, other.close_idle_at),
            reevaluate_at: earlier(self.reevaluate_at, other.reevaluate_at),
        }
    }
}

/// Returns the point in time `span` later than `start`, without overflow.
fn later(start: Timestamp, span: Duration) -> Timestamp {
    Timestamp(start.0.saturating_add(TimeDelta::from(span).0))
}

impl ActiveDrain {
    /// Returns the point in time `span` after the drain's start.
    fn at(&self, span: Duration) -> Timestamp {
        later(self.started_at, span)
    }

    /// Decides for this drain alone.
    fn decide(&self, state: ConnectionState, now: Timestamp) -> DrainDecision {
        let close_idle_at = self.at(self.schedule.close_idle_after);
        let stop_reading_at = self.at(self.schedule.stop_reading_after);
        let answers_due_at = self.at(self.schedule.answers_due_after);
        let steps = [close_idle_at, stop_reading_at, answers_due_at];
        let is_bounded = state.has_sent_request || self.ends_process;
        let idle_until = close_idle_at.max(later(state.last_activity_at, self.idle_grace(state)));
        let permission = match state.has_sent_request {
            true if now >= answers_due_at => Permission::Overdue,
            true if now >= stop_reading_at => Permission::Finishing,
            _ => Permission::Open,
        };
        DrainDecision {
            permission,
            close_idle_at: Some(if is_bounded { idle_until.min(stop_reading_at) } else { idle_until }),
            reevaluate_at: steps.into_iter().find(|step| now < *step),
        }
    }

    /// Returns how long a connection may be without activity before it counts as idle.
    fn idle_grace(&self, state: ConnectionState) -> Duration {
        if state.has_sent_request && !state.has_partial_message {
            Duration::ZERO
        } else {
            self.schedule.first_request_timeout
        }
    }

    /// Returns until when the startup of a connection may take that is accepted now, or is in its startup as the drain
    /// begins.
    fn startup_deadline(&self, now: Timestamp) -> Timestamp {
        let patient = later(now, self.schedule.first_request_timeout);
        if self.ends_process {
            patient.min(self.at(self.schedule.stop_reading_after))
        } else {
            patient
        }
    }

    /// Returns when a client that takes nothing of what is written is given up.
    fn write_deadline(&self, last_progress_at: Timestamp, stall_timeout: Duration) -> Timestamp {
        let patient = self.at(self.schedule.answers_due_after).max(later(last_progress_at, stall_timeout));
        match self.schedule.force_close_after {
            Some(force_close_after) => patient.min(self.at(force_close_after)),
            None => patient,
        }
    }
}

/// Decides what the active drains mean for a connection. The strictest counts.
pub fn decide(
    drains: impl IntoIterator<Item = ActiveDrain>,
    state: ConnectionState,
    now: Timestamp,
) -> DrainDecision {
    let decisions = drains.into_iter().map(|drain| drain.decide(state, now));
    decisions.fold(DrainDecision::OPEN, DrainDecision::stricter)
}

/// Returns until when the startup of a connection may take that is accepted now, or is in its startup as a drain begins;
/// `None` without a drain.
pub fn startup_deadline(drains: impl IntoIterator<Item = ActiveDrain>, now: Timestamp) -> Option<Timestamp> {
    drains.into_iter().map(|drain| drain.startup_deadline(now)).min()
}

/// Returns by when the requests that are read now have to be answered; `None` unless the process ends.
pub fn answers_due_at(drains: impl IntoIterator<Item = ActiveDrain>) -> Option<Timestamp> {
    let ending = drains.into_iter().filter(|drain| drain.ends_process);
    ending.map(|drain| drain.at(drain.schedule.answers_due_after)).min()
}

/// Returns when a client that takes nothing of what is written is given up; `None` without a drain.
///
/// The client has `stall_timeout` since it last took something (`last_progress_at`), and at least until the drain's answers
/// are due; at the latest until connections are closed by force.
pub fn write_deadline(
    drains: impl IntoIterator<Item = ActiveDrain>,
    last_progress_at: Timestamp,
    stall_timeout: Duration,
) -> Option<Timestamp> {
    drains.into_iter().map(|drain| drain.write_deadline(last_progress_at, stall_timeout)).min()
}

/// Returns when connections are closed, whatever they wait for; `None` unless the process ends.
pub fn force_close_at(drains: impl IntoIterator<Item = ActiveDrain>) -> Option<Timestamp> {
    drains.into_iter().filter_map(|drain| Some(drain.at(drain.schedule.force_close_after?))).min()
}
