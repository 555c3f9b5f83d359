//! Settings read anew while the router runs (SIGHUP): classes keep their numbers, new ones come behind.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_class_that_the_new_settings_bring_is_served_and_the_old_ones_go_on() {
    let mut world = World::known(settings(), 3);
    let added = settings().classes.len();
    let (id, before) = world.ask(added, None);
    assert_eq!(
        finals(&before),
        [&Action::Reject { id, retry_after: None }],
        "unknown before the new settings"
    );
    let (held, _) = world.ask(1, None);
    let mut more = settings();
    more.classes.push(class(Freshness::Any, Idempotency::Idempotent));
    world.router.reconfigure(more);
    let (_, after) = world.ask(added, None);
    assert_eq!(sends(&after).len(), 1, "the new class is sent like any other read");
    let reply = world.reply(held, 1, Outcome::Ok, Some(Role::Replica));
    assert!(finals(&reply).is_empty(), "a request from before is answered by its own attempt: {reply:?}");
}

#[test]
fn fewer_attempts_hold_from_the_new_settings_on() {
    let mut world = World::known(settings(), 3);
    world.router.reconfigure(Settings { max_attempts: 1, ..settings() });
    let (id, first) = world.ask(0, None);
    let host = sends(&first)[0];
    let failed = world.reply(id, host, Outcome::Error, None);
    assert!(sends(&failed).is_empty(), "one attempt only: {failed:?}");
    assert_eq!(finals(&failed).len(), 1, "and the client hears at once: {failed:?}");
}

/// Two customers within their shares wait alike; one that the new settings bring has a share of its own, and what it
/// asks beyond that waits behind the others.
#[test]
fn a_customer_that_the_new_settings_bring_has_a_share_of_its_own() {
    let quotas = |all: &[f64]| Settings { tenant_quotas: all.to_vec(), over_quota_weight: 0.1, ..settings() };
    let mut world = World::known(quotas(&[50.0]), 1);
    world.router.reconfigure(quotas(&[50.0, 50.0]));
    let mut request = |n: u64, tenant: usize| {
        let request = Request { tenant, ..Request::new(RequestId(n), 0, 0, 2_000 * MS) };
        world.event(Event::RequestArrived(request))
    };
    let first: Vec<Action> = (0..200).flat_map(|n| request(n, 1)).collect();
    let out = sends(&first).len();
    assert!((1..100).contains(&out), "the rest is held: {out}");
    request(200, 0);
    let next = world.attempt(RequestId(0), 0, 0, Outcome::Ok, 50 * MS);
    assert!(matches!(next[..], [Action::Forward { id: RequestId(200), .. }, ..]), "{next:?}");
}
