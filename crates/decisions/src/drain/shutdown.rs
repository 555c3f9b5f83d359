//! The schedule of a graceful shutdown, in spans from SIGTERM, derived from the longest request deadline: a platform whose
//! longest deadline is 0.2 s sends SIGKILL long before one whose longest is 3 s.
//!
//! Invariant: each step leaves time for what the step before it admits. A request that arrives just before idle
//! connections are closed still has its complete deadline (at most [`MAX_REQUEST_TIME`]), and its answer is due before
//! SIGKILL.

use std::time::Duration;

/// SIGKILL is expected this long after SIGTERM plus the longest deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest deadline counts as this much at most for the moment of SIGKILL.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Clients still connect and send requests for this long after SIGTERM.
const ACCEPT_WINDOW: Duration = Duration::from_millis(400);
/// An answer is due this long before SIGKILL, or a tenth of the span to SIGKILL if that is less: time for the network,
/// timers and a busy machine.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time that a request has when idle connections are closed, unless the longest deadline is shorter.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(1);
/// The proxy accepts connections for at least this long after SIGTERM, unless answers are due earlier.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(750);
/// The proxy accepts connections for at least this long after the last one, unless answers are due earlier.
const ACCEPT_IDLE_TIME: Duration = Duration::from_millis(350);
/// Time that a connection without a request has to send its first one, from its last activity.
pub(super) const DRAIN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The schedule of a graceful shutdown, in spans from SIGTERM unless a field says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From when on idle connections are closed.
    pub close_idle_after: Duration,
    /// From when on connections read no further requests, and those without a request are closed too.
    pub stop_reading_after: Duration,
    /// By when every request that was read is answered.
    pub answers_due_after: Duration,
    /// By when every connection is closed, whatever it waits for.
    pub force_close_after: Duration,
    /// When SIGKILL has to be expected.
    pub sigkill_after: Duration,
    /// The earliest exit of the process.
    pub earliest_exit_after: Duration,
    /// The earliest exit of the process, from the last connection that was accepted.
    pub accept_idle_time: Duration,
    /// How long a connection may take to send its first request, from its last activity.
    pub first_request_timeout: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule of a proxy whose requests have this longest deadline.
    pub fn with_longest_deadline(longest_deadline: Duration) -> Self {
        let sigkill_after = longest_deadline.min(MAX_KILL_DEADLINE) + KILL_GRACE;
        let answers_due_after = sigkill_after - ANSWER_MARGIN.min(sigkill_after / 10);
        let request_time = longest_deadline.min(MAX_REQUEST_TIME);
        let close_idle_after = (answers_due_after - request_time).max(ACCEPT_WINDOW);
        let stop_reading_after = (answers_due_after - request_time / 4).max(close_idle_after);
        let force_close_after = answers_due_after + (sigkill_after - answers_due_after) / 2;
        Self {
            close_idle_after,
            stop_reading_after,
            answers_due_after,
            force_close_after,
            sigkill_after,
            earliest_exit_after: MIN_SHUTDOWN_TIME.min(answers_due_after),
            accept_idle_time: ACCEPT_IDLE_TIME,
            first_request_timeout: DRAIN_FIRST_REQUEST_TIMEOUT,
        }
    }

    /// Returns the earliest exit, as a span from SIGTERM, after one more connection was accepted `accepted_after` SIGTERM;
    /// `exit_after` is the earliest exit before that.
    pub fn exit_after_accept(&self, exit_after: Duration, accepted_after: Duration) -> Duration {
        exit_after.max(accepted_after + self.accept_idle_time).min(self.answers_due_after)
    }
}

#[cfg(test)]
mod tests;
