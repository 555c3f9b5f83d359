//! One test for each fault that was found in operation or simulation; each fails without the rule that covers it.

use crate::world::*;
use wheelpier_decisions::*;

/// A host that rejects requests at once looks idle; unless it is ejected it draws the next ones too.
#[test]
fn a_host_that_fails_at_once_is_ejected() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::Reset] {
        let mut world = World::with_positions(settings(), 3);
        let (id, sent) = world.request(0, None);
        let bad = forwarded_to(&sent)[0];
        let again = forwarded_to(&world.end_next_attempt(id, bad, outcome, None));
        assert!(!again.contains(&bad), "{outcome:?}");
        for _ in 0..4 {
            assert!(!forwarded_to(&world.request(0, None).1).contains(&bad), "{outcome:?}");
        }
    }
}

/// Reads are still forwarded when every member of a group has failed.
#[test]
fn a_group_of_ejected_hosts_is_still_used() {
    let mut world = World::with_positions(settings(), 2);
    for _ in 0..2 {
        let (id, sent) = world.request(0, None);
        for host in forwarded_to(&sent) {
            world.end_next_attempt(id, host, Outcome::ConnectFailed, None);
        }
    }
    assert!(!forwarded_to(&world.request(0, None).1).is_empty());
}

/// Long reads on every replica would stop replication everywhere: half of the replicas stay free of them.
#[test]
fn reads_that_block_replication_leave_half_of_the_replicas_free() {
    let mut settings = settings();
    settings.classes[0].latency_objective = TimeDelta(5_000 * MS);
    settings.router_count = 2;
    let mut world = World::with_positions(settings, 5);
    for _ in 0..40 {
        let (id, sent) = world.request(0, None);
        let host = forwarded_to(&sent)[0];
        let stood = world.now - 10 * MS;
        world.now += 1_500 * MS;
        world.serve_first_attempt(id, host, 1_500 * MS, load_report(stood, Role::Replica));
    }
    for n in 0..5 {
        let role = if n == 0 { Role::Primary } else { Role::Replica };
        world.health_checked(n, load_report(world.now - i64::from(n) * 20 * MS, role));
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..12 {
        used.extend(forwarded_to(&world.request(0, None).1));
    }
    assert!(used.len() <= 2 && !used.contains(&0), "{used:?}");
}

/// A silent primary gets no further write; health checks look for another.
#[test]
fn writes_wait_while_the_primary_is_silent() {
    let mut world = World::with_positions(settings(), 3);
    world.request(3, None);
    let checks = health_checks(&world.advance_ms(1_500));
    let (_, sent) = world.request(3, None);
    let later = world.advance_ms(50);
    assert!(forwarded_to(&sent).is_empty() && forwarded_to(&later).is_empty());
    assert!(!checks.is_empty() || !health_checks(&sent).is_empty() || !health_checks(&later).is_empty());
}

/// When the attempts at most hosts are overdue the cause is shared, and no host is ejected.
#[test]
fn a_shared_slowdown_ejects_no_host() {
    let mut world = World::with_positions(Settings { hedging_allowed: false, ..settings() }, 5);
    world.request(3, None);
    for _ in 0..4 {
        world.request(0, None);
    }
    world.advance_ms(700);
    world.health_checked(0, load_report(world.now, Role::Primary));
    assert_eq!(forwarded_to(&world.request(3, None).1), [0], "the primary is not ejected");
}

/// Slow responses lower the concurrency limit, so that no work is done in vain.
#[test]
fn slow_responses_lower_the_concurrency_limit_of_their_host() {
    let forwarded = |latency: i64| {
        let mut world = World::with_positions(settings(), 2);
        for _ in 0..20 {
            let (id, sent) = world.request(0, None);
            let host = forwarded_to(&sent)[0];
            world.now += latency;
            world.serve_first_attempt(id, host, latency, load_report(world.now, Role::Replica));
        }
        let first: Vec<u32> = (0..40).flat_map(|_| forwarded_to(&world.request(0, None).1)).collect();
        first.iter().filter(|h| **h == 1).count()
    };
    assert!(forwarded(400 * MS) < forwarded(50 * MS));
}

/// A response that has begun belongs to the client.
#[test]
fn a_request_whose_response_has_begun_is_not_hedged() {
    let hedged = |begun: bool| {
        let mut world = World::with_positions(settings(), 3);
        let (id, _) = world.request(0, None);
        if begun {
            world.event(Event::ResponseStarted { id, attempt: 0 });
        }
        forwarded_to(&world.advance_ms(600)).len()
    };
    assert_eq!((hedged(false), hedged(true)), (1, 0));
}

/// Many routers that look for a primary together must not cause a storm of health checks.
#[test]
fn each_of_many_routers_checks_hosts_less_often() {
    let checks = |routers: u32| {
        let mut world = World::new(Settings { router_count: routers, ..settings() }, 3);
        let mut count = 0;
        world.request(3, None);
        for _ in 0..50 {
            for n in 0..3 {
                count += health_checks(&world.health_checked(n, None)).len();
            }
            count += health_checks(&world.advance_ms(10)).len();
        }
        count
    };
    assert!(checks(24) * 2 < checks(1), "{} {}", checks(24), checks(1));
}

#[test]
fn settings_that_are_not_sensible_are_rejected_by_name() {
    let key = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Router::new(settings, 1).expect_err("rejected").key
    };
    assert_eq!(key(|s| s.router_count = 0), "routers");
    assert_eq!(key(|s| s.classes.clear()), "classes");
    assert_eq!(key(|s| s.classes[1].latency_objective = TimeDelta(0)), "classes[1].aim");
    assert_eq!(key(|s| s.slow_start_budget_window = TimeDelta(-1)), "fall");
    assert_eq!(key(|s| s.max_attempts = 0), "max_attempts");
}

/// From half of its time on, the client of a read that no host can take had better come again (found on a failover that
/// stopped every position).
#[test]
fn a_read_not_forwarded_in_half_its_time_is_rejected_with_retry_after() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 5_000 * MS;
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Removed)],
    ));
    let (id, sent) = world.request(2, None);
    assert!(forwarded_to(&sent).is_empty() && endings(&sent).is_empty(), "it waits at first");
    assert!(endings(&world.advance_ms(900)).is_empty());
    let ends = world.advance_ms(100);
    assert!(
        matches!(endings(&ends)[..], [Action::Reject { id: of, retry_after: Some(_) }] if *of == id),
        "{ends:?}"
    );
}

/// The next check would be too late for it (found with a retry that had 3 ms left).
#[test]
fn a_request_without_time_left_is_ended_at_once() {
    let mut world = World::with_positions(settings(), 1);
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Draining)],
    ));
    let request = Request::new(RequestId(9), 3, 0, 3 * MS);
    assert_eq!(endings(&world.event(Event::RequestArrived(request))).len(), 1);
}

/// A host that fails at once is always the least busy; without its error rate it would draw everything.
#[test]
fn a_host_with_many_errors_is_the_last_resort() {
    let mut world = World::with_positions(settings(), 4);
    let mut first = Vec::new();
    for _ in 0..60 {
        let (id, mut sent) = world.request(0, None);
        first.push(forwarded_to(&sent)[0]);
        for attempt in 0.. {
            let Some(&host) = forwarded_to(&sent).first() else { break };
            world.now += 20 * MS;
            let outcome = if host == 1 { Outcome::Error } else { Outcome::Ok };
            sent = world.end_attempt(id, attempt, host, outcome, 20 * MS);
        }
    }
    let late = first[20..].iter().filter(|host| **host == 1).count();
    assert!(late <= 6, "{late} of 40 went to the host with errors");
}

/// While a primary hands over it rejects writes, and its load reports still call it the primary: retries there would use
/// up all attempts before another one takes over.
#[test]
fn a_write_is_not_retried_at_once_at_a_host_that_rejected_it() {
    let mut world = World::with_positions(settings(), 3);
    let (id, sent) = world.request(5, None);
    assert_eq!(forwarded_to(&sent), [0]);
    world.now += 5 * MS;
    let mut sent = forwarded_to(&world.end_next_attempt(id, 0, Outcome::Misdirected, Some(Role::Replica)));
    for _ in 0..5 {
        world.now += 10 * MS;
        sent.extend(forwarded_to(&world.health_checked(0, load_report(world.now, Role::Primary))));
    }
    assert_eq!(sent, [0; 0]);
    sent = forwarded_to(&world.advance_ms(200));
    sent.extend(forwarded_to(&world.health_checked(0, load_report(world.now, Role::Primary))));
    assert_eq!(sent, [0], "it may have stayed the primary");
}

/// Attempts with hardly any time left end in a timeout by themselves: they must not use up the retries of others.
#[test]
fn requests_past_their_deadline_use_no_retry_budget() {
    let mut world = World::with_positions(settings(), 3);
    for n in 0..30 {
        let id = RequestId(1_000 + n);
        let sent = world.event(Event::RequestArrived(Request::new(id, 0, 0, 60 * MS)));
        world.now += 60 * MS;
        world.end_attempt(id, 0, forwarded_to(&sent)[0], Outcome::Timeout, 60 * MS);
    }
    let (id, sent) = world.request(0, None);
    let again = world.end_attempt(id, 0, forwarded_to(&sent)[0], Outcome::Reset, MS);
    assert_eq!(forwarded_to(&again).len(), 1);
    assert!(endings(&again).is_empty());
}

/// Its client had better come again, and soon; a write that was rejected may still be taken by the next primary.
#[test]
fn a_write_that_reached_no_host_is_rejected_at_half_of_its_time() {
    let mut world = World::new(settings(), 2);
    let (_, sent) = world.request(5, None);
    assert_eq!(forwarded_to(&sent), [0; 0], "no primary is known");
    let answers = world.advance_ms(1_000);
    assert!(matches!(endings(&answers)[..], [Action::Reject { retry_after: Some(_), .. }]));

    let mut world = World::with_positions(settings(), 2);
    let (id, _) = world.request(5, None);
    world.end_next_attempt(id, 0, Outcome::Misdirected, Some(Role::Replica));
    assert!(endings(&world.advance_ms(1_500)).is_empty());
}

/// Where hosts are replaced all day under new names, removed ones must not add up.
#[test]
fn hosts_removed_long_ago_are_forgotten() {
    let mut world = World::with_positions(settings(), 2);
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

/// More sessions write than are tracked: a forgotten one must not read at a replica that lacks its write, and groups of
/// which nothing was forgotten are not affected.
#[test]
fn a_session_that_is_forgotten_still_sees_its_write() {
    let mut world = World::with_positions(Settings { write_positions_tracked: true, ..settings() }, 3);
    // Both have been up for long, so that slow start does not apply.
    let warm = |n| EndpointEntry {
        started_at: Some(Timestamp(1)),
        ..EndpointEntry::new(HostId(n), 1, HostState::Running)
    };
    let other = [10, 11].map(warm);
    world.event(Event::EndpointList(EndpointUpdate::Delta, other.to_vec()));
    world.health_checked(10, load_report(world.now, Role::Primary));
    world.health_checked(11, load_report(world.now - 10 * MS, Role::Replica));
    let of = |key: u64, id: u64, class, group| Request {
        session: Some(SessionId(key)),
        ..Request::new(RequestId(1_000_000 + id), class, group, 2_000 * MS)
    };
    for key in 0..30_000 {
        let written = of(key, key, 3, 0);
        let id = written.id;
        assert_eq!(forwarded_to(&world.event(Event::RequestArrived(written))), [0]);
        world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now, Role::Primary));
    }
    world.now += MS;
    let first = world.event(Event::RequestArrived(of(0, 40_000, 1, 0)));
    assert!(forwarded_to(&first).iter().all(|host| *host == 0), "{first:?}");
    let elsewhere = world.event(Event::RequestArrived(of(0, 40_001, 1, 1)));
    assert_eq!(forwarded_to(&elsewhere), [11]);
}

/// The hosts that operators read as `ejected`.
#[test]
fn ejected_and_draining_hosts_count_until_they_recover_or_run_again() {
    let mut world = World::with_positions(settings(), 4);
    assert_eq!(world.router.ejected_hosts(), 0);
    let (id, sent) = world.request(0, None);
    let host = forwarded_to(&sent)[0];
    world.end_attempt(id, 0, host, Outcome::ConnectFailed, 5 * MS);
    assert_eq!(world.router.ejected_hosts(), 1, "one is ejected");
    let drained = (host + 1) % 4;
    let list = |state| {
        Event::EndpointList(EndpointUpdate::Delta, vec![EndpointEntry::new(HostId(drained), 0, state)])
    };
    world.event(list(HostState::Draining));
    assert_eq!(world.router.ejected_hosts(), 2, "one is ejected, one drains");
    world.event(list(HostState::Removed));
    assert_eq!(world.router.ejected_hosts(), 1, "a removed host does not count");
    world.event(list(HostState::Running));
    world.now += 4_000 * MS;
    world.event(Event::Timer(0));
    assert_eq!(world.router.ejected_hosts(), 0, "its ejection has ended");
}
