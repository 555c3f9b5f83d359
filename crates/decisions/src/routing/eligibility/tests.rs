use super::*;
use crate::interface::{HostState, LagPolicy, LogPosition, Role, Settings, Timestamp};
use crate::routing::host::HostTable;
use crate::routing::load_estimates::LoadEstimates;
use crate::routing::request::PossibleExecution;

const NOW: Timestamp = Timestamp(1_000_000_000);
const HOST: HostId = HostId(1);

/// One class of session reads, with hosts that do not check reads.
fn settings() -> Settings {
    let mut settings = Settings::example();
    settings.classes[0].freshness = Freshness::Session;
    settings
}

/// A request that must see a write committed 100 ms before its arrival.
fn request() -> PendingRequest {
    PendingRequest {
        arrived_at: NOW,
        deadline: NOW + TimeDelta::from_secs(1),
        minimum_position: LogPosition((NOW - TimeDelta::from_millis(100)).0),
        ..PendingRequest::default()
    }
}

/// Marks the host as one that was observed in this role just now and is behind by `lag`.
fn observed(host: &mut Host, role: Role, lag: TimeDelta) {
    host.state = HostState::Running;
    host.role.record_observed(role, NOW, NOW);
    host.applied_position = LogPosition((NOW - lag).0);
    host.position_observed_at = Some(NOW);
    host.last_response_at = Some(NOW);
}

fn replica(host: &mut Host) {
    observed(host, Role::Replica, TimeDelta::from_millis(10));
}

fn replica_behind(host: &mut Host) {
    observed(host, Role::Replica, TimeDelta::from_secs(2));
}

fn primary(host: &mut Host) {
    observed(host, Role::Primary, TimeDelta(0));
}

fn eligibility_of(
    settings: &Settings,
    request: &PendingRequest,
    change: impl Fn(&mut Host),
) -> Result<Eligibility, Ineligible> {
    let (mut hosts, load) = (HostTable::default(), LoadEstimates::new(&settings.classes));
    change(hosts.get_or_insert(HOST, 0, 16.0));
    eligibility(Context { settings, now: NOW, hosts: &hosts, load: &load }, HOST, request)
}

#[test]
fn a_read_may_go_to_a_replica_that_has_caught_up_or_to_the_primary() {
    assert_eq!(eligibility_of(&settings(), &request(), replica), Ok(Eligibility::CaughtUp));
    assert_eq!(eligibility_of(&settings(), &request(), primary), Ok(Eligibility::Primary));
    assert_eq!(eligibility_of(&settings(), &request(), replica_behind), Err(Ineligible::Behind));
}

#[test]
fn a_replica_that_checks_reads_and_waits_may_take_a_read_it_will_soon_be_recent_enough_for() {
    let lag_policy = LagPolicy::WaitThenReject(TimeDelta::from_millis(300));
    let settings = Settings { lag_policy, ..settings() };
    let slightly_behind = |host: &mut Host| observed(host, Role::Replica, TimeDelta::from_millis(200));
    assert_eq!(eligibility_of(&settings, &request(), slightly_behind), Ok(Eligibility::LikelyCaughtUp));
    assert_eq!(eligibility_of(&settings, &request(), replica_behind), Err(Ineligible::Behind));
}

#[test]
fn without_health_checks_a_replica_that_was_behind_is_tried_unverified_only_later() {
    let settings = Settings { lag_policy: LagPolicy::Reject, health_checks_allowed: false, ..settings() };
    assert_eq!(eligibility_of(&settings, &request(), replica_behind), Err(Ineligible::Behind));
    let observed_long_ago = |host: &mut Host| {
        observed(host, Role::Replica, TimeDelta::from_secs(2));
        host.position_observed_at = Some(NOW - TimeDelta::from_secs(1));
    };
    assert_eq!(eligibility_of(&settings, &request(), observed_long_ago), Ok(Eligibility::Unverified));
}

#[test]
fn a_write_may_go_to_the_primary_unless_it_rejected_one_just_now() {
    let mut settings = settings();
    settings.classes[0].freshness = Freshness::Write;
    assert_eq!(eligibility_of(&settings, &request(), primary), Ok(Eligibility::Primary));
    assert_eq!(eligibility_of(&settings, &request(), replica), Err(Ineligible::NotPrimary));
    let rejected = |ago_ms| {
        move |host: &mut Host| {
            primary(host);
            host.role.record_write(true, NOW - TimeDelta::from_millis(ago_ms));
        }
    };
    assert_eq!(eligibility_of(&settings, &request(), rejected(119)), Err(Ineligible::WriteRejected));
    assert_eq!(eligibility_of(&settings, &request(), rejected(120)), Ok(Eligibility::Primary));
}

#[test]
fn a_write_that_must_not_be_repeated_needs_a_primary_that_responded_within_a_second() {
    let mut settings = settings();
    settings.classes[0].freshness = Freshness::Write;
    settings.classes[0].idempotency = Idempotency::NotIdempotent;
    let responded = |ago| {
        move |host: &mut Host| {
            primary(host);
            host.last_response_at = Some(NOW - ago);
        }
    };
    let one_second = TimeDelta::from_secs(1);
    assert_eq!(eligibility_of(&settings, &request(), responded(one_second)), Ok(Eligibility::Primary));
    let longer = TimeDelta(one_second.0 + 1);
    assert_eq!(eligibility_of(&settings, &request(), responded(longer)), Err(Ineligible::NotPrimary));
}

#[test]
fn a_draining_host_and_one_of_another_group_are_not_available() {
    let draining = |host: &mut Host| {
        replica(host);
        host.state = HostState::Draining;
    };
    assert_eq!(eligibility_of(&settings(), &request(), draining), Err(Ineligible::NotAvailable));
    let in_other_group = PendingRequest { group: 7, ..request() };
    assert_eq!(eligibility_of(&settings(), &in_other_group, replica), Err(Ineligible::NotAvailable));
}

#[test]
fn a_request_at_its_deadline_or_without_attempts_left_is_exhausted() {
    let late = PendingRequest { deadline: NOW, ..request() };
    assert_eq!(eligibility_of(&settings(), &late, replica), Err(Ineligible::RequestExhausted));
    let attempted = PendingRequest { attempts: settings().max_attempts, ..request() };
    assert_eq!(eligibility_of(&settings(), &attempted, replica), Err(Ineligible::RequestExhausted));
}

#[test]
fn a_request_that_may_have_been_executed_is_not_repeated_if_a_repeat_does_harm() {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::NotIdempotent;
    let possible_execution = Some(PossibleExecution { sent_at: NOW, zone: 0 });
    let executed = PendingRequest { possible_execution, ..request() };
    assert_eq!(eligibility_of(&settings, &executed, replica), Err(Ineligible::RetryUnsafe));
}

#[test]
fn a_retry_does_not_go_to_a_host_that_warms_up() {
    let just_started = |host: &mut Host| {
        replica(host);
        host.started_at = Some(NOW);
    };
    let retry = PendingRequest { attempts: 1, ..request() };
    assert_eq!(eligibility_of(&settings(), &retry, just_started), Err(Ineligible::WarmingUp));
    assert_eq!(eligibility_of(&settings(), &retry, replica), Ok(Eligibility::CaughtUp));
}
