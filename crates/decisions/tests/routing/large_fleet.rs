//! Rules that differ for one of many routers. Each test fails without the rule that it covers.

use crate::world::*;
use wheelpier_decisions::*;

/// Settings for one of `routers` routers, with hosts that check reads themselves and whose responses report
/// their position.
fn one_router_of(routers: u32) -> Settings {
    let mut settings = Settings {
        router_count: routers,
        lag_policy: LagPolicy::WaitThenReject(TimeDelta(20 * MS)),
        ..settings()
    };
    // A write that must not be repeated cannot be forwarded to an unverified host.
    settings.classes[3].idempotency = Idempotency::WithKey(KeyScope::Group);
    settings
}

/// Health checks of every host by every router cost more than the requests, whose responses report the same.
#[test]
fn many_routers_find_the_primary_by_the_write_instead_of_health_checks() {
    let mut world = World::new(one_router_of(100), 4);
    let (id, mut actions) = world.request(5, None);
    let mut tried = Vec::new();
    for _ in 0..4 {
        let to = forwarded_to(&actions);
        assert_eq!((to.len(), health_checks(&actions)), (1, Vec::new()));
        tried.push(to[0]);
        if to[0] == 0 {
            world.end_next_attempt(id, 0, Outcome::Ok, Some(Role::Primary));
            break;
        }
        actions = world.end_next_attempt(id, to[0], Outcome::Misdirected, Some(Role::Replica));
    }
    let found = *tried.last().unwrap();
    assert_eq!(found, 0, "tried {tried:?}");
    // The next write goes directly to the primary.
    assert_eq!(forwarded_to(&world.request(5, None).1), [0]);
}

#[test]
fn a_few_routers_find_the_primary_by_health_checks() {
    let mut world = World::new(one_router_of(3), 4);
    let (_, actions) = world.request(5, None);
    assert_eq!((forwarded_to(&actions), health_checks(&actions)), (vec![], vec![0, 1, 2, 3]));
}

/// A host that has rejected a write gets further ones only occasionally: it may become the primary.
#[test]
fn a_member_that_rejected_a_write_gets_another_unverified_only_later() {
    let mut world = World::new(one_router_of(100), 2);
    let (id, actions) = world.request(5, None);
    let first = forwarded_to(&actions)[0];
    let second =
        forwarded_to(&world.end_next_attempt(id, first, Outcome::Misdirected, Some(Role::Replica)))[0];
    world.end_next_attempt(id, second, Outcome::Misdirected, Some(Role::Replica));
    assert!(forwarded_to(&world.advance_ms(200)).is_empty());
    assert!(!forwarded_to(&world.advance_ms(200)).is_empty());
}

/// A read for which no replica is known to be recent enough is forwarded to an unverified one, but not to one
/// that was behind a short time ago.
#[test]
fn a_read_tries_a_replica_that_was_behind_some_time_ago_without_a_health_check() {
    let mut world = World::new(one_router_of(100), 3);
    for n in 0..3 {
        let role = if n == 0 { Role::Primary } else { Role::Replica };
        world.health_checked(n, load_report(world.now - if n == 0 { 0 } else { 1_000 * MS }, role));
    }
    // The primary is slow, and reserved for writes.
    for _ in 0..6 {
        let (id, _) = world.request(4, None);
        world.end_attempt(id, 0, 0, Outcome::Ok, 900 * MS);
    }
    let (_, actions) = world.request(2, None);
    assert!(forwarded_to(&actions).iter().all(|host| *host == 0) && health_checks(&actions).is_empty());
    world.now += 600 * MS;
    let later: Vec<u32> = (0..4).flat_map(|_| forwarded_to(&world.request(2, None).1)).collect();
    assert!(later.iter().any(|host| *host != 0), "{later:?}");
    assert!(health_checks(&world.advance_ms(200)).is_empty());
}

/// Some responses are always slow: if every router hedged all of these requests, it would cause considerable
/// load.
#[test]
fn one_of_many_routers_does_not_hedge_for_slowness_alone() {
    for (routers, is_hedged) in [(3, true), (100, false)] {
        let mut world = World::with_positions(one_router_of(routers), 4);
        for _ in 0..20 {
            let (id, actions) = world.request(0, None);
            world.end_attempt(id, 0, forwarded_to(&actions)[0], Outcome::Ok, 50 * MS);
        }
        let (_, actions) = world.request(0, None);
        assert_eq!(forwarded_to(&actions).len(), 1);
        // Meanwhile all other requests get a response.
        let mut more = Vec::new();
        for _ in 0..40 {
            more.extend(world.advance_ms(10));
            let (id, actions) = world.request(0, None);
            world.end_attempt(id, 0, forwarded_to(&actions)[0], Outcome::Ok, 50 * MS);
        }
        assert_eq!(!forwarded_to(&more).is_empty(), is_hedged, "{routers} routers");
    }
}

/// One of a hundred routers sends a request to a given host every few seconds, so ten responses would take a
/// minute.
#[test]
fn one_error_makes_a_host_a_last_resort_if_responses_are_rare() {
    for (gap, is_avoided) in [(4_000, true), (20, false)] {
        let mut world = World::with_positions(one_router_of(100), 4);
        let serve = |world: &mut World| {
            let (id, actions) = world.request(0, None);
            let to = forwarded_to(&actions)[0];
            world.end_attempt(id, 0, to, Outcome::Ok, 50 * MS);
            to
        };
        (0..60).for_each(|_| _ = serve(&mut world));
        world.now += gap * MS;
        let (id, actions) = world.request(0, None);
        let bad = forwarded_to(&actions)[0];
        world.end_attempt(id, 0, bad, Outcome::Error, MS);
        world.now += 500 * MS;
        let gets_requests = (0..40).any(|_| serve(&mut world) == bad);
        assert_eq!(!gets_requests, is_avoided, "responses {gap} ms apart");
    }
}

/// One request from each of a hundred routers makes a queue of one second at a host, which a concurrency
/// limit of one does not prevent.
#[test]
fn one_of_many_routers_skips_a_slow_host() {
    for (routers, max_fraction) in [(100, 0.35), (2, 1.0)] {
        let mut world = World::with_positions(one_router_of(routers), 3);
        let mut to_slow_host = 0;
        let mut tries = 0;
        for n in 0..60 {
            world.now += 300 * MS;
            let (id, actions) = world.request(0, None);
            for host in forwarded_to(&actions) {
                world.end_attempt(id, 0, host, Outcome::Ok, if host == 1 { 450 * MS } else { 40 * MS });
                tries += u32::from(n >= 20);
                to_slow_host += u32::from(n >= 20 && host == 1);
            }
        }
        assert!(tries >= 38, "{tries} of 40 forwarded");
        assert!(
            f64::from(to_slow_host) <= max_fraction * f64::from(tries),
            "{to_slow_host} of {tries} at {routers} routers"
        );
    }
}

/// The share of a host that is warming up is drawn once per request; if the host then competed for the
/// request again it would get next to nothing. Removed hosts do not count as members.
#[test]
fn a_host_that_is_warming_up_gets_its_share_by_chance() {
    let mut world = World::with_positions(
        Settings { slow_start_window: TimeDelta(18_000 * MS), ..one_router_of(100) },
        6,
    );
    let mut started = EndpointEntry::new(HostId(9), 0, HostState::Running);
    started.started_at = Some(Timestamp(world.now));
    let removed = (3..6).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Removed));
    world.event(Event::EndpointList(EndpointUpdate::Delta, removed.chain([started]).collect()));
    world.now += 7_000 * MS;
    let mut forwarded = 0;
    for _ in 0..600 {
        world.now += 10 * MS;
        let (id, actions) = world.request(0, None);
        for host in forwarded_to(&actions) {
            forwarded += u32::from(host == 9);
            world.end_attempt(id, 0, host, Outcome::Ok, 50 * MS);
        }
    }
    // 0.75 (safety factor) of twice a slow start fraction of 0.42 to 0.67 of a sixth of the requests.
    assert!((36..90).contains(&forwarded), "{forwarded} of 600");
}

/// If handshakes have a price, a dead host is no reason to close the connections to all others.
#[test]
fn idle_connections_are_kept_where_handshakes_have_a_price() {
    for (price_handshake, kept) in [(0.08, true), (0.0, false)] {
        let mut world = World::with_positions(Settings { price_handshake, ..one_router_of(100) }, 3);
        for _ in 0..10 {
            let (id, actions) = world.request(0, None);
            forwarded_to(&actions)
                .iter()
                .for_each(|host| _ = world.end_attempt(id, 0, *host, Outcome::Ok, 50 * MS));
        }
        let mut actions_after_failures = Vec::new();
        for _ in 0..20 {
            world.now += 5_000 * MS;
            let (id, actions) = world.request(0, None);
            forwarded_to(&actions).iter().for_each(|host| {
                actions_after_failures.extend(world.end_attempt(id, 0, *host, Outcome::ConnectFailed, MS));
            });
        }
        assert_eq!(
            !actions_after_failures
                .iter()
                .any(|action| matches!(action, Action::CloseIdleConnections { .. })),
            kept
        );
    }
}

/// Guards against rejected writes where writes must not be repeated and health checks are impossible: one of
/// many routers gets a response from a primary only every few seconds, so a write that waits for evidence
/// is rejected.
#[test]
fn a_write_that_is_not_idempotent_goes_to_the_known_primary_where_health_checks_are_impossible() {
    for (health_checks_allowed, reports) in
        [(false, LoadReports::OnHealthCheck), (true, LoadReports::Off), (false, LoadReports::Off)]
    {
        let settings =
            Settings { router_count: 300, health_checks_allowed, load_reports: reports, ..settings() };
        let mut world = World::new(settings, 3);
        let (id, actions) = world.request(5, None);
        let host = forwarded_to(&actions)[0];
        world.end_next_attempt(id, host, Outcome::Ok, Some(Role::Primary));
        world.advance_ms(10_000);
        assert_eq!(forwarded_to(&world.request(3, None).1), [host]);
    }
}

/// If health checks are possible, one precedes the write.
#[test]
fn a_write_that_is_not_idempotent_waits_for_a_health_check_where_one_is_possible() {
    let mut world = World::with_positions(Settings { router_count: 3, ..settings() }, 3);
    world.advance_ms(10_000);
    let (_, actions) = world.request(3, None);
    assert_eq!((forwarded_to(&actions), health_checks(&actions)), (vec![], vec![0]));
    let now = world.now;
    assert_eq!(forwarded_to(&world.health_checked(0, load_report(now, Role::Primary))), [0]);
}
