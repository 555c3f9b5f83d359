//! The clock of the proxy: Unix time, read once at the start and then advanced monotonically.

use crate::interface::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Returns at that time; never if there is none. A timer is set only once this is polled.
pub(crate) async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Bound on how far ahead of the start [`Clock::instant`] lies: beyond any wait here and within what a timer accepts.
const MAX_AHEAD: Duration = Duration::from_secs(86_400 * 365);

/// Records now as the start of a drain, unless one has begun already: the first start counts, since deadlines were
/// promised by it. Returns whether this was the first.
pub(crate) fn record_drain_start(started_at: &watch::Sender<Option<Instant>>) -> bool {
    started_at.send_if_modified(|started_at| {
        let is_first = started_at.is_none();
        started_at.get_or_insert_with(Instant::now);
        is_first
    })
}

/// Converts between the runtime's [`Instant`] and the decisions' [`Timestamp`]. Copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    started_at_unix: Duration,
}

impl Clock {
    /// Reads the system's wall clock, once.
    pub fn start() -> Self {
        let started_at_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), started_at_unix }
    }

    /// Returns the timestamp of an instant; that of the start for an earlier one.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_start = instant.saturating_duration_since(self.started_at);
        Timestamp((self.started_at_unix + since_start).as_micros() as i64)
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Returns the instant of a timestamp; the start for an earlier one, at most a year ahead for a later one.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        let since_start = timestamp.0.saturating_sub(self.started_at_unix.as_micros() as i64).max(0);
        self.started_at + Duration::from_micros(since_start as u64).min(MAX_AHEAD)
    }
}
