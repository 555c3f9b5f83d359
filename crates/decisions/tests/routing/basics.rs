//! The ordinary path, as the design words it.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_fresh_router_asks_by_need() {
    let mut world = World::new(settings(), 0);
    let list = (0..3).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
    assert!(probes(&world.event(Event::EndpointList(EndpointUpdate::Snapshot, list))).is_empty());
    assert_eq!(probes(&world.ask(2, None).1).len(), 1, "a read waits for one");
    let asked = probes(&world.ask(3, None).1).len();
    assert_eq!(asked, 2, "a write asks all others, since nobody is known as primary");
}

#[test]
fn a_session_read_goes_to_a_replica_that_has_its_write() {
    let mut world = World::known(settings(), 3);
    let (_, actions) = world.ask(1, Some(100 * MS));
    assert!(matches!(sends(&actions)[..], [1 | 2]));
}

#[test]
fn a_session_read_without_a_write_is_free() {
    let mut world = World::known(settings(), 3);
    let first = sends(&world.ask(1, None).1);
    let second = sends(&world.ask(1, None).1);
    assert_ne!(first, second, "fewest own requests in flight");
    assert!(!first.contains(&0) && !second.contains(&0));
}

#[test]
fn a_read_that_no_replica_can_serve_goes_to_the_primary_after_a_probe() {
    let mut world = World::known(settings(), 2);
    world.now += 200 * MS;
    let (_, held) = world.ask(1, Some(50 * MS));
    assert_eq!((sends(&held), probes(&held)), (vec![], vec![1]));
    let stale = report(world.now - 100 * MS, Role::Replica);
    assert_eq!(sends(&world.probed(1, stale)), [0]);
}

#[test]
fn a_held_read_goes_to_the_replica_that_turns_out_to_have_caught_up() {
    let mut world = World::known(settings(), 2);
    world.now += 200 * MS;
    world.ask(1, Some(50 * MS));
    let fresh = report(world.now - 20 * MS, Role::Replica);
    assert_eq!(sends(&world.probed(1, fresh)), [1]);
}

#[test]
fn a_bounded_read_skips_a_replica_past_the_bound() {
    let mut world = World::new(settings(), 3);
    world.probed(0, report(world.now, Role::Primary));
    world.probed(1, report(world.now - 900 * MS, Role::Replica));
    world.probed(2, report(world.now - 700 * MS, Role::Replica));
    assert_eq!(sends(&world.ask(2, None).1), [2]);
    assert_eq!(sends(&world.ask(2, None).1), [2]);
}

#[test]
fn writes_and_fresh_reads_go_to_the_primary() {
    let mut world = World::known(settings(), 3);
    assert_eq!(sends(&world.ask(3, None).1), [0]);
    assert_eq!(sends(&world.ask(4, None).1), [0]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut world = World::known(settings(), 4);
        let mut all = Vec::new();
        for n in 0..200 {
            all.extend(world.ask(n % 6, Some(30 * MS)).1);
            all.extend(world.wait(10));
        }
        all
    };
    assert_eq!(run(), run());
}
