//! The clock of the proxy: Unix time that is read once at the start and advances monotonically from there.

use crate::interface::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Sleeps until `time`, forever if it is `None`. The timer is set at the first poll.
pub(crate) async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Largest time after the clock's start that [`Clock::instant`] returns: longer than any wait of the proxy,
/// and within the range of Tokio's timers.
const MAX_SINCE_START: Duration = Duration::from_secs(86_400 * 365);

/// Records the current time as the start of a drain, unless the drain has begun already: deadlines that
/// follow from the first start stay valid. Returns whether this call began the drain.
pub(crate) fn record_drain_start(started_at: &watch::Sender<Option<Instant>>) -> bool {
    started_at.send_if_modified(|started_at| {
        let is_first = started_at.is_none();
        started_at.get_or_insert_with(Instant::now);
        is_first
    })
}

/// Converts between the runtime's [`Instant`] and the [`Timestamp`] that decisions use. Copies return the
/// same results.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    started_at_unix: Duration,
}

impl Clock {
    /// Starts a clock at the current time of the system's wall clock, which is not read again.
    pub fn start() -> Self {
        let started_at_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), started_at_unix }
    }

    /// Returns the timestamp of an instant. An instant before the clock's start counts as the start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_start = instant.saturating_duration_since(self.started_at);
        Timestamp((self.started_at_unix + since_start).as_micros() as i64)
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Returns the instant of a timestamp, limited to the range from the clock's start to one year later.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        let since_start = timestamp.0.saturating_sub(self.started_at_unix.as_micros() as i64).max(0);
        self.started_at + Duration::from_micros(since_start as u64).min(MAX_SINCE_START)
    }
}
