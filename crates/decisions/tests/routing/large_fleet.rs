//! What a router does otherwise as one of many. Each test fails without its guard.

use crate::world::*;
use wheelpier_decisions::*;

/// One of a hundred before hosts that check reads themselves and whose answers tell where they stand.
fn one_of(routers: u32) -> Settings {
    let mut settings = Settings {
        router_count: routers,
        lag_policy: LagPolicy::WaitThenReject(TimeDelta(20 * MS)),
        ..settings()
    };
    // What must not be repeated cannot ask a host with itself.
    settings.classes[3].idempotency = Idempotency::WithKey(KeyScope::Group);
    settings
}

/// Every router probing every member costs the hosts more than their requests: 0.8 probes for each request
/// were seen. The request itself tells as much.
#[test]
fn many_routers_let_the_write_find_the_primary_instead_of_probing() {
    let mut world = World::new(one_of(100), 4);
    let (id, mut actions) = world.ask(5, None);
    let mut asked = Vec::new();
    for _ in 0..4 {
        let to = sends(&actions);
        assert_eq!((to.len(), probes(&actions)), (1, Vec::new()));
        asked.push(to[0]);
        if to[0] == 0 {
            world.reply(id, 0, Outcome::Ok, Some(Role::Primary));
            break;
        }
        actions = world.reply(id, to[0], Outcome::Misdirected, Some(Role::Replica));
    }
    let found = *asked.last().unwrap();
    assert_eq!(found, 0, "asked {asked:?}");
    // The next one goes straight there.
    assert_eq!(sends(&world.ask(5, None).1), [0]);
}

#[test]
fn a_few_routers_probe_for_the_primary_as_ever() {
    let mut world = World::new(one_of(3), 4);
    let (_, actions) = world.ask(5, None);
    assert_eq!((sends(&actions), probes(&actions)), (vec![], vec![0, 1, 2, 3]));
}

/// A host that turned a write away is not asked again by each write that comes, nor never: its group may
/// make it the primary.
#[test]
fn a_member_that_is_no_primary_is_guessed_at_again_only_later() {
    let mut world = World::new(one_of(100), 2);
    let (id, actions) = world.ask(5, None);
    let first = sends(&actions)[0];
    let second = sends(&world.reply(id, first, Outcome::Misdirected, Some(Role::Replica)))[0];
    world.reply(id, second, Outcome::Misdirected, Some(Role::Replica));
    assert!(sends(&world.wait(200)).is_empty());
    assert!(!sends(&world.wait(200)).is_empty());
}

/// A read that no replica is known to be fresh enough for asks one with itself, and not one heard of just now.
#[test]
fn a_read_asks_a_replica_that_was_behind_a_while_ago_without_a_probe() {
    let mut world = World::new(one_of(100), 3);
    for n in 0..3 {
        let role = if n == 0 { Role::Primary } else { Role::Replica };
        world.probed(n, report(world.now - if n == 0 { 0 } else { 1_000 * MS }, role));
    }
    // The primary is late, so that it is spared.
    for _ in 0..6 {
        let (id, _) = world.ask(4, None);
        world.attempt(id, 0, 0, Outcome::Ok, 900 * MS);
    }
    let (_, actions) = world.ask(2, None);
    assert!(sends(&actions).iter().all(|host| *host == 0) && probes(&actions).is_empty());
    world.now += 600 * MS;
    let later: Vec<u32> = (0..4).flat_map(|_| sends(&world.ask(2, None).1)).collect();
    assert!(later.iter().any(|host| *host != 0), "{later:?}");
    assert!(probes(&world.wait(200)).is_empty());
}

/// Some answers are always late: copies of all of them, from every router, are load that nobody sees coming.
#[test]
fn one_of_many_sends_no_copy_for_lateness_alone() {
    for (routers, copies) in [(3, true), (100, false)] {
        let mut world = World::known(one_of(routers), 4);
        for _ in 0..20 {
            let (id, actions) = world.ask(0, None);
            world.attempt(id, 0, sends(&actions)[0], Outcome::Ok, 50 * MS);
        }
        let (_, actions) = world.ask(0, None);
        assert_eq!(sends(&actions).len(), 1);
        // All others answer meanwhile, the one that is late too.
        let mut more = Vec::new();
        for _ in 0..40 {
            more.extend(world.wait(10));
            let (id, actions) = world.ask(0, None);
            world.attempt(id, 0, sends(&actions)[0], Outcome::Ok, 50 * MS);
        }
        assert_eq!(!sends(&more).is_empty(), copies, "{routers} routers");
    }
}

/// A host that errs at once is met by one of a hundred every few seconds: ten answers are a minute's worth.
#[test]
fn one_error_is_enough_where_answers_are_rare() {
    for (gap, shunned) in [(4_000, true), (20, false)] {
        let mut world = World::known(one_of(100), 4);
        let serve = |world: &mut World| {
            let (id, actions) = world.ask(0, None);
            let to = sends(&actions)[0];
            world.attempt(id, 0, to, Outcome::Ok, 50 * MS);
            to
        };
        (0..60).for_each(|_| _ = serve(&mut world));
        world.now += gap * MS;
        let (id, actions) = world.ask(0, None);
        let bad = sends(&actions)[0];
        world.attempt(id, 0, bad, Outcome::Error, MS);
        world.now += 500 * MS;
        let again = (0..40).any(|_| serve(&mut world) == bad);
        assert_eq!(!again, shunned, "answers {gap} ms apart");
    }
}

/// One request of each of a hundred routers is a queue of a second: a limit of one holds nobody back.
#[test]
fn one_of_many_leaves_out_a_host_that_answers_late() {
    for (routers, part) in [(100, 0.35), (2, 1.0)] {
        let mut world = World::known(one_of(routers), 3);
        let mut to_late = 0;
        let mut tries = 0;
        for n in 0..60 {
            world.now += 300 * MS;
            let (id, actions) = world.ask(0, None);
            for host in sends(&actions) {
                world.attempt(id, 0, host, Outcome::Ok, if host == 1 { 450 * MS } else { 40 * MS });
                tries += u32::from(n >= 20);
                to_late += u32::from(n >= 20 && host == 1);
            }
        }
        assert!(tries >= 38, "{tries} of 40 sent");
        assert!(f64::from(to_late) <= part * f64::from(tries), "{to_late} of {tries} at {routers} routers");
    }
}

/// A cold host's share is drawn once for each request; competing for it again would leave it next to nothing,
/// and the few warm ones with all of the rest. Hosts that are gone are no part of its group.
#[test]
fn a_cold_host_gets_the_share_that_is_drawn_for_it() {
    let mut world = World::known(Settings { slow_start_window: TimeDelta(18_000 * MS), ..one_of(100) }, 6);
    let mut fresh = EndpointEntry::new(HostId(9), 0, HostState::Running);
    fresh.started_at = Some(Timestamp(world.now));
    let gone = (3..6).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Removed));
    world.event(Event::EndpointList(EndpointUpdate::Delta, gone.chain([fresh]).collect()));
    world.now += 7_000 * MS;
    let mut cold = 0;
    for _ in 0..600 {
        world.now += 10 * MS;
        let (id, actions) = world.ask(0, None);
        for host in sends(&actions) {
            cold += u32::from(host == 9);
            world.attempt(id, 0, host, Outcome::Ok, 50 * MS);
        }
    }
    // Half of twice a part of 0.42 to 0.67 of a sixth: 7 to 11 of a hundred.
    assert!((36..90).contains(&cold), "{cold} of 600");
}

/// Where a handshake costs worth, a host that has died is no reason to close the connections to all others.
#[test]
fn idle_connections_are_kept_where_handshakes_cost() {
    for (price_handshake, kept) in [(0.08, true), (0.0, false)] {
        let mut world = World::known(Settings { price_handshake, ..one_of(100) }, 3);
        for _ in 0..10 {
            let (id, actions) = world.ask(0, None);
            sends(&actions).iter().for_each(|host| _ = world.attempt(id, 0, *host, Outcome::Ok, 50 * MS));
        }
        let mut then = Vec::new();
        for _ in 0..20 {
            world.now += 5_000 * MS;
            let (id, actions) = world.ask(0, None);
            sends(&actions).iter().for_each(|host| {
                then.extend(world.attempt(id, 0, *host, Outcome::ConnectFailed, MS));
            });
        }
        assert_eq!(!then.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. })), kept);
    }
}

/// Found on a deployment of our own (`deploy/sites/kiosk-slips.toml`): its writes must not be repeated, nobody may probe,
/// and one of many routers hears a primary every few seconds. Without a word from it within a second each write was held
/// until half of its time was over and refused: a quarter of them was served.
#[test]
fn a_write_that_must_not_be_repeated_goes_to_the_primary_that_is_known_where_nobody_can_be_asked() {
    for (may_probe, reports) in
        [(false, LoadReports::OnHealthCheck), (true, LoadReports::Off), (false, LoadReports::Off)]
    {
        let settings = Settings {
            router_count: 300,
            health_checks_allowed: may_probe,
            load_reports: reports,
            ..settings()
        };
        let mut world = World::new(settings, 3);
        let (id, actions) = world.ask(5, None);
        let host = sends(&actions)[0];
        world.reply(id, host, Outcome::Ok, Some(Role::Primary));
        world.wait(10_000);
        assert_eq!(sends(&world.ask(3, None).1), [host]);
    }
}

/// Where it can be asked, it is asked before.
#[test]
fn a_write_that_must_not_be_repeated_waits_for_a_sign_of_life_where_there_can_be_one() {
    let mut world = World::known(Settings { router_count: 3, ..settings() }, 3);
    world.wait(10_000);
    let (_, actions) = world.ask(3, None);
    assert_eq!((sends(&actions), probes(&actions)), (vec![], vec![0]));
    let now = world.now;
    assert_eq!(sends(&world.probed(0, report(now, Role::Primary))), [0]);
}
