//! Intervals and counts of rate-limited log lines.

use super::*;

const INTERVAL: TimeDelta = TimeDelta::from_secs(1);

#[test]
fn the_first_occurrence_is_logged_at_once_and_further_ones_are_counted() {
    let mut log = RateLimitedLog::new(INTERVAL);
    assert_eq!(log.record(Timestamp(5), "a", 1), Some(1));
    assert_eq!(log.record(Timestamp(6), "a", 1), None);
    assert_eq!(log.record(Timestamp(7), "b", 1), Some(1));
    assert_eq!(log.record(Timestamp(1_000_004), "a", 2), None);
    assert_eq!(log.record(Timestamp(1_000_005), "a", 1), Some(4));
    assert_eq!(log.record(Timestamp(3_000_000), "a", 0), None);
}

#[test]
fn a_kind_is_logged_once_per_interval_and_every_occurrence_is_counted() {
    let mut log = RateLimitedLog::new(INTERVAL);
    let logged: Vec<u64> = (0..10_000).filter_map(|n| log.record(Timestamp(n * 1_000), (), 1)).collect();
    assert_eq!(logged.len(), 10);
    assert_eq!(logged.iter().sum::<u64>() + log.record(Timestamp(20_000_000), (), 1).unwrap(), 10_001);
}
