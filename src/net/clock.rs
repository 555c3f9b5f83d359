//! One clock for the module and the positions: Unix time, read once, then advanced monotonically.

use crate::interface::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// Marks a drain's start as now, unless one has begun already: the first call counts, so that what it promised
/// holds. Whether this was the first.
pub(crate) fn begin(since: &watch::Sender<Option<Instant>>) -> bool {
    since.send_if_modified(|since| {
        let first = since.is_none();
        since.get_or_insert_with(Instant::now);
        first
    })
}

/// The clock; copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the system's clock, once.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix }
    }

    /// A moment in the module's time.
    pub fn at(&self, moment: Instant) -> Timestamp {
        let since = moment.saturating_duration_since(self.started);
        Timestamp((self.unix + since).as_micros() as i64)
    }

    /// The present in the module's time.
    pub fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    /// A moment of the module's time; the start for anything before it.
    pub fn moment(&self, time: Timestamp) -> Instant {
        let since = time.0.saturating_sub(self.unix.as_micros() as i64).max(0);
        // Far beyond any wait here, and within what a timer takes.
        self.started + Duration::from_micros(since as u64).min(Duration::from_secs(86_400 * 365))
    }
}
