//! Points in time and time spans in whole microseconds, both signed.
//!
//! The decisions compute with [`TimeDelta`]; [`std::time::Duration`], which cannot be negative, is used at
//! sockets.

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin chosen by the caller; the proxy uses the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub i64);

/// A signed span of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimeDelta(pub i64);

impl TimeDelta {
    /// Returns a span of `millis` milliseconds.
    pub const fn from_millis(millis: i64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns a span of `secs` seconds.
    pub const fn from_secs(secs: i64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
}

impl From<std::time::Duration> for TimeDelta {
    /// Converts a duration to whole microseconds, rounded down.
    fn from(duration: std::time::Duration) -> Self {
        Self(duration.as_micros() as i64)
    }
}

impl std::ops::Add<TimeDelta> for Timestamp {
    type Output = Self;

    fn add(self, delta: TimeDelta) -> Self {
        Self(self.0 + delta.0)
    }
}

impl std::ops::Sub<TimeDelta> for Timestamp {
    type Output = Self;

    fn sub(self, delta: TimeDelta) -> Self {
        Self(self.0 - delta.0)
    }
}

impl std::ops::Sub for Timestamp {
    type Output = TimeDelta;

    fn sub(self, earlier: Self) -> TimeDelta {
        TimeDelta(self.0 - earlier.0)
    }
}
