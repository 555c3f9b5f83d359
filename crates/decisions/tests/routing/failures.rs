//! One test for each failure found on the way; each fails without its guard.

use crate::world::*;
use wheelpier_decisions::*;

/// A host that turns requests away at once looks idle; without its rest it would draw the next ones too.
#[test]
fn a_host_that_fails_at_once_rests() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::Reset] {
        let mut world = World::known(settings(), 3);
        let (id, sent) = world.ask(0, None);
        let bad = sends(&sent)[0];
        let again = sends(&world.reply(id, bad, outcome, None));
        assert!(!again.contains(&bad), "{outcome:?}");
        for _ in 0..4 {
            assert!(!sends(&world.ask(0, None).1).contains(&bad), "{outcome:?}");
        }
    }
}

/// A group is never shut out whole: reads still go when every member has failed.
#[test]
fn a_group_of_resting_hosts_is_still_used() {
    let mut world = World::known(settings(), 2);
    for _ in 0..2 {
        let (id, sent) = world.ask(0, None);
        for host in sends(&sent) {
            world.reply(id, host, Outcome::ConnectFailed, None);
        }
    }
    assert!(!sends(&world.ask(0, None).1).is_empty());
}

/// Long reads on every replica stop the log everywhere: once seen, half of the replicas stay free of them.
#[test]
fn reads_seen_to_freeze_replicas_leave_half_of_them_free() {
    let mut settings = settings();
    settings.classes[0].latency_objective = TimeDelta(5_000 * MS);
    settings.router_count = 2;
    let mut world = World::known(settings, 5);
    for _ in 0..40 {
        let (id, sent) = world.ask(0, None);
        let host = sends(&sent)[0];
        let stood = world.now - 10 * MS;
        world.now += 1_500 * MS;
        world.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            host: HostId(host),
            outcome: Outcome::Ok,
            latency: TimeDelta(1_500 * MS),
            request_closed: true,
            position: Some(LogPosition(stood)),
            role: Some(Role::Replica),
            report: None,
        }));
    }
    for n in 0..5 {
        let role = if n == 0 { Role::Primary } else { Role::Replica };
        world.probed(n, report(world.now - i64::from(n) * 20 * MS, role));
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..12 {
        used.extend(sends(&world.ask(0, None).1));
    }
    assert!(used.len() <= 2 && !used.contains(&0), "{used:?}");
}

/// A silent primary gets no unsent write; the members are asked for another.
#[test]
fn writes_are_held_while_the_primary_is_silent() {
    let mut world = World::known(settings(), 3);
    world.ask(3, None);
    let asked = probes(&world.wait(1_500));
    let (_, sent) = world.ask(3, None);
    let later = world.wait(50);
    assert!(sends(&sent).is_empty() && sends(&later).is_empty());
    assert!(!asked.is_empty() || !probes(&sent).is_empty() || !probes(&later).is_empty());
}

/// When the attempts at most hosts are overdue the cause is shared: nobody rests.
#[test]
fn a_shared_slowdown_makes_nobody_sick() {
    let mut world = World::known(Settings { hedging_allowed: false, ..settings() }, 5);
    world.ask(3, None);
    for _ in 0..4 {
        world.ask(0, None);
    }
    world.wait(700);
    world.probed(0, report(world.now, Role::Primary));
    assert_eq!(sends(&world.ask(3, None).1), [0], "the primary does not rest");
}

/// Late answers shrink what a host is trusted with, so that work is not done in vain.
#[test]
fn late_answers_cut_the_limit_of_their_host() {
    let out = |latency: i64| {
        let mut world = World::known(settings(), 2);
        for _ in 0..20 {
            let (id, sent) = world.ask(0, None);
            let host = HostId(sends(&sent)[0]);
            world.now += latency;
            let position = Some(LogPosition(world.now));
            let (outcome, latency, role) = (Outcome::Ok, TimeDelta(latency), Some(Role::Replica));
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
        }
        let first: Vec<u32> = (0..40).flat_map(|_| sends(&world.ask(0, None).1)).collect();
        first.iter().filter(|h| **h == 1).count()
    };
    assert!(out(400 * MS) < out(50 * MS));
}

/// An answer that has begun is the client's: no copy of it goes out.
#[test]
fn a_begun_answer_gets_no_copy() {
    let copies = |begun: bool| {
        let mut world = World::known(settings(), 3);
        let (id, _) = world.ask(0, None);
        if begun {
            world.event(Event::ResponseStarted { id, attempt: 0 });
        }
        sends(&world.wait(600)).len()
    };
    assert_eq!((copies(false), copies(true)), (1, 0));
}

/// Many routers looking for a primary together must not become a storm of probes.
#[test]
fn many_routers_ask_less_often_each() {
    let asked = |routers: u32| {
        let mut world = World::new(Settings { router_count: routers, ..settings() }, 3);
        let mut count = 0;
        world.ask(3, None);
        for _ in 0..50 {
            for n in 0..3 {
                count += probes(&world.probed(n, None)).len();
            }
            count += probes(&world.wait(10)).len();
        }
        count
    };
    assert!(asked(24) * 2 < asked(1), "{} {}", asked(24), asked(1));
}

#[test]
fn settings_that_no_router_could_work_with_are_refused_by_name() {
    let key = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Router::new(settings, 1).expect_err("refused").key
    };
    assert_eq!(key(|s| s.router_count = 0), "routers");
    assert_eq!(key(|s| s.classes.clear()), "classes");
    assert_eq!(key(|s| s.classes[1].latency_objective = TimeDelta(0)), "classes[1].aim");
    assert_eq!(key(|s| s.slow_start_budget_window = TimeDelta(-1)), "fall");
    assert_eq!(key(|s| s.max_attempts = 0), "max_attempts");
}

/// A read that no member can take is not held to the end of its time: from half of it on its client could have
/// asked again, and a late refusal costs the operators (fleet day, a failover that stops every position).
#[test]
fn a_read_unsent_by_half_its_time_is_refused_with_advice() {
    let mut world = World::known(settings(), 2);
    world.now += 5_000 * MS;
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Removed)],
    ));
    let (id, sent) = world.ask(2, None);
    assert!(sends(&sent).is_empty() && finals(&sent).is_empty(), "held at first");
    assert!(finals(&world.wait(900)).is_empty());
    let ends = world.wait(100);
    assert!(
        matches!(finals(&ends)[..], [Action::Reject { id: of, retry_after: Some(_) }] if *of == id),
        "{ends:?}"
    );
}

/// What comes with no time left must not be held for the next look (fleet day, a retry with 3 ms to go).
#[test]
fn a_request_without_time_left_is_answered_at_once() {
    let mut world = World::known(settings(), 1);
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Draining)],
    ));
    let request = Request::new(RequestId(9), 3, 0, 3 * MS);
    assert_eq!(finals(&world.event(Event::RequestArrived(request))).len(), 1);
}

/// A host that fails at once is always the least busy: without memory of its errors it would draw everything.
#[test]
fn a_host_that_errs_at_once_is_tried_last() {
    let mut world = World::known(settings(), 4);
    let mut first = Vec::new();
    for _ in 0..60 {
        let (id, mut sent) = world.ask(0, None);
        first.push(sends(&sent)[0]);
        for attempt in 0.. {
            let Some(&host) = sends(&sent).first() else { break };
            world.now += 20 * MS;
            let outcome = if host == 1 { Outcome::Error } else { Outcome::Ok };
            sent = world.attempt(id, attempt, host, outcome, 20 * MS);
        }
    }
    let late = first[20..].iter().filter(|host| **host == 1).count();
    assert!(late <= 6, "{late} of 40 went to the host that errs");
}

/// While a primary hands over it turns writes away, and its reports still call it the primary: to ask it again
/// and again uses up all attempts before another one takes over.
#[test]
fn a_write_is_not_sent_again_at_once_where_it_was_declined() {
    let mut world = World::known(settings(), 3);
    let (id, sent) = world.ask(5, None);
    assert_eq!(sends(&sent), [0]);
    world.now += 5 * MS;
    let mut sent = sends(&world.reply(id, 0, Outcome::Misdirected, Some(Role::Replica)));
    for _ in 0..5 {
        world.now += 10 * MS;
        sent.extend(sends(&world.probed(0, report(world.now, Role::Primary))));
    }
    assert_eq!(sent, [0; 0]);
    sent = sends(&world.wait(200));
    sent.extend(sends(&world.probed(0, report(world.now, Role::Primary))));
    assert_eq!(sent, [0], "but it may have stayed the primary");
}

/// Tries that clients give hardly any time end as time-outs by themselves: they must not use up what is saved
/// for those that can be tried again.
#[test]
fn what_is_over_uses_no_budget_for_further_attempts() {
    let mut world = World::known(settings(), 3);
    for n in 0..30 {
        let id = RequestId(1_000 + n);
        let sent = world.event(Event::RequestArrived(Request::new(id, 0, 0, 60 * MS)));
        world.now += 60 * MS;
        world.attempt(id, 0, sends(&sent)[0], Outcome::Timeout, 60 * MS);
    }
    let (id, sent) = world.ask(0, None);
    let again = world.attempt(id, 0, sends(&sent)[0], Outcome::Reset, MS);
    assert_eq!(sends(&again).len(), 1);
    assert!(finals(&again).is_empty());
}

/// A write that no host has had costs its client nothing by half of its time, and much if it hears so late; one
/// that was turned away may be taken by the next primary.
#[test]
fn a_write_that_no_host_has_had_is_refused_by_half_of_its_time() {
    let mut world = World::new(settings(), 2);
    let (_, sent) = world.ask(5, None);
    assert_eq!(sends(&sent), [0; 0], "nobody is known to be the primary");
    let answers = world.wait(1_000);
    assert!(matches!(finals(&answers)[..], [Action::Reject { retry_after: Some(_), .. }]));

    let mut world = World::known(settings(), 2);
    let (id, _) = world.ask(5, None);
    world.reply(id, 0, Outcome::Misdirected, Some(Role::Replica));
    assert!(finals(&world.wait(1_500)).is_empty());
}

/// Where hosts are replaced all day under new names, those long gone leave nothing behind.
#[test]
fn hosts_that_are_long_gone_are_forgotten() {
    let mut world = World::known(settings(), 2);
    let size = |world: &mut World, from: u32| {
        for n in from..from + 100 {
            let list = (n..n + 2).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
            world.now += 1_000 * MS;
            world.event(Event::EndpointList(EndpointUpdate::Snapshot, list));
        }
        format!("{:?}", world.router).len()
    };
    let first = size(&mut world, 2);
    assert!(size(&mut world, 102) < first + first / 4);
}

/// More sessions write than are remembered: who is forgotten must not read at a replica that lacks its write, and
/// the sets that nothing was forgotten of are not bound by it.
#[test]
fn a_session_that_is_forgotten_still_sees_its_write() {
    let mut world = World::known(Settings { write_positions_tracked: true, ..settings() }, 3);
    // Both have been up for long: no cold start stands in the way.
    let warm = |n| EndpointEntry {
        started_at: Some(Timestamp(1)),
        ..EndpointEntry::new(HostId(n), 1, HostState::Running)
    };
    let other = [10, 11].map(warm);
    world.event(Event::EndpointList(EndpointUpdate::Delta, other.to_vec()));
    world.probed(10, report(world.now, Role::Primary));
    world.probed(11, report(world.now - 10 * MS, Role::Replica));
    let of = |key: u64, id: u64, class, group| Request {
        session: Some(SessionId(key)),
        ..Request::new(RequestId(1_000_000 + id), class, group, 2_000 * MS)
    };
    for key in 0..30_000 {
        let written = of(key, key, 3, 0);
        let id = written.id;
        assert_eq!(sends(&world.event(Event::RequestArrived(written))), [0]);
        let (host, position, role) = (HostId(0), Some(LogPosition(world.now)), Some(Role::Primary));
        let (outcome, latency) = (Outcome::Ok, TimeDelta(50 * MS));
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
    }
    world.now += MS;
    let first = world.event(Event::RequestArrived(of(0, 40_000, 1, 0)));
    assert!(sends(&first).iter().all(|host| *host == 0), "{first:?}");
    let elsewhere = world.event(Event::RequestArrived(of(0, 40_001, 1, 1)));
    assert_eq!(sends(&elsewhere), [11]);
}

/// What operators read as `ejected`: hosts that the list names and that get nothing, or only where there is no other.
#[test]
fn hosts_that_rest_or_drain_are_avoided_until_they_answer_or_run_again() {
    let mut world = World::known(settings(), 4);
    assert_eq!(world.router.ejected_hosts(), 0);
    let (id, sent) = world.ask(0, None);
    let host = sends(&sent)[0];
    world.attempt(id, 0, host, Outcome::ConnectFailed, 5 * MS);
    assert_eq!(world.router.ejected_hosts(), 1, "one rests");
    let drained = (host + 1) % 4;
    let list = |state| {
        Event::EndpointList(EndpointUpdate::Delta, vec![EndpointEntry::new(HostId(drained), 0, state)])
    };
    world.event(list(HostState::Draining));
    assert_eq!(world.router.ejected_hosts(), 2, "one rests, one drains");
    world.event(list(HostState::Removed));
    assert_eq!(world.router.ejected_hosts(), 1, "what the list names no more is not counted");
    world.event(list(HostState::Running));
    world.now += 4_000 * MS;
    world.event(Event::Timer(0));
    assert_eq!(world.router.ejected_hosts(), 0, "its rest is over");
}
