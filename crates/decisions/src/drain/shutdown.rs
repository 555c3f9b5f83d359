//! The schedule of a graceful shutdown, as times after SIGTERM.
//!
//! It is derived from the longest request deadline: a platform whose longest deadline is 0.2 s sends SIGKILL
//! long before one whose longest deadline is 3 s.
//!
//! Invariant: each step leaves enough time to finish what the step before it still admits. A request that
//! arrives just before idle connections are closed still has its complete deadline (at most
//! [`MAX_REQUEST_TIME`]), and its answer is due before SIGKILL.

use std::time::Duration;

/// Time from SIGTERM until the expected SIGKILL, in addition to the longest deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper bound of the longest deadline in the calculation of the expected SIGKILL.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time after SIGTERM in which clients still connect and send requests.
const ACCEPT_WINDOW: Duration = Duration::from_millis(400);
/// Margin between the time at which answers are due and the expected SIGKILL, for the network, timers and a
/// busy machine. A tenth of the time from SIGTERM to SIGKILL if that is less.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time for a request that arrives just before idle connections are closed, unless the longest deadline is
/// shorter.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Minimum time after SIGTERM in which the proxy accepts connections, unless answers are due earlier.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(750);
/// Minimum time after the last accepted connection in which the proxy accepts more, unless answers are due
/// earlier.
const ACCEPT_IDLE_TIME: Duration = Duration::from_millis(350);
/// Time from a connection's last activity within which it must send its first request.
pub(super) const DRAIN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The schedule of a graceful shutdown, as times after SIGTERM unless a field says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time from which idle connections are closed.
    pub close_idle_after: Duration,
    /// Time from which connections read no further requests, and those that have not sent any are closed too.
    pub stop_reading_after: Duration,
    /// Time by which every request that was read is answered.
    pub answers_due_after: Duration,
    /// Time by which every connection is closed, whatever it waits for.
    pub force_close_after: Duration,
    /// Time of the expected SIGKILL.
    pub sigkill_after: Duration,
    /// Earliest exit of the process.
    pub earliest_exit_after: Duration,
    /// Earliest exit of the process, as a time after the last accepted connection.
    pub accept_idle_time: Duration,
    /// Time from a connection's last activity within which it must send its first request.
    pub first_request_timeout: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule of a proxy whose longest request deadline is `longest_deadline`.
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

    /// Returns the new earliest exit after one more connection was accepted, given the previous one. All
    /// times are after SIGTERM.
    pub fn exit_after_accept(&self, exit_after: Duration, accepted_after: Duration) -> Duration {
        exit_after.max(accepted_after + self.accept_idle_time).min(self.answers_due_after)
    }
}

#[cfg(test)]
mod tests;
