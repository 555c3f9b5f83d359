//! The rules that hold for every request, each in an ordinary case and in an edge case.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_waiting_request_is_rejected_before_its_deadline() {
    let mut world = World::new(settings(), 0);
    let (id, actions) = world.request(3, None);
    assert!(endings(&actions).is_empty());
    let done = world.advance_ms(2_000);
    assert!(matches!(endings(&done)[..], [Action::Reject { id: rejected_id, .. }] if *rejected_id == id));
}

#[test]
fn a_timeout_at_the_deadline_fails_the_request_at_once() {
    let mut world = World::with_positions(settings(), 2);
    let (id, _) = world.request(3, None);
    world.now += 2_000 * MS;
    let done = world.end_next_attempt(id, 0, Outcome::Timeout, None);
    assert!(matches!(endings(&done)[..], [Action::Fail { .. }]));
}

#[test]
fn a_write_that_is_not_idempotent_and_may_have_been_executed_fails_and_is_not_retried() {
    for outcome in [Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Cancelled] {
        let mut world = World::with_positions(settings(), 3);
        let (id, sent) = world.request(3, None);
        assert_eq!(forwarded_to(&sent), [0]);
        let done = world.end_next_attempt(id, 0, outcome, None);
        assert!(matches!(endings(&done)[..], [Action::Fail { .. }]), "{outcome:?}");
        assert!(forwarded_to(&done).is_empty());
    }
}

#[test]
fn a_misdirected_write_is_retried_at_the_new_primary() {
    let mut world = World::with_positions(settings(), 3);
    let (id, _) = world.request(3, None);
    world.now += 200 * MS;
    let missed = world.end_next_attempt(id, 0, Outcome::Misdirected, Some(Role::Replica));
    assert!(forwarded_to(&missed).is_empty() && endings(&missed).is_empty());
    assert_eq!(health_checks(&missed), [1, 2]);
    assert_eq!(forwarded_to(&world.health_checked(2, load_report(world.now, Role::Primary))), [2]);
}

#[test]
fn a_write_with_a_key_is_retried_only_within_its_key_window() {
    let mut world = World::with_positions(settings(), 2);
    let (id, _) = world.request(5, None);
    world.now += 100 * MS;
    world.health_checked(0, load_report(world.now, Role::Primary));
    world.end_next_attempt(id, 0, Outcome::Error, Some(Role::Primary));
    let again = world.advance_ms(20);
    assert!(endings(&again).is_empty());
    let (late, _) = world.request(5, None);
    world.now += 2_000 * MS;
    let done = world.end_next_attempt(late, 0, Outcome::Error, Some(Role::Primary));
    assert!(forwarded_to(&done).is_empty());
    assert!(endings(&done).iter().all(|a| matches!(a, Action::Fail { .. })));
}

#[test]
fn nothing_is_forwarded_to_a_draining_or_removed_host() {
    for is_removed in [false, true] {
        let mut world = World::with_positions(settings(), 2);
        let mut list = vec![EndpointEntry::new(HostId(0), 0, HostState::Running)];
        if !is_removed {
            list.push(EndpointEntry::new(HostId(1), 0, HostState::Draining));
        }
        world.event(Event::EndpointList(EndpointUpdate::Snapshot, list));
        for _ in 0..5 {
            assert!(!forwarded_to(&world.request(0, None).1).contains(&1));
        }
    }
}

#[test]
fn a_restarted_host_gets_few_requests_at_first() {
    let mut world = World::with_positions(settings(), 3);
    let mut entry = EndpointEntry::new(HostId(1), 0, HostState::Running);
    entry.started_at = Some(Timestamp(world.now));
    world.event(Event::EndpointList(EndpointUpdate::Delta, vec![entry]));
    let mut forwarded = 0;
    for _ in 0..8 {
        forwarded += forwarded_to(&world.request(0, None).1).iter().filter(|h| **h == 1).count();
    }
    assert!(forwarded <= 2, "{forwarded}");
}

#[test]
fn no_read_is_forwarded_unverified_where_replicas_do_not_check_reads() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 100 * MS;
    let (_, actions) = world.request(1, Some(20 * MS));
    assert!(!forwarded_to(&actions).contains(&1));
}

#[test]
fn a_response_and_a_disconnect_in_one_batch_are_harmless() {
    let mut world = World::with_positions(settings(), 2);
    let (id, sent) = world.request(0, None);
    let host = forwarded_to(&sent)[0];
    world.end_next_attempt(id, host, Outcome::Error, Some(Role::Replica));
    world.event(Event::ClientDisconnected(id));
    world.event(Event::ClientDisconnected(id));
    assert!(forwarded_to(&world.advance_ms(100)).is_empty());
}

#[test]
fn a_peer_message_is_ignored() {
    let mut world = World::new(settings(), 2);
    for data in [vec![], vec![0xFF; 256], b"0=primary".to_vec()] {
        for from in [0, 1, u32::MAX] {
            assert!(world.event(Event::PeerMessage { from, data: data.clone() }).is_empty());
        }
    }
    assert!(
        forwarded_to(&world.request(3, None).1).is_empty(),
        "a write needs evidence from the host itself"
    );
    assert!(forwarded_to(&world.request(1, Some(10 * MS)).1).is_empty(), "a read needs it as well");
}

/// A position ahead of the clock is wrong: if accepted, it would make the replica count as recent enough for
/// good.
#[test]
fn a_position_ahead_of_the_clock_is_ignored() {
    let mut world = World::with_positions(settings(), 2);
    world.health_checked(1, load_report(world.now - 5_000 * MS, Role::Replica));
    world.health_checked(1, load_report(world.now + 60_000 * MS, Role::Replica));
    let (id, sent) = world.request(0, None);
    let ahead = load_report(world.now + 60_000 * MS, Role::Replica);
    world.serve_first_attempt(id, forwarded_to(&sent)[0], MS, ahead);
    world.now += 5_000 * MS;
    let (_, sent) = world.request(1, Some(MS));
    assert!(!forwarded_to(&sent).contains(&1), "{sent:?}");
}

fn write_deadlines(actions: &[Action]) -> Vec<Option<Timestamp>> {
    let write_deadline = |action: &Action| match action {
        Action::Forward { write_by, .. } => Some(*write_by),
        _ => None,
    };
    actions.iter().filter_map(write_deadline).collect()
}

#[test]
fn a_bounded_read_must_be_written_while_its_host_is_known_to_be_recent_enough() {
    let mut world = World::with_positions(settings(), 2);
    let (_, sent) = world.request(2, None);
    assert_eq!(
        (forwarded_to(&sent), write_deadlines(&sent)),
        (vec![1], vec![Some(Timestamp(world.now - 10 * MS + 800 * MS))])
    );
    // The primary may lose its role before the read is written. A host that checks reads rejects those that
    // it must not serve.
    let mut world = World::with_positions(settings(), 1);
    assert_eq!(write_deadlines(&world.request(2, None).1), [Some(Timestamp(world.now + 800 * MS))]);
    let mut world = World::with_positions(Settings { lag_policy: LagPolicy::Reject, ..settings() }, 2);
    assert_eq!(write_deadlines(&world.request(2, None).1), [None]);
}

#[test]
fn a_read_with_a_stale_response_is_retried_only_if_it_is_idempotent() {
    for (idempotency, is_retried) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let mut all = settings();
        all.classes[2].idempotency = idempotency;
        let mut world = World::with_positions(all, 2);
        let (id, sent) = world.request(2, None);
        assert_eq!(forwarded_to(&sent), [1]);
        world.now += 700 * MS;
        let mut done = world.end_next_attempt(id, 1, Outcome::Stale, Some(Role::Replica));
        done.extend(world.advance_ms(50));
        assert_eq!(!forwarded_to(&done).is_empty(), is_retried, "{done:?}");
        assert_eq!(matches!(endings(&done)[..], [Action::Fail { .. }]), !is_retried, "{done:?}");
    }
}

#[test]
fn the_required_position_counts_from_the_last_byte_written() {
    let written = Timestamp(10_000 * MS);
    let at = |ms: i64| Some(LogPosition(ms * MS));
    let bounded = ReadRequirement::for_class(Freshness::Bounded(TimeDelta(500 * MS)), LogPosition(i64::MIN));
    assert!(
        bounded.is_met_by(at(9_500), written)
            && !bounded.is_met_by(at(9_499), written)
            && !bounded.is_met_by(None, written)
    );
    let session = ReadRequirement::for_class(Freshness::Session, LogPosition(9_000 * MS));
    assert!(
        session.is_met_by(at(9_000), written)
            && !session.is_met_by(at(8_999), written)
            && !session.is_met_by(None, written)
    );
    for requirement in
        [(Freshness::Any, i64::MIN), (Freshness::Session, i64::MIN), (Freshness::Write, i64::MIN)]
    {
        assert!(
            ReadRequirement::for_class(requirement.0, LogPosition(requirement.1)).is_met_by(None, written),
            "{requirement:?}"
        );
    }
}

/// Returns a router with a write of session 7 in flight at the primary.
fn with_a_write_in_flight(lag_policy: LagPolicy) -> (World, RequestId) {
    let mut all = Settings {
        write_positions_tracked: true,
        lag_policy,
        load_reports: LoadReports::Off,
        health_checks_allowed: false,
        ..settings()
    };
    all.classes[3].deadline = TimeDelta(1_000 * MS);
    let mut world = World::with_positions(all, 3);
    let id = RequestId(900);
    let write = Request { session: Some(SessionId(7)), ..Request::new(id, 3, 0, 1_000 * MS) };
    assert_eq!(forwarded_to(&world.event(Event::RequestArrived(write))), [0]);
    (world, id)
}

fn session_read(world: &mut World, id: u64) -> Vec<u32> {
    let read = Request { session: Some(SessionId(7)), ..Request::new(RequestId(id), 1, 0, 1_000 * MS) };
    forwarded_to(&world.event(Event::RequestArrived(read)))
}

/// The response may have been lost with the connection, so the write may have been committed.
#[test]
fn a_session_with_an_unconfirmed_write_reads_at_the_primary() {
    for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let (mut world, write) = with_a_write_in_flight(LagPolicy::ServeStale);
        world.now += 100 * MS;
        assert_eq!(session_read(&mut world, 901), [0], "while the write is in flight");
        world.end_attempt(write, 0, 0, outcome, 100 * MS);
        world.now += 500 * MS;
        // No replica may take the read, and the primary only once a response has confirmed its role.
        assert!(session_read(&mut world, 902).is_empty(), "{outcome:?}");
        let other_write = Request::new(RequestId(903), 5, 0, 1_000 * MS);
        assert_eq!(forwarded_to(&world.event(Event::RequestArrived(other_write))), [0]);
        let sent = world.end_attempt(RequestId(903), 0, 0, Outcome::Ok, MS);
        assert_eq!(forwarded_to(&sent), [0], "{outcome:?}, after a response");
        world.now += 1_000 * MS;
        assert_ne!(session_read(&mut world, 904), [0], "the write can no longer be committed");
    }
}

#[test]
fn a_session_whose_write_was_not_executed_reads_anywhere() {
    for outcome in [Outcome::ConnectFailed, Outcome::Overloaded, Outcome::NotSent] {
        let (mut world, write) = with_a_write_in_flight(LagPolicy::ServeStale);
        // Without the disconnect the write would be retried.
        world.event(Event::ClientDisconnected(write));
        world.end_attempt(write, 0, 0, outcome, 100 * MS);
        assert_ne!(session_read(&mut world, 901), [0], "{outcome:?}");
    }
}

/// The response arrives after the client has disconnected; the next read of the session must still see the
/// write.
#[test]
fn a_commit_counts_for_its_session_after_its_request_has_ended() {
    let (mut world, write) = with_a_write_in_flight(LagPolicy::ServeStale);
    world.event(Event::ClientDisconnected(write));
    world.now += 100 * MS;
    world.end_attempt(write, 0, 0, Outcome::Ok, 100 * MS);
    world.now += MS;
    assert_eq!(session_read(&mut world, 901), [0]);
}

#[test]
fn replicas_that_check_reads_serve_while_a_write_is_in_flight() {
    let (mut world, _) = with_a_write_in_flight(LagPolicy::Reject);
    assert_ne!(session_read(&mut world, 901), [0]);
}
