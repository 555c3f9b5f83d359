//! One test for each fault that was found in operation or simulation. Each test fails without the rule that
//! covers its fault.

use crate::world::*;
use wheelpier_decisions::*;

/// A host that rejects requests immediately looks idle; unless it is ejected it also gets the following ones.
#[test]
fn a_host_that_fails_immediately_is_ejected() {
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

/// Reads are still forwarded when every member of a group is ejected.
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

/// Long reads on every replica would stop replication everywhere, so at least half of the replicas stay free
/// of them.
#[test]
fn reads_that_block_replication_leave_half_of_the_replicas_free() {
    let mut settings = settings();
    settings.classes[0].latency_objective = TimeDelta(5_000 * MS);
    settings.router_count = 2;
    let mut world = World::with_positions(settings, 5);
    for _ in 0..40 {
        let (id, sent) = world.request(0, None);
        let host = forwarded_to(&sent)[0];
        let applied_position = world.now - 10 * MS;
        world.now += 1_500 * MS;
        world.serve_first_attempt(id, host, 1_500 * MS, load_report(applied_position, Role::Replica));
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

/// An unresponsive primary gets no further writes; health checks look for another primary.
#[test]
fn writes_wait_while_the_primary_is_unresponsive() {
    let mut world = World::with_positions(settings(), 3);
    world.request(3, None);
    let checks = health_checks(&world.advance_ms(1_500));
    let (_, sent) = world.request(3, None);
    let later = world.advance_ms(50);
    assert!(forwarded_to(&sent).is_empty() && forwarded_to(&later).is_empty());
    assert!(!checks.is_empty() || !health_checks(&sent).is_empty() || !health_checks(&later).is_empty());
}

/// If the attempts at most hosts are overdue, the cause is common to all and no host is ejected.
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

/// Slow responses lower the concurrency limit, so that hosts do not work on requests that miss their
/// objective.
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

/// A response that has started goes to the client, so a hedged request would be useless.
#[test]
fn a_request_whose_response_has_started_is_not_hedged() {
    let hedged = |has_started: bool| {
        let mut world = World::with_positions(settings(), 3);
        let (id, _) = world.request(0, None);
        if has_started {
            world.event(Event::ResponseStarted { id, attempt: 0 });
        }
        forwarded_to(&world.advance_ms(600)).len()
    };
    assert_eq!((hedged(false), hedged(true)), (1, 0));
}

/// Many routers that search for a primary at the same time must not cause a storm of health checks.
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
fn invalid_settings_are_rejected_with_their_key() {
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

/// If no host accepts a read in half of the time to its deadline, its client should rather retry later. This
/// happens in a failover during which no position advances.
#[test]
fn a_read_not_forwarded_in_half_its_time_is_rejected_with_retry_after() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 5_000 * MS;
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Removed)],
    ));
    let (id, sent) = world.request(2, None);
    assert!(forwarded_to(&sent).is_empty() && endings(&sent).is_empty(), "the read waits at first");
    assert!(endings(&world.advance_ms(900)).is_empty());
    let ends = world.advance_ms(100);
    assert!(
        matches!(endings(&ends)[..], [Action::Reject { id: of, retry_after: Some(_) }] if *of == id),
        "{ends:?}"
    );
}

/// The next check of waiting requests would be too late for a request with 3 ms left, such as a retry.
#[test]
fn a_request_without_time_left_is_ended_immediately() {
    let mut world = World::with_positions(settings(), 1);
    world.event(Event::EndpointList(
        EndpointUpdate::Delta,
        vec![EndpointEntry::new(HostId(0), 0, HostState::Draining)],
    ));
    let request = Request::new(RequestId(9), 3, 0, 3 * MS);
    assert_eq!(endings(&world.event(Event::RequestArrived(request))).len(), 1);
}

/// A host that fails immediately always has the fewest requests in flight; without its error rate it would
/// attract all requests.
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
    assert!(late <= 6, "{late} of 40 were forwarded to the host with errors");
}

/// During a handover the primary rejects writes while its load reports still call it the primary. Immediate
/// retries there would use up all attempts before another host becomes the primary.
#[test]
fn a_write_is_not_retried_immediately_at_a_host_that_rejected_it() {
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
    assert_eq!(sent, [0], "the host may still be the primary");
}

/// Attempts close to their deadline end in a timeout anyway: they must not use up the retries of other
/// requests.
#[test]
fn requests_past_their_deadline_do_not_use_the_retry_budget() {
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

/// The client of a write that reached no host should rather retry soon. A write that a host rejected may
/// still be accepted by the next primary.
#[test]
fn a_write_that_reached_no_host_is_rejected_at_half_of_its_time() {
    let mut world = World::new(settings(), 2);
    let (_, sent) = world.request(5, None);
    assert_eq!(forwarded_to(&sent), [0; 0], "no primary is known");
    let actions = world.advance_ms(1_000);
    assert!(matches!(endings(&actions)[..], [Action::Reject { retry_after: Some(_), .. }]));

    let mut world = World::with_positions(settings(), 2);
    let (id, _) = world.request(5, None);
    world.end_next_attempt(id, 0, Outcome::Misdirected, Some(Role::Replica));
    assert!(endings(&world.advance_ms(1_500)).is_empty());
}

/// If hosts are replaced all day under new names, removed ones must not accumulate.
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

/// More sessions write than are tracked. A session that is no longer tracked must not read at a replica that
/// lacks its write; groups without evicted sessions are not affected.
#[test]
fn a_session_that_is_no_longer_tracked_still_sees_its_write() {
    let mut world = World::with_positions(Settings { write_positions_tracked: true, ..settings() }, 3);
    // Both hosts have been up for long, so that slow start does not apply.
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

/// Covers the count that operators see as `ejected`.
#[test]
fn ejected_and_draining_hosts_count_until_they_recover_or_run_again() {
    let mut world = World::with_positions(settings(), 4);
    assert_eq!(world.router.ejected_hosts(), 0);
    let (id, sent) = world.request(0, None);
    let host = forwarded_to(&sent)[0];
    world.end_attempt(id, 0, host, Outcome::ConnectFailed, 5 * MS);
    assert_eq!(world.router.ejected_hosts(), 1, "one host is ejected");
    let drained = (host + 1) % 4;
    let list = |state| {
        Event::EndpointList(EndpointUpdate::Delta, vec![EndpointEntry::new(HostId(drained), 0, state)])
    };
    world.event(list(HostState::Draining));
    assert_eq!(world.router.ejected_hosts(), 2, "one host is ejected, one is draining");
    world.event(list(HostState::Removed));
    assert_eq!(world.router.ejected_hosts(), 1, "a removed host does not count");
    world.event(list(HostState::Running));
    world.now += 4_000 * MS;
    world.event(Event::Timer(0));
    assert_eq!(world.router.ejected_hosts(), 0, "the ejection has ended");
}
