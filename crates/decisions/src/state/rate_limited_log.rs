//! Rate limit for log lines that may occur often.
//!
//! Each kind of line is written at most once per interval, with the number of occurrences since the previous
//! line.

use crate::interface::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Counts of the occurrences of each kind that have not been logged yet. Grows with the number of kinds.
#[derive(Clone, Debug)]
pub struct RateLimitedLog<K> {
    interval: TimeDelta,
    kinds: BTreeMap<K, Occurrences>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Occurrences {
    unlogged: u64,
    last_logged_at: Option<Timestamp>,
}

impl<K: Ord> RateLimitedLog<K> {
    /// Returns a limit of one line of each kind per interval.
    pub fn new(interval: TimeDelta) -> Self {
        Self { interval, kinds: BTreeMap::new() }
    }

    /// Records `count` further occurrences of a kind. Returns the number of occurrences to log now; `None` if
    /// there are none or the interval has not elapsed.
    pub fn record(&mut self, now: Timestamp, kind: K, count: u64) -> Option<u64> {
        let occurrences = self.kinds.entry(kind).or_default();
        occurrences.unlogged += count;
        let is_due = occurrences.last_logged_at.is_none_or(|at| now - at >= self.interval);
        if !is_due || occurrences.unlogged == 0 {
            return None;
        }
        occurrences.last_logged_at = Some(now);
        Some(std::mem::take(&mut occurrences.unlogged))
    }
}
