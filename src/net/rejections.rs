//! Rejections of connections and requests: counted by reason, and logged with their cause at a bounded rate
//! for each reason.

use super::clock::Clock;
use crate::counters::Counters;
use crate::interface::TimeDelta;
use crate::rejection_reason::RejectionReason;
use crate::state::rate_limited_log::RateLimitedLog;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};

/// Minimum time between two log lines for the same reason. Each line counts the rejections since the previous
/// one.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// Records rejections. Copies share the counters and the log's rate limit.
#[derive(Clone, Debug)]
pub(crate) struct Rejections {
    counters: Arc<Counters>,
    clock: Clock,
    rate_limit: Arc<Mutex<RateLimitedLog<RejectionReason>>>,
}

impl Rejections {
    /// Returns a recorder that counts in `counters`.
    pub fn new(counters: Arc<Counters>, clock: Clock) -> Self {
        Self { counters, clock, rate_limit: Arc::new(Mutex::new(RateLimitedLog::new(LOG_INTERVAL))) }
    }

    /// Counts a rejection, and logs it unless its reason was logged within [`LOG_INTERVAL`]. `cause`
    /// describes the problem in the log line.
    pub fn record(&self, reason: RejectionReason, cause: impl Display) {
        self.counters.rejected(reason);
        let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = rate_limit.record(self.clock.now(), reason, 1) {
            tracing::warn!(%reason, %cause, count, "request or connection rejected");
        }
    }
}
