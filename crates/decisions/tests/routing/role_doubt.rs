//! Guards against stale reads: fresh reads at a host that is no longer the primary, for example because the
//! response that reported the change of its role was lost.

use crate::world::*;
use wheelpier_decisions::*;

const ANY: usize = 0;
const SESSION: usize = 1;
const BOUNDED: usize = 2;

fn without_health_checks_and_hedging() -> Settings {
    Settings { health_checks_allowed: false, hedging_allowed: false, ..settings() }
}

/// A group whose only known member was last observed as the primary 1.2 s ago.
fn idle_primary() -> World {
    let mut world = World::with_positions(without_health_checks_and_hedging(), 1);
    world.now += 1_200 * MS;
    world
}

fn is_forwarded(world: &mut World, class: usize) -> bool {
    !forwarded_to(&world.request(class, Some(100 * MS)).1).is_empty()
}

/// An event that may end a role without a response that reports it: its name, and a function that causes it.
type DoubtEvent = (&'static str, fn(&mut World));

const DOUBT_EVENTS: [DoubtEvent; 4] = [
    ("the host refuses a connection", |world| {
        let (id, _) = world.request(ANY, None);
        world.end_attempt(id, 0, 0, Outcome::ConnectFailed, MS);
        world.event(Event::ClientDisconnected(id));
    }),
    ("the host is unresponsive", |world| {
        let (id, _) = world.request(ANY, None);
        world.advance_ms(1_300);
        world.event(Event::ClientDisconnected(id));
    }),
    ("the host restarts", |world| {
        let started = EndpointEntry {
            started_at: Some(Timestamp(world.now - 50_000 * MS)),
            ..EndpointEntry::new(HostId(0), 0, HostState::Running)
        };
        world.event(Event::EndpointList(EndpointUpdate::Delta, vec![started]));
    }),
    ("the host leaves the list and returns", |world| {
        for state in [HostState::Removed, HostState::Running] {
            let entry = EndpointEntry::new(HostId(0), 0, state);
            world.event(Event::EndpointList(EndpointUpdate::Delta, vec![entry]));
        }
    }),
];

#[test]
fn a_host_that_may_have_lost_its_role_gets_no_fresh_read() {
    for (name, cause_doubt) in DOUBT_EVENTS {
        for class in [SESSION, BOUNDED] {
            let mut world = idle_primary();
            assert!(is_forwarded(&mut world, class), "the primary takes class {class}");
            let mut world = idle_primary();
            cause_doubt(&mut world);
            world.now += 1_200 * MS;
            assert!(!is_forwarded(&mut world, class), "{name}, class {class}");
        }
    }
}

/// The response to the attempt in flight may report the replica role and be lost, so waiting reads must not
/// rely on the role.
#[test]
fn an_attempt_without_a_response_does_not_confirm_the_role() {
    let mut world = idle_primary();
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 3_500 * MS;
    let (id, sent) = world.request(ANY, None);
    assert_eq!(forwarded_to(&sent), [0]);
    world.now += 300 * MS;
    assert!(!is_forwarded(&mut world, BOUNDED), "while the attempt is in flight");
    world.end_attempt(id, 0, 0, Outcome::Reset, 1_100 * MS);
    assert!(!is_forwarded(&mut world, BOUNDED), "after its response was lost");
}

#[test]
fn a_response_as_the_primary_ends_the_doubt_immediately() {
    for class in [SESSION, BOUNDED] {
        let mut world = idle_primary();
        DOUBT_EVENTS[0].1(&mut world);
        world.now += 1_200 * MS;
        let (id, sent) = world.request(ANY, None);
        assert_eq!(forwarded_to(&sent), [0]);
        world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now, Role::Primary));
        world.now += 5_000 * MS;
        assert!(is_forwarded(&mut world, class), "class {class}");
    }
}

/// The response was written before the host failed, so it does not show which role the host has since.
#[test]
fn a_response_written_before_the_failure_does_not_end_the_doubt() {
    let mut world = idle_primary();
    let (early, _) = world.request(ANY, None);
    let written = world.now + 10 * MS;
    world.now += 500 * MS;
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 300 * MS;
    world.serve_first_attempt(early, 0, 50 * MS, load_report(written, Role::Primary));
    world.now += 1_200 * MS;
    assert!(!is_forwarded(&mut world, BOUNDED));
}

/// Without other evidence of the role the only host would never get fresh reads again.
#[test]
fn one_fresh_read_in_three_seconds_may_query_the_role() {
    let mut world = idle_primary();
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 3_100 * MS;
    let (id, sent) = world.request(BOUNDED, None);
    assert_eq!(forwarded_to(&sent), [0]);
    assert!(!is_forwarded(&mut world, BOUNDED), "a second one immediately");
    world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now, Role::Primary));
    assert!(is_forwarded(&mut world, BOUNDED));
}

/// A position within the staleness bound is sufficient evidence.
#[test]
fn a_host_with_a_recent_position_serves_reads_regardless_of_its_role() {
    let mut world = World::with_positions(without_health_checks_and_hedging(), 1);
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 700 * MS;
    assert!(is_forwarded(&mut world, BOUNDED));
}

/// A host that checks reads rejects those that it must not serve, so none are kept from it.
#[test]
fn hosts_that_check_reads_are_not_doubted() {
    let mut world = World::with_positions(
        Settings { lag_policy: LagPolicy::Reject, ..without_health_checks_and_hedging() },
        1,
    );
    world.now += 1_200 * MS;
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 1_200 * MS;
    assert!(is_forwarded(&mut world, BOUNDED));
}

/// If health checks are possible, a primary with a doubted role is checked.
#[test]
fn a_health_check_ends_the_doubt() {
    let mut world = World::with_positions(Settings { hedging_allowed: false, ..settings() }, 1);
    world.now += 1_200 * MS;
    DOUBT_EVENTS[0].1(&mut world);
    world.health_checked(0, None);
    world.now += 1_200 * MS;
    let (_, sent) = world.request(BOUNDED, None);
    assert_eq!((forwarded_to(&sent), health_checks(&sent)), (vec![], vec![0]));
    let sent = world.health_checked(0, load_report(world.now, Role::Primary));
    assert_eq!(forwarded_to(&sent), [0]);
}

/// The lost response may have reported the replica role, so the passage of time does not confirm that the
/// host is the primary.
#[test]
fn doubt_after_a_lost_response_ends_with_a_later_response_and_not_with_time() {
    for outcome in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        for later_ms in [1, 500, 1_200, 3_100, 6_000, 20_000] {
            let mut world = idle_primary();
            let (id, _) = world.request(ANY, None);
            world.end_attempt(id, 0, 0, outcome, 50 * MS);
            world.event(Event::ClientDisconnected(id));
            world.now += later_ms * MS;
            for class in [SESSION, BOUNDED] {
                assert!(!is_forwarded(&mut world, class), "{outcome:?}, {later_ms} ms later, class {class}");
            }
            let (id, sent) = world.request(ANY, None);
            assert_eq!(forwarded_to(&sent), [0], "reads from data of any age still go there");
            world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now, Role::Primary));
            assert!(is_forwarded(&mut world, BOUNDED), "{outcome:?}, after a response");
        }
    }
}

/// A host that gets only fresh reads would otherwise never be used again. The response to a role query is
/// itself checked for its age.
#[test]
fn one_fresh_read_in_thirty_seconds_may_query_the_role_after_a_lost_response() {
    let mut world = idle_primary();
    let (id, _) = world.request(BOUNDED, None);
    world.end_attempt(id, 0, 0, Outcome::Reset, 50 * MS);
    world.event(Event::ClientDisconnected(id));
    world.now += 30_000 * MS;
    let (id, sent) = world.request(BOUNDED, None);
    assert_eq!(forwarded_to(&sent), [0]);
    assert!(!is_forwarded(&mut world, BOUNDED), "a second one immediately");
    world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now, Role::Primary));
    assert!(is_forwarded(&mut world, BOUNDED));
}

/// The response as a replica was written later, though it arrived first.
#[test]
fn an_older_response_as_the_primary_does_not_override_a_newer_one_as_a_replica() {
    let mut world = idle_primary();
    let (older, _) = world.request(ANY, None);
    let (newer, _) = world.request(ANY, None);
    let written = world.now + 10 * MS;
    world.now += 300 * MS;
    world.serve_first_attempt(newer, 0, 50 * MS, load_report(world.now - 2_000 * MS, Role::Replica));
    world.now += 10 * MS;
    world.serve_first_attempt(older, 0, 50 * MS, load_report(written, Role::Primary));
    world.now += 900 * MS;
    assert!(!is_forwarded(&mut world, BOUNDED));
}

/// The other host has become the primary since the response was written.
#[test]
fn an_older_response_of_a_former_primary_does_not_demote_the_new_one() {
    let mut world = World::with_positions(without_health_checks_and_hedging(), 2);
    world.now += 1_200 * MS;
    let (older, _) = world.request(ANY, None);
    let written = world.now + 10 * MS;
    world.now += 300 * MS;
    let newer = LoadReport { position: Some(LogPosition(world.now)), role: Some(Role::Primary) };
    world.health_checked(1, Some(newer));
    world.serve_first_attempt(older, 0, 50 * MS, load_report(written, Role::Primary));
    world.now += 900 * MS;
    assert_eq!(forwarded_to(&world.request(BOUNDED, None).1), [1]);
}

/// A response that arrived completely is not lost, even if it reports no role.
#[test]
fn a_complete_response_without_a_role_does_not_count_as_lost() {
    let mut world = idle_primary();
    let (id, _) = world.request(ANY, None);
    world.serve_first_attempt(id, 0, 50 * MS, None);
    world.now += 1_200 * MS;
    assert!(is_forwarded(&mut world, BOUNDED));
}

/// A report from before the restart, or from before the host left the list, does not show its current role,
/// however recent it is.
#[test]
fn a_restart_puts_the_role_in_doubt_immediately() {
    for (name, cause_doubt) in &DOUBT_EVENTS[2..] {
        for class in [SESSION, BOUNDED] {
            let mut world = idle_primary();
            let (id, _) = world.request(ANY, None);
            world.serve_first_attempt(id, 0, 50 * MS, load_report(world.now - 1_100 * MS, Role::Primary));
            world.now += 200 * MS;
            assert!(is_forwarded(&mut world, class), "class {class}, before");
            cause_doubt(&mut world);
            assert!(!is_forwarded(&mut world, class), "{name}, class {class}");
        }
    }
}

/// A host that accepts a request and does not respond may be paused, and may have been replaced as the
/// primary meanwhile.
#[test]
fn an_overdue_response_puts_the_role_in_doubt() {
    let mut world = idle_primary();
    world.request(ANY, Some(2_000 * MS));
    world.now += 110 * MS;
    assert!(!is_forwarded(&mut world, BOUNDED));
}

/// The part of the response that reports the role is missing, but only a host that is not the primary rejects
/// a write as misdirected.
#[test]
fn a_misdirected_write_shows_that_its_host_is_not_the_primary() {
    const WRITE: usize = 3;
    let mut world = World::with_positions(without_health_checks_and_hedging(), 1);
    let (id, sent) = world.request(WRITE, None);
    assert_eq!(forwarded_to(&sent), [0]);
    world.end_attempt(id, 0, 0, Outcome::Misdirected, 50 * MS);
    world.event(Event::ClientDisconnected(id));
    world.now += 700 * MS;
    assert!(!is_forwarded(&mut world, SESSION));
}

/// Forwarded reads may wait for a connection. They must not be written once the role of their host is in
/// doubt.
#[test]
fn reads_that_rely_on_a_role_are_withdrawn_when_it_is_doubted() {
    for (name, cause_doubt) in DOUBT_EVENTS.iter().filter(|(name, _)| *name != "the host is unresponsive") {
        for class in [SESSION, BOUNDED] {
            let mut world = idle_primary();
            let (read, sent) = world.request(class, Some(100 * MS));
            assert_eq!(forwarded_to(&sent), [0]);
            world.advance_ms(50);
            assert_eq!(world.withdrawn, [], "before the event");
            cause_doubt(&mut world);
            assert_eq!(world.withdrawn, [(read, 0)], "{name}, class {class}");
        }
    }
}

/// A role query is sent because of the doubt, so the doubt is no reason to withdraw it.
#[test]
fn a_role_query_is_not_withdrawn() {
    let mut world = idle_primary();
    DOUBT_EVENTS[0].1(&mut world);
    world.now += 3_100 * MS;
    let (_, sent) = world.request(BOUNDED, None);
    assert_eq!(forwarded_to(&sent), [0]);
    world.advance_ms(200);
    assert_eq!(world.withdrawn, []);
}
