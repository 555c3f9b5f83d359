use super::*;

const BASE: TimeDelta = TimeDelta(300);
const LONGEST: TimeDelta = TimeDelta(3_000);

/// Returns a breaker with this many failures at time 0.
fn failed(failures: i64) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    (0..failures).for_each(|_| breaker.record_failure(Timestamp(0), BASE, LONGEST));
    breaker
}

#[test]
fn each_failure_doubles_the_ejection_up_to_the_longest() {
    for (failures, open_until) in [(1, 300), (2, 600), (3, 1_200), (5, 3_000), (100, 3_000)] {
        assert!(failed(failures).is_open(Timestamp(open_until - 1)), "{failures}");
        assert!(!failed(failures).is_open(Timestamp(open_until)), "{failures}");
    }
}

#[test]
fn a_host_is_failing_repeatedly_after_three_consecutive_failures() {
    assert!(!failed(2).is_failing_repeatedly() && failed(3).is_failing_repeatedly());
    let mut breaker = failed(3);
    breaker.record_response();
    assert!(!breaker.is_failing_repeatedly());
    breaker.record_failure(Timestamp(0), BASE, LONGEST);
    assert!(!breaker.is_failing_repeatedly(), "a response came between");
}

#[test]
fn a_response_closes_the_breaker_and_resets_the_ejection_time() {
    let mut breaker = failed(1);
    breaker.record_response();
    assert!(!breaker.is_failing() && !breaker.is_open(Timestamp(1)));
    breaker.record_failure(Timestamp(1_000), BASE, LONGEST);
    assert!(breaker.is_open(Timestamp(1_299)) && !breaker.is_open(Timestamp(1_300)));
}

#[test]
fn an_attempt_reopens_the_breaker_of_a_failing_host_only() {
    let mut breaker = failed(1);
    breaker.record_attempt(Timestamp(400), BASE);
    assert!(breaker.is_open(Timestamp(699)));
    let mut healthy = CircuitBreaker::default();
    healthy.record_attempt(Timestamp(400), BASE);
    assert!(!healthy.is_open(Timestamp(401)));
}
