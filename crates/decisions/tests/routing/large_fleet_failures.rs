//! One test for each fault that was found with hundreds of routers, each of which sends few requests.

use crate::world::*;
use wheelpier_decisions::*;

/// Ends the first attempt of a request that was just forwarded.
fn end_first_attempt(
    world: &mut World,
    id: RequestId,
    sent: &[Action],
    outcome: Outcome,
    latency: i64,
) -> Vec<Action> {
    world.end_attempt(id, 0, forwarded_to(sent)[0], outcome, latency)
}

/// Returns how many of 400 routers, with one read each, forward it to host 1 of four after an endpoint update
/// with the entries of `change`.
fn forwarded_to_host_1_by_a_fleet(change: impl Fn(i64) -> Vec<EndpointEntry>) -> usize {
    let mut sum = 0;
    for seed in 0..400 {
        let settings = Settings { router_count: 400, ..settings() };
        let mut world = World::with_positions(settings.clone(), 4);
        world.router = Router::new(settings, seed).unwrap();
        let list = (0..4).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
        world.event(Event::EndpointList(EndpointUpdate::Cached, list));
        world.health_checked(0, load_report(world.now, Role::Primary));
        world.event(Event::EndpointList(EndpointUpdate::Delta, change(world.now)));
        let (_, sent) = world.request(0, None);
        sum += forwarded_to(&sent).iter().filter(|host| **host == 1).count();
    }
    sum
}

fn restarted(now: i64) -> EndpointEntry {
    EndpointEntry { started_at: Some(Timestamp(now)), ..EndpointEntry::new(HostId(1), 0, HostState::Running) }
}

/// Four hundred routers must not each forward their first request to a host that is warming up: together they
/// would overload it.
#[test]
fn a_host_that_is_warming_up_gets_a_fraction_summed_over_all_routers() {
    let removed = |n| EndpointEntry::new(HostId(n), 0, HostState::Removed);
    let forwarded = forwarded_to_host_1_by_a_fleet(|now| vec![restarted(now), removed(2), removed(3)]);
    assert!(forwarded > 0 && forwarded * 10 < 400, "{forwarded} of 400");
}

/// The last member left must not get the reads of the whole group while it is warming up.
#[test]
fn a_host_that_is_warming_up_alone_in_its_group_does_not_get_all_requests() {
    let forwarded = forwarded_to_host_1_by_a_fleet(|now| {
        let removed = |n| EndpointEntry::new(HostId(n), 0, HostState::Removed);
        vec![restarted(now), removed(2), removed(3), removed(0)]
    });
    assert!(forwarded > 0 && forwarded * 10 < 400, "{forwarded} of 400");
}

/// The requests of an idle router must not all go to the same replica.
#[test]
fn equal_hosts_share_the_requests_of_an_idle_router() {
    let mut world = World::with_positions(Settings { router_count: 400, ..settings() }, 4);
    let mut count = [0; 4];
    for _ in 0..60 {
        world.now += 500 * MS;
        let (id, sent) = world.request(0, None);
        count[forwarded_to(&sent)[0] as usize] += 1;
        end_first_attempt(&mut world, id, &sent, Outcome::Ok, 50 * MS);
    }
    assert!(count[1..].iter().all(|n| *n >= 8), "{count:?}");
}

/// Concurrency limits have no effect if each router has less than one request in flight.
#[test]
fn slow_responses_shed_part_of_the_load() {
    let admitted = |latency: i64| {
        let mut world = World::with_positions(Settings { router_count: 400, ..settings() }, 4);
        let mut count = 0;
        for _ in 0..40 {
            world.now += 500 * MS;
            let (id, sent) = world.request(2, None);
            if !forwarded_to(&sent).is_empty() {
                count += 1;
                end_first_attempt(&mut world, id, &sent, Outcome::Ok, latency);
            }
            for n in 1..4 {
                world.health_checked(n, load_report(world.now - 5 * MS, Role::Replica));
            }
        }
        count
    };
    let (fast, slow) = (admitted(60 * MS), admitted(1_500 * MS));
    assert!(fast == 40 && slow < 20 && slow > 0, "{fast} {slow}");
}

/// A request that fails at two hosts is presumed to be at fault itself, and does not use up all attempts.
#[test]
fn a_request_that_fails_everywhere_ends_after_two_attempts() {
    let mut world = World::with_positions(settings(), 6);
    let (id, mut sent) = world.request(0, None);
    let mut attempts = 0;
    while let Some(host) = forwarded_to(&sent).first().copied() {
        attempts += 1;
        sent = world.end_next_attempt(id, host, Outcome::Error, Some(Role::Replica));
    }
    assert_eq!((attempts, endings(&sent).len()), (2, 1));
}

fn closes_idle_connections(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. }))
}

/// Sends `times` requests to hosts that each refuse `refusals_per_response` connections before they respond
/// once. Returns whether idle connections were closed.
fn refuse_connections(world: &mut World, times: usize, refusals_per_response: u32) -> bool {
    let (mut any_closed, mut refusals) = (false, std::collections::HashMap::new());
    for _ in 0..times {
        world.now += 500 * MS;
        let (id, mut sent) = world.request(0, None);
        for attempt in 0.. {
            let Some(host) = forwarded_to(&sent).first().copied() else { break };
            let refusals = refusals.entry(host).or_insert(0);
            let responds = *refusals == refusals_per_response;
            *refusals = if responds { 0 } else { *refusals + 1 };
            let outcome = if responds { Outcome::Ok } else { Outcome::ConnectFailed };
            sent = world.end_attempt(id, attempt, host, outcome, 5 * MS);
            any_closed |= closes_idle_connections(&sent);
        }
    }
    any_closed
}

fn serve(world: &mut World) -> Vec<Action> {
    let (id, sent) = world.request(0, None);
    end_first_attempt(world, id, &sent, Outcome::Ok, 50 * MS)
}

/// A host that serves requests but refuses connections repeatedly has too many idle ones.
#[test]
fn idle_connections_are_closed_where_a_serving_host_refuses_connections() {
    let mut world = World::with_positions(settings(), 3);
    for _ in 0..20 {
        assert!(!closes_idle_connections(&serve(&mut world)));
    }
    assert!(refuse_connections(&mut world, 10, 3));
    assert!(closes_idle_connections(&serve(&mut world)), "each connection is closed after its response");
    world.now += 10_000 * MS;
    assert!(!closes_idle_connections(&serve(&mut world)), "the pressure ends");
}

/// On a network that breaks single connections a host refuses some and responds in between: new connections
/// would break as easily.
#[test]
fn idle_connections_are_kept_where_responses_come_between_refusals() {
    let mut world = World::with_positions(settings(), 3);
    for _ in 0..20 {
        serve(&mut world);
    }
    assert!(!refuse_connections(&mut world, 200, 2));
}

/// A primary that hangs still responds to health checks, but its position does not advance: it gets no write
/// that must not be repeated.
#[test]
fn a_health_check_without_progress_releases_no_write() {
    let forwarded_writes = |advance: i64| {
        let mut world = World::with_positions(settings(), 2);
        let last = world.now;
        world.now += 3_000 * MS;
        world.request(3, None);
        forwarded_to(&world.health_checked(0, load_report(last + advance, Role::Primary))).len()
    };
    assert_eq!((forwarded_writes(0), forwarded_writes(2_000 * MS)), (0, 1));
}

/// Old load reports must not delay writes for good: an advancing position is sufficient, however old it is.
#[test]
fn an_old_load_report_with_progress_releases_the_write() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 8_000 * MS;
    world.request(3, None);
    let late = load_report(world.now - 4_000 * MS, Role::Primary);
    assert_eq!(forwarded_to(&world.health_checked(0, late)), [0]);
}

/// With many routers the known primary is checked immediately: the longer interval applies only to the search
/// for a primary.
#[test]
fn a_write_checks_the_known_primary_without_the_interval_of_many_routers() {
    let lag_policy = LagPolicy::WaitThenReject(TimeDelta(100 * MS));
    let mut world = World::with_positions(Settings { router_count: 400, lag_policy, ..settings() }, 2);
    for _ in 0..3 {
        world.now += 1_200 * MS;
        assert_eq!(health_checks(&world.request(3, None).1), [0]);
        world.health_checked(0, load_report(world.now - 100 * MS, Role::Primary));
    }
}

/// If hosts check reads, a new router tries an unknown replica instead of the primary.
#[test]
fn an_unknown_replica_is_tried_where_it_checks_reads() {
    let lag_policy = LagPolicy::WaitThenReject(TimeDelta(100 * MS));
    let mut world = World::new(Settings { lag_policy, ..settings() }, 3);
    world.health_checked(0, load_report(world.now, Role::Primary));
    assert!(matches!(forwarded_to(&world.request(2, None).1)[..], [1 | 2]));
}

/// The timers of many routers must not cause load: requests in flight are checked a few times within a
/// latency objective.
#[test]
fn requests_in_flight_cost_few_timers() {
    let mut world = World::with_positions(settings(), 2);
    world.request(0, None);
    let timers =
        world.advance_ms(500).iter().filter(|action| matches!(action, Action::SetTimer { .. })).count();
    assert!(timers <= 10, "{timers}");
}

/// Bounded reads that no replica can serve must not overload a slow primary.
#[test]
fn a_slow_primary_gets_no_reads_that_can_wait() {
    let forwarded = |latency: i64| {
        let mut world = World::with_positions(
            Settings { hedging_allowed: false, health_checks_allowed: false, ..settings() },
            1,
        );
        world.router.handle(Timestamp(world.now), Event::Timer(0), &mut Vec::new());
        let (id, sent) = world.request(5, None);
        end_first_attempt(&mut world, id, &sent, Outcome::Ok, latency);
        (0..20).map(|_| forwarded_to(&world.request(2, None).1).len()).sum::<usize>()
    };
    let (fast, slow) = (forwarded(50 * MS), forwarded(1_000 * MS));
    assert!(fast > 5 && slow == 0, "{fast} {slow}");
}

/// Work that takes a third of its latency objective takes as long at an idle primary, so that is no reason to
/// keep reads from the primary if no replica is recent enough, as when the replicas are cut off from
/// the primary.
#[test]
fn an_idle_primary_gets_reads_however_long_they_take() {
    let mut world = World::with_positions(
        Settings { hedging_allowed: false, health_checks_allowed: false, ..settings() },
        1,
    );
    let mut one = |latency: i64| {
        let (id, sent) = world.request(2, None);
        let forwarded_immediately = forwarded_to(&sent).len();
        let sent = if forwarded_immediately == 0 { world.advance_ms(120) } else { sent };
        match forwarded_to(&sent).is_empty() {
            true => _ = world.advance_ms(2_000),
            false => _ = end_first_attempt(&mut world, id, &sent, Outcome::Ok, latency),
        }
        forwarded_immediately
    };
    (0..60).for_each(|_| _ = one(150 * MS));
    let forwarded_immediately: usize = (0..40).map(|_| one(150 * MS)).sum();
    assert!(forwarded_immediately >= 38, "{forwarded_immediately} of 40 were forwarded immediately");
}

/// Quotas are compared by the requests of each tenant at this router, even if it gets a small part of all
/// requests.
#[test]
fn a_tenant_over_its_quota_waits_behind_one_within() {
    let quotas = vec![50.0, 50.0];
    let mut world = World::with_positions(
        Settings { router_count: 8, tenant_quotas: quotas, over_quota_weight: 0.1, ..settings() },
        1,
    );
    let mut request = |n: u64, tenant: usize| {
        let request = Request { tenant, ..Request::new(RequestId(n), 0, 0, 2_000 * MS) };
        world.event(Event::RequestArrived(request))
    };
    let mut first = Vec::new();
    for n in 0..200 {
        first.extend(request(n, 0));
    }
    assert!((1..10).contains(&forwarded_to(&first).len()), "the other requests wait");
    request(200, 1);
    let next = world.end_attempt(RequestId(0), 0, 0, Outcome::Ok, 50 * MS);
    assert!(matches!(next[..], [Action::Forward { id: RequestId(200), .. }, ..]), "{next:?}");
}
