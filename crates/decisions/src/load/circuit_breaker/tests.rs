use super::*;

const BASE: TimeDelta = TimeDelta(300);
const LONGEST: TimeDelta = TimeDelta(3_000);

fn failed(times: i64) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    (0..times).for_each(|_| breaker.record_failure(Timestamp(0), BASE, LONGEST));
    breaker
}

#[test]
fn each_failure_doubles_the_ejection_up_to_the_longest() {
    for (times, until) in [(1, 300), (2, 600), (3, 1_200), (5, 3_000), (100, 3_000)] {
        assert!(failed(times).is_open(Timestamp(until - 1)), "{times}");
        assert!(!failed(times).is_open(Timestamp(until)), "{times}");
    }
}

#[test]
fn a_host_fails_repeatedly_from_its_third_failure_in_a_row_on() {
    assert!(!failed(2).is_failing_repeatedly() && failed(3).is_failing_repeatedly());
    let mut breaker = failed(3);
    breaker.record_response();
    assert!(!breaker.is_failing_repeatedly());
    breaker.record_failure(Timestamp(0), BASE, LONGEST);
    assert!(!breaker.is_failing_repeatedly(), "a response came between");
}

#[test]
fn a_response_closes_the_breaker_and_the_next_failure_counts_from_the_first() {
    let mut breaker = failed(1);
    breaker.record_response();
    assert!(!breaker.is_failing() && !breaker.is_open(Timestamp(1)));
    breaker.record_failure(Timestamp(1_000), BASE, LONGEST);
    assert!(breaker.is_open(Timestamp(1_299)) && !breaker.is_open(Timestamp(1_300)));
}

#[test]
fn an_attempt_opens_the_breaker_anew_only_at_a_host_that_has_failed() {
    let mut breaker = failed(1);
    breaker.record_attempt(Timestamp(400), BASE);
    assert!(breaker.is_open(Timestamp(699)));
    let mut healthy = CircuitBreaker::default();
    healthy.record_attempt(Timestamp(400), BASE);
    assert!(!healthy.is_open(Timestamp(401)));
}
