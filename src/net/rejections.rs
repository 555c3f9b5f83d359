//! What is turned away: counted by reason, and logged with what was wrong, each reason at a bounded rate. A proxy that
//! refuses everybody says so.

use super::clock::Clock;
use crate::counters::Counters;
use crate::interface::Timestamp;
use crate::rejection_reason::RejectionReason;
use crate::state::rate_limited_log::RateLimitedLog;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};

/// A reason is logged once in this time at the most.
const LOGGED: Timestamp = Timestamp(1_000_000);

/// The one place that tells of it; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct Rejections {
    counters: Arc<Counters>,
    clock: Clock,
    telling: Arc<Mutex<RateLimitedLog<RejectionReason>>>,
}

impl Rejections {
    pub fn new(counters: Arc<Counters>, clock: Clock) -> Self {
        Self { counters, clock, telling: Arc::new(Mutex::new(RateLimitedLog::new(LOGGED))) }
    }

    /// Counts a rejection for that reason and logs it, at a bounded rate; `what` was wrong.
    pub fn record(&self, reason: RejectionReason, what: impl Display) {
        self.counters.rejected(reason);
        let mut telling = self.telling.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = telling.note(self.clock.now(), reason, 1) {
            tracing::warn!("turned away ({reason}): {what}; {count} since the last word on it");
        }
    }
}
