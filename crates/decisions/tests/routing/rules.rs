//! The five rules, each in its normal case and in a nasty corner.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_held_request_is_answered_before_its_client_leaves() {
    let mut world = World::new(settings(), 0);
    let (id, actions) = world.ask(3, None);
    assert!(finals(&actions).is_empty());
    let done = world.wait(2_000);
    assert!(matches!(finals(&done)[..], [Action::Reject { id: it, .. }] if *it == id));
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut world = World::known(settings(), 2);
    let (id, _) = world.ask(3, None);
    world.now += 2_000 * MS;
    let done = world.reply(id, 0, Outcome::Timeout, None);
    assert!(matches!(finals(&done)[..], [Action::Fail { .. }]));
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_and_is_not_sent_again() {
    for outcome in [Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Cancelled] {
        let mut world = World::known(settings(), 3);
        let (id, sent) = world.ask(3, None);
        assert_eq!(sends(&sent), [0]);
        let done = world.reply(id, 0, outcome, None);
        assert!(matches!(finals(&done)[..], [Action::Fail { .. }]), "{outcome:?}");
        assert!(sends(&done).is_empty());
    }
}

#[test]
fn a_missed_write_follows_the_role_to_the_new_primary() {
    let mut world = World::known(settings(), 3);
    let (id, _) = world.ask(3, None);
    world.now += 200 * MS;
    let missed = world.reply(id, 0, Outcome::Misdirected, Some(Role::Replica));
    assert!(sends(&missed).is_empty() && finals(&missed).is_empty());
    assert_eq!(probes(&missed), [1, 2]);
    assert_eq!(sends(&world.probed(2, report(world.now, Role::Primary))), [2]);
}

#[test]
fn a_keyed_write_is_repeated_only_inside_its_window() {
    let mut world = World::known(settings(), 2);
    let (id, _) = world.ask(5, None);
    world.now += 100 * MS;
    world.probed(0, report(world.now, Role::Primary));
    world.reply(id, 0, Outcome::Error, Some(Role::Primary));
    let again = world.wait(20);
    assert!(finals(&again).is_empty());
    let (late, _) = world.ask(5, None);
    world.now += 2_000 * MS;
    let done = world.reply(late, 0, Outcome::Error, Some(Role::Primary));
    assert!(sends(&done).is_empty());
    assert!(finals(&done).iter().all(|a| matches!(a, Action::Fail { .. })));
}

#[test]
fn nothing_goes_to_a_draining_or_dropped_host() {
    for drop in [false, true] {
        let mut world = World::known(settings(), 2);
        let mut list = vec![EndpointEntry::new(HostId(0), 0, HostState::Running)];
        if !drop {
            list.push(EndpointEntry::new(HostId(1), 0, HostState::Draining));
        }
        world.event(Event::EndpointList(EndpointUpdate::Snapshot, list));
        for _ in 0..5 {
            assert!(!sends(&world.ask(0, None).1).contains(&1));
        }
    }
}

#[test]
fn a_restarted_host_is_sent_little_at_first() {
    let mut world = World::known(settings(), 3);
    let mut entry = EndpointEntry::new(HostId(1), 0, HostState::Running);
    entry.started_at = Some(Timestamp(world.now));
    world.event(Event::EndpointList(EndpointUpdate::Delta, vec![entry]));
    let mut cold = 0;
    for _ in 0..8 {
        cold += sends(&world.ask(0, None).1).iter().filter(|h| **h == 1).count();
    }
    assert!(cold <= 2, "{cold}");
}

#[test]
fn no_read_is_sent_on_a_guess_where_replicas_do_not_check() {
    let mut world = World::known(settings(), 2);
    world.now += 100 * MS;
    let (_, actions) = world.ask(1, Some(20 * MS));
    assert!(!sends(&actions).contains(&1));
}

#[test]
fn an_answer_and_the_end_in_one_batch_are_harmless() {
    let mut world = World::known(settings(), 2);
    let (id, sent) = world.ask(0, None);
    let host = sends(&sent)[0];
    world.reply(id, host, Outcome::Error, Some(Role::Replica));
    world.event(Event::ClientDisconnected(id));
    world.event(Event::ClientDisconnected(id));
    assert!(sends(&world.wait(100)).is_empty());
}

#[test]
fn a_message_from_a_peer_proves_nothing_and_harms_nothing() {
    let mut world = World::new(settings(), 2);
    for data in [vec![], vec![0xFF; 256], b"0=primary".to_vec()] {
        for from in [0, 1, u32::MAX] {
            assert!(world.event(Event::PeerMessage { from, data: data.clone() }).is_empty());
        }
    }
    assert!(sends(&world.ask(3, None).1).is_empty(), "no write without evidence of one's own");
    assert!(sends(&world.ask(1, Some(10 * MS)).1).is_empty(), "nor a read");
}

/// A position ahead of the clock is spoilt: believed, it would prove the replica fresh for good.
#[test]
fn a_position_ahead_of_the_clock_proves_nothing() {
    let mut world = World::known(settings(), 2);
    world.probed(1, report(world.now - 5_000 * MS, Role::Replica));
    world.probed(1, report(world.now + 60_000 * MS, Role::Replica));
    let (id, sent) = world.ask(0, None);
    let host = HostId(sends(&sent)[0]);
    let (position, role) = (Some(LogPosition(world.now + 60_000 * MS)), Some(Role::Replica));
    let (outcome, latency) = (Outcome::Ok, TimeDelta(MS));
    let reply = AttemptResult {
        id,
        attempt: 0,
        host,
        outcome,
        latency,
        request_closed: true,
        position,
        role,
        report: None,
    };
    world.event(Event::AttemptEnded(reply));
    world.now += 5_000 * MS;
    let (_, sent) = world.ask(1, Some(MS));
    assert!(!sends(&sent).contains(&1), "{sent:?}");
}

fn until(actions: &[Action]) -> Vec<Option<Timestamp>> {
    let until = |a: &Action| match a {
        Action::Forward { write_by, .. } => Some(*write_by),
        _ => None,
    };
    actions.iter().filter_map(until).collect()
}

#[test]
fn a_bounded_read_is_to_be_written_while_what_proves_its_host_stands() {
    let mut world = World::known(settings(), 2);
    let (_, sent) = world.ask(2, None);
    assert_eq!(
        (sends(&sent), until(&sent)),
        (vec![1], vec![Some(Timestamp(world.now - 10 * MS + 800 * MS))])
    );
    // The primary stands at the present, and a host that checks turns away what it may not answer.
    let mut world = World::known(settings(), 1);
    assert_eq!(until(&world.ask(2, None).1), [None]);
    let mut world = World::known(Settings { lag_policy: LagPolicy::Reject, ..settings() }, 2);
    assert_eq!(until(&world.ask(2, None).1), [None]);
}

#[test]
fn a_read_whose_answer_was_too_old_goes_elsewhere_only_if_it_may_run_twice() {
    for (repeat, again) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let mut all = settings();
        all.classes[2].idempotency = repeat;
        let mut world = World::known(all, 2);
        let (id, sent) = world.ask(2, None);
        assert_eq!(sends(&sent), [1]);
        world.now += 700 * MS;
        let mut done = world.reply(id, 1, Outcome::Stale, Some(Role::Replica));
        done.extend(world.wait(50));
        assert_eq!(!sends(&done).is_empty(), again, "{done:?}");
        assert_eq!(matches!(finals(&done)[..], [Action::Fail { .. }]), !again, "{done:?}");
    }
}

#[test]
fn what_an_answer_must_be_from_counts_from_the_last_byte_written() {
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
    for anything in [(Freshness::Any, i64::MIN), (Freshness::Session, i64::MIN), (Freshness::Write, i64::MIN)]
    {
        assert!(
            ReadRequirement::for_class(anything.0, LogPosition(anything.1)).is_met_by(None, written),
            "{anything:?}"
        );
    }
}

/// A router before hosts that answer from what they have, with session 7 and its write out at the primary.
fn writes_of_a_session(when_behind: LagPolicy) -> (World, RequestId) {
    let mut all = Settings {
        write_positions_tracked: true,
        lag_policy: when_behind,
        load_reports: LoadReports::Off,
        health_checks_allowed: false,
        ..settings()
    };
    all.classes[3].deadline = TimeDelta(1_000 * MS);
    let mut world = World::known(all, 3);
    let id = RequestId(900);
    let write = Request { session: Some(SessionId(7)), ..Request::new(id, 3, 0, 1_000 * MS) };
    assert_eq!(sends(&world.event(Event::RequestArrived(write))), [0]);
    (world, id)
}

fn read_of_a_session(world: &mut World, id: u64) -> Vec<u32> {
    let read = Request { session: Some(SessionId(7)), ..Request::new(RequestId(id), 1, 0, 1_000 * MS) };
    sends(&world.event(Event::RequestArrived(read)))
}

/// Its host may have answered, and the answer be lost with the connection: nothing says that it was not committed.
#[test]
fn a_session_whose_write_is_out_or_ended_without_a_word_reads_at_the_primary() {
    for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let (mut world, write) = writes_of_a_session(LagPolicy::ServeStale);
        world.now += 100 * MS;
        assert_eq!(read_of_a_session(&mut world, 901), [0], "while it is out");
        world.attempt(write, 0, 0, outcome, 100 * MS);
        world.now += 500 * MS;
        assert_eq!(read_of_a_session(&mut world, 902), [0], "{outcome:?}");
        world.now += 1_000 * MS;
        assert_ne!(read_of_a_session(&mut world, 903), [0], "no longer than a write may take");
    }
}

#[test]
fn a_session_whose_write_never_ran_reads_anywhere() {
    for outcome in [Outcome::ConnectFailed, Outcome::Overloaded, Outcome::NotSent] {
        let (mut world, write) = writes_of_a_session(LagPolicy::ServeStale);
        // Or it would be sent once more.
        world.event(Event::ClientDisconnected(write));
        world.attempt(write, 0, 0, outcome, 100 * MS);
        assert_ne!(read_of_a_session(&mut world, 901), [0], "{outcome:?}");
    }
}

/// The client has gone, or its time is over, when the host's answer comes: the session's next read must see it.
#[test]
fn a_commit_counts_for_its_session_though_its_request_is_over() {
    let (mut world, write) = writes_of_a_session(LagPolicy::ServeStale);
    world.event(Event::ClientDisconnected(write));
    world.now += 100 * MS;
    world.attempt(write, 0, 0, Outcome::Ok, 100 * MS);
    world.now += MS;
    assert_eq!(read_of_a_session(&mut world, 901), [0]);
}

#[test]
fn hosts_that_check_are_asked_as_ever_while_a_write_is_out() {
    let (mut world, _) = writes_of_a_session(LagPolicy::Reject);
    assert_ne!(read_of_a_session(&mut world, 901), [0]);
}
