use super::*;
use crate::interface::{Idempotency, Settings, Timestamp};
use crate::routing::host::HostTable;
use crate::routing::load_estimates::LoadEstimates;
use crate::routing::request::PossibleExecution;

const ARRIVED_AT: Timestamp = Timestamp(1_000_000_000);

/// One class with a latency objective of 500 ms that gives late responses some weight.
fn settings() -> Settings {
    let mut settings = Settings::example();
    settings.classes[0].late_priority_weight = 0.1;
    settings
}

/// A waiting request with a timeout of 2 s.
fn waiting() -> PendingRequest {
    let deadline = ARRIVED_AT + TimeDelta::from_secs(2);
    PendingRequest { arrived_at: ARRIVED_AT, deadline, ..PendingRequest::default() }
}

fn executed() -> Option<PossibleExecution> {
    Some(PossibleExecution { sent_at: ARRIVED_AT, zone: 0 })
}

fn with_context<T>(settings: &Settings, after_ms: i64, rule: impl Fn(Context<'_>) -> T) -> T {
    let (hosts, load) = (HostTable::default(), LoadEstimates::new(&settings.classes));
    let now = ARRIVED_AT + TimeDelta::from_millis(after_ms);
    rule(Context { settings, now, hosts: &hosts, load: &load })
}

fn reason_after(settings: &Settings, request: &PendingRequest, after_ms: i64) -> Option<GiveUpReason> {
    with_context(settings, after_ms, |context| give_up_reason(context, request))
}

#[test]
fn a_request_that_has_just_arrived_is_not_given_up() {
    assert_eq!(reason_after(&settings(), &waiting(), 0), None);
}

#[test]
fn an_unreachable_objective_counts_only_if_late_responses_have_no_weight() {
    let mut settings = settings();
    assert_eq!(reason_after(&settings, &waiting(), 490), None);
    settings.classes[0].late_priority_weight = 0.0;
    assert_eq!(reason_after(&settings, &waiting(), 490), Some(GiveUpReason::ObjectiveUnreachable));
}

#[test]
fn a_request_that_no_host_accepted_is_given_up_two_checks_before_half_its_time() {
    assert_eq!(reason_after(&settings(), &waiting(), 979), None);
    assert_eq!(reason_after(&settings(), &waiting(), 980), Some(GiveUpReason::NoHostAvailable));
    let executed_request = PendingRequest { possible_execution: executed(), ..waiting() };
    assert_eq!(reason_after(&settings(), &executed_request, 980), None);
}

#[test]
fn a_request_is_given_up_before_its_deadline() {
    let executed_request = PendingRequest { possible_execution: executed(), ..waiting() };
    assert_eq!(reason_after(&settings(), &executed_request, 1_974), None);
    assert_eq!(reason_after(&settings(), &executed_request, 1_975), Some(GiveUpReason::DeadlineNear));
}

#[test]
fn a_request_without_attempts_or_retries_left_is_given_up() {
    let attempted = PendingRequest { attempts: settings().max_attempts, ..waiting() };
    assert_eq!(reason_after(&settings(), &attempted, 0), Some(GiveUpReason::AttemptsExhausted));
    let failed = PendingRequest { retries_exhausted: true, ..waiting() };
    assert_eq!(reason_after(&settings(), &failed, 0), Some(GiveUpReason::RetriesExhausted));
}

#[test]
fn a_request_that_may_have_been_executed_fails_if_a_repeat_does_harm() {
    let mut settings = settings();
    let executed = PendingRequest { possible_execution: executed(), ..waiting() };
    assert_eq!(reason_after(&settings, &executed, 0), None);
    assert_eq!(ending(&settings.classes[0], &executed), Ending::Reject);
    settings.classes[0].idempotency = Idempotency::NotIdempotent;
    assert_eq!(reason_after(&settings, &executed, 0), Some(GiveUpReason::RetryUnsafe));
    assert_eq!(ending(&settings.classes[0], &executed), Ending::Fail);
    assert_eq!(ending(&settings.classes[0], &waiting()), Ending::Reject);
}

#[test]
fn retry_after_is_short_while_the_objective_can_be_met() {
    let mut settings = settings();
    let delay = |settings: &Settings, after_ms| {
        with_context(settings, after_ms, |context| retry_after(context, &waiting()))
    };
    assert_eq!(delay(&settings, 249), Some(TimeDelta::from_millis(250)));
    assert_eq!(delay(&settings, 250), Some(settings.max_retry_after));
    settings.retry_after_allowed = false;
    assert_eq!(delay(&settings, 249), None);
}
