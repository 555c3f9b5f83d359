//! Busy periods, measured with given times.

use super::*;

fn times(processor_ms: u64, run_queue_ms: u64) -> ThreadTimes {
    let [processor, run_queue] = [processor_ms, run_queue_ms].map(Duration::from_millis);
    ThreadTimes { processor, run_queue }
}

fn monitor_from(start: Instant) -> EventLoopMonitor {
    let state = MonitorState { woken_at: start, sampled_at: start, sample: Some(times(0, 0)) };
    EventLoopMonitor { state: Mutex::new(state) }
}

/// Guards against a system call for each wait.
#[test]
fn times_are_read_at_most_once_a_second_and_not_for_short_periods() {
    let start = Instant::now();
    let monitor = monitor_from(start);
    let mut reads = 0;
    for ms in (0..10_000).step_by(5) {
        let now = start + Duration::from_millis(ms);
        assert_eq!(monitor.busy_period(now, || panic!("read for a short period")), None);
        monitor.record_wake_up(now, || {
            reads += 1;
            Some(times(ms, 0))
        });
    }
    assert_eq!(reads, 9);
}

/// Guards against a log line with times since the start of the process instead of the last reading.
#[test]
fn a_long_period_has_the_times_since_the_last_reading() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let monitor = monitor_from(start);
    monitor.record_wake_up(at(5_000), || Some(times(900, 100)));
    let busy = monitor.busy_period(at(6_500), || Some(times(2_300, 150)));
    assert_eq!(
        busy,
        Some(BusyPeriod { length: Duration::from_millis(1_500), times: Some(times(1_400, 50)) })
    );
}

/// Guards against a long period that is not logged because the system provides no times.
#[test]
fn a_long_period_is_reported_without_times() {
    let start = Instant::now();
    let busy = monitor_from(start).busy_period(start + Duration::from_secs(20), || None);
    assert_eq!(busy, Some(BusyPeriod { length: Duration::from_secs(20), times: None }));
}

#[test]
fn schedstat_is_parsed() {
    assert_eq!(ThreadTimes::parse("7000000 3000000 12\n"), Some(times(7, 3)));
    assert_eq!(ThreadTimes::parse(""), None);
    assert_eq!(ThreadTimes::parse("7 x 12"), None);
}
