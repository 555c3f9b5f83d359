//! The effect of drains on one client connection: whether it may still read requests, how long its startup
//! and its writes may take, and when its answers are due. No other module decides this.
//!
//! A drain affects a connection in three steps. From `close_idle_after` on it is closed once it is idle. From
//! `stop_reading_after` on a connection that has sent a request reads nothing further: requests that were
//! read are answered, then it is closed, even if its client has sent more. From `answers_due_after` on, a
//! client that has sent more in the meantime gets its answers at once. So every connection ends, even if its
//! client never pauses between requests.

use super::shutdown::DRAIN_FIRST_REQUEST_TIMEOUT;
use super::ShutdownSchedule;
use crate::interface::{TimeDelta, Timestamp};
use std::time::Duration;

/// Time after a quiesce call from which connections may only be open for requests older than
/// [`QUIESCE_MIN_REQUEST_AGE`].
const QUIESCE_LIMIT: Duration = Duration::from_secs(4);
/// Minimum age of requests that may still be in flight at [`QUIESCE_LIMIT`].
const QUIESCE_MIN_REQUEST_AGE: Duration = Duration::from_secs(2);
/// Time after a quiesce call from which idle connections are closed. Load balancers send new connections
/// elsewhere within 0.2 s; another 0.2 s is for connections that are being established.
const QUIESCE_CLOSE_IDLE_AFTER: Duration = Duration::from_millis(400);
/// Margin for delays of the process between the operator's call and the start of the drain, and during a read
/// that begins just before `stop_reading_after`.
const QUIESCE_START_MARGIN: Duration = Duration::from_millis(500);
/// Margin between the time at which answers are due and [`QUIESCE_LIMIT`], for the network and a busy
/// machine.
const QUIESCE_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The schedule of a drain for one connection, as times after the start of the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSchedule {
    /// Time from which idle connections are closed.
    pub close_idle_after: Duration,
    /// Time from which a connection that has sent a request reads nothing further.
    pub stop_reading_after: Duration,
    /// Time from which a connection whose client sends more no longer waits for answers.
    pub answers_due_after: Duration,
    /// Time by which a connection is closed, whatever it waits for; `None` if the process does not end.
    pub force_close_after: Option<Duration>,
    /// Time from its last activity within which a connection must send its first request, or the rest of a
    /// message.
    pub first_request_timeout: Duration,
}

impl ConnectionSchedule {
    /// Schedule of a quiesce call, which does not end the process.
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

/// A drain that has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveDrain {
    /// Start of the drain.
    pub started_at: Timestamp,
    /// Schedule of the drain.
    pub schedule: ConnectionSchedule,
    /// Whether the process ends after the drain. If so, connections without a request are closed by
    /// `stop_reading_after` too, and answers are due by `answers_due_after`.
    pub ends_process: bool,
}

/// The state of a connection that the effect of a drain depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Time at which bytes were last read or an answer was last written.
    pub last_activity_at: Timestamp,
    /// Whether the client has sent a request on this connection.
    pub has_sent_request: bool,
    /// Whether only part of a message has been read.
    pub has_partial_message: bool,
}

/// Permission of a connection, from the least to the most strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// Reads and accepts requests.
    Open,
    /// Reads nothing further and is closed once all requests are answered.
    Finishing,
    /// As `Finishing`, but once the client sends more, all requests are answered at once.
    Overdue,
}

/// The effect of the active drains on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainDecision {
    /// Current permission of the connection.
    pub permission: Permission,
    /// Time at which the connection is closed if no request is open by then and nothing more is read.
    pub close_idle_at: Option<Timestamp>,
    /// Time at which to decide again, unless the connection's state changes before.
    pub reevaluate_at: Option<Timestamp>,
}

impl DrainDecision {
    /// The decision if no drain is active.
    pub const OPEN: Self = Self { permission: Permission::Open, close_idle_at: None, reevaluate_at: None };

    /// Returns the stricter value of each field of two decisions.
    fn stricter(self, other: Self) -> Self {
        let earlier = |a: Option<Timestamp>, b: Option<Timestamp>| a.into_iter().chain(b).min();
        Self {
            permission: self.permission.max(other.permission),
            close_idle_at: earlier(self.close_idle_at, other.close_idle_at),
            reevaluate_at: earlier(self.reevaluate_at, other.reevaluate_at),
        }
    }
}

/// Returns the point in time `span` after `start`, saturating on overflow.
fn add_saturating(start: Timestamp, span: Duration) -> Timestamp {
    Timestamp(start.0.saturating_add(TimeDelta::from(span).0))
}

impl ActiveDrain {
    /// Returns the point in time `span` after the start of the drain.
    fn at(&self, span: Duration) -> Timestamp {
        add_saturating(self.started_at, span)
    }

    /// Returns the effect of this drain alone.
    fn decide(&self, state: ConnectionState, now: Timestamp) -> DrainDecision {
        let close_idle_at = self.at(self.schedule.close_idle_after);
        let stop_reading_at = self.at(self.schedule.stop_reading_after);
        let answers_due_at = self.at(self.schedule.answers_due_after);
        let steps = [close_idle_at, stop_reading_at, answers_due_at];
        let is_bounded = state.has_sent_request || self.ends_process;
        let idle_until = close_idle_at.max(add_saturating(state.last_activity_at, self.idle_grace(state)));
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

    /// Returns the time without activity after which a connection counts as idle.
    fn idle_grace(&self, state: ConnectionState) -> Duration {
        if state.has_sent_request && !state.has_partial_message {
            Duration::ZERO
        } else {
            self.schedule.first_request_timeout
        }
    }

    /// Returns the startup deadline of a connection that is accepted now, or whose startup is in progress as
    /// the drain starts.
    fn startup_deadline(&self, now: Timestamp) -> Timestamp {
        let deadline = add_saturating(now, self.schedule.first_request_timeout);
        if self.ends_process {
            deadline.min(self.at(self.schedule.stop_reading_after))
        } else {
            deadline
        }
    }

    /// Returns the time at which a write that makes no progress is given up.
    fn write_deadline(&self, last_progress_at: Timestamp, stall_timeout: Duration) -> Timestamp {
        let deadline =
            self.at(self.schedule.answers_due_after).max(add_saturating(last_progress_at, stall_timeout));
        match self.schedule.force_close_after {
            Some(force_close_after) => deadline.min(self.at(force_close_after)),
            None => deadline,
        }
    }
}

/// Returns the effect of the active drains on a connection. For each field the strictest drain counts.
pub fn decide(
    drains: impl IntoIterator<Item = ActiveDrain>,
    state: ConnectionState,
    now: Timestamp,
) -> DrainDecision {
    let decisions = drains.into_iter().map(|drain| drain.decide(state, now));
    decisions.fold(DrainDecision::OPEN, DrainDecision::stricter)
}

/// Returns the startup deadline of a connection that is accepted now, or whose startup is in progress as a
/// drain starts; `None` without a drain.
pub fn startup_deadline(drains: impl IntoIterator<Item = ActiveDrain>, now: Timestamp) -> Option<Timestamp> {
    drains.into_iter().map(|drain| drain.startup_deadline(now)).min()
}

/// Returns the time by which requests that are read now have to be answered; `None` unless the process ends.
pub fn answers_due_at(drains: impl IntoIterator<Item = ActiveDrain>) -> Option<Timestamp> {
    let ending = drains.into_iter().filter(|drain| drain.ends_process);
    ending.map(|drain| drain.at(drain.schedule.answers_due_after)).min()
}

/// Returns the time at which a write that makes no progress is given up; `None` without a drain.
///
/// That is `stall_timeout` after the client last read some of the data (`last_progress_at`), but not before
/// the drain's answers are due, and no later than connections are closed by force.
pub fn write_deadline(
    drains: impl IntoIterator<Item = ActiveDrain>,
    last_progress_at: Timestamp,
    stall_timeout: Duration,
) -> Option<Timestamp> {
    drains.into_iter().map(|drain| drain.write_deadline(last_progress_at, stall_timeout)).min()
}

/// Returns the time at which connections are closed, whatever they wait for; `None` unless the process ends.
pub fn force_close_at(drains: impl IntoIterator<Item = ActiveDrain>) -> Option<Timestamp> {
    drains.into_iter().filter_map(|drain| Some(drain.at(drain.schedule.force_close_after?))).min()
}
