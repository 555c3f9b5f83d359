//! Routing in the absence of faults.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_new_router_checks_hosts_only_when_a_request_needs_it() {
    let mut world = World::new(settings(), 0);
    let list = (0..3).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
    assert!(health_checks(&world.event(Event::EndpointList(EndpointUpdate::Snapshot, list))).is_empty());
    assert_eq!(health_checks(&world.request(2, None).1).len(), 1, "a read waits for one check");
    let checks = health_checks(&world.request(3, None).1).len();
    assert_eq!(checks, 2, "a write checks all other hosts, since no primary is known");
}

#[test]
fn a_session_read_goes_to_a_replica_that_has_applied_its_write() {
    let mut world = World::with_positions(settings(), 3);
    let (_, actions) = world.request(1, Some(100 * MS));
    assert!(matches!(forwarded_to(&actions)[..], [1 | 2]));
}

#[test]
fn a_session_read_without_a_write_goes_to_any_replica() {
    let mut world = World::with_positions(settings(), 3);
    let first = forwarded_to(&world.request(1, None).1);
    let second = forwarded_to(&world.request(1, None).1);
    assert_ne!(first, second, "each read goes to the replica with the fewest attempts in flight");
    assert!(!first.contains(&0) && !second.contains(&0));
}

#[test]
fn a_read_that_no_replica_can_serve_goes_to_the_primary_after_a_health_check() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 200 * MS;
    let (_, waiting) = world.request(1, Some(50 * MS));
    assert_eq!((forwarded_to(&waiting), health_checks(&waiting)), (vec![], vec![1]));
    let stale = load_report(world.now - 100 * MS, Role::Replica);
    assert_eq!(forwarded_to(&world.health_checked(1, stale)), [0]);
}

#[test]
fn a_waiting_read_goes_to_the_replica_that_turns_out_to_have_caught_up() {
    let mut world = World::with_positions(settings(), 2);
    world.now += 200 * MS;
    world.request(1, Some(50 * MS));
    let fresh = load_report(world.now - 20 * MS, Role::Replica);
    assert_eq!(forwarded_to(&world.health_checked(1, fresh)), [1]);
}

#[test]
fn a_bounded_read_skips_a_replica_past_the_bound() {
    let mut world = World::new(settings(), 3);
    world.health_checked(0, load_report(world.now, Role::Primary));
    world.health_checked(1, load_report(world.now - 900 * MS, Role::Replica));
    world.health_checked(2, load_report(world.now - 700 * MS, Role::Replica));
    assert_eq!(forwarded_to(&world.request(2, None).1), [2]);
    assert_eq!(forwarded_to(&world.request(2, None).1), [2]);
}

#[test]
fn writes_and_fresh_reads_go_to_the_primary() {
    let mut world = World::with_positions(settings(), 3);
    assert_eq!(forwarded_to(&world.request(3, None).1), [0]);
    assert_eq!(forwarded_to(&world.request(4, None).1), [0]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut world = World::with_positions(settings(), 4);
        let mut all = Vec::new();
        for n in 0..200 {
            all.extend(world.request(n % 6, Some(30 * MS)).1);
            all.extend(world.advance_ms(10));
        }
        all
    };
    assert_eq!(run(), run());
}
