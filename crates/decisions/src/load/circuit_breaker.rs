//! Ejection of failing hosts, with exponential backoff until the next response.

use crate::interface::{TimeDelta, Timestamp};

#[cfg(test)]
mod tests;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;
/// Number of consecutive failures from which the host itself is considered at fault; fewer may be faults of
/// single connections.
const REPEATED_FAILURES: u32 = 3;

/// The circuit breaker of one host: open while the host is ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    consecutive_failures: u32,
    open_until: Timestamp,
}

impl CircuitBreaker {
    /// Returns whether the host has failed since its last response.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether the host has failed at least `REPEATED_FAILURES` times since its last response.
    pub fn is_failing_repeatedly(&self) -> bool {
        self.consecutive_failures >= REPEATED_FAILURES
    }

    /// Returns whether the host is ejected at `now`.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.is_failing() && now < self.open_until
    }

    /// Closes the breaker, because the host has responded.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Opens the breaker for `base`, doubled for each further failure since the last response, up to
    /// `longest`. Does not shorten an ejection in progress.
    pub fn record_failure(&mut self, now: Timestamp, base: TimeDelta, longest: TimeDelta) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let ejection = TimeDelta(base.0 << doublings).min(longest);
        self.open_until = self.open_until.max(now + ejection);
    }

    /// Records the start of an attempt. Ejects a failing host again for `ejection`, so that it gets one
    /// attempt at a time.
    pub fn record_attempt(&mut self, now: Timestamp, ejection: TimeDelta) {
        if self.is_failing() {
            self.open_until = now + ejection;
        }
    }
}
