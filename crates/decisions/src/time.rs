//! Points and spans of time as the decisions count them: whole microseconds, signed.
//!
//! [`std::time::Duration`] cannot be negative and is used at sockets; [`TimeDelta`] is what the decisions compute with.

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds. Its origin is the caller's; the proxy counts from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub i64);

/// A signed span of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimeDelta(pub i64);

impl TimeDelta {
    /// The span of so many milliseconds.
    pub const fn from_millis(millis: i64) -> Self {
        Self(millis * 1_000)
    }

    /// The span of so many whole seconds.
    pub const fn from_secs(secs: i64) -> Self {
        Self(secs * 1_000_000)
    }

    /// The span as whole microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
}

impl From<std::time::Duration> for TimeDelta {
    /// The duration in whole microseconds, rounded down.
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
