//! Reconfiguration of a running router (SIGHUP): classes keep their indices, and new ones are appended.

use crate::world::*;
use wheelpier_decisions::*;

#[test]
fn a_class_added_by_new_settings_is_served_and_existing_requests_continue() {
    let mut world = World::with_positions(settings(), 3);
    let added = settings().classes.len();
    let (id, before) = world.request(added, None);
    assert_eq!(
        endings(&before),
        [&Action::Reject { id, retry_after: None }],
        "the class is unknown before the new settings"
    );
    let (earlier, _) = world.request(1, None);
    let mut more = settings();
    more.classes.push(class(Freshness::Any, Idempotency::Idempotent));
    world.router.reconfigure(more);
    let (_, after) = world.request(added, None);
    assert_eq!(forwarded_to(&after).len(), 1, "the new class is forwarded like any other read");
    let actions = world.end_next_attempt(earlier, 1, Outcome::Ok, Some(Role::Replica));
    assert!(
        endings(&actions).is_empty(),
        "a request that arrived before ends with its own attempt: {actions:?}"
    );
}

#[test]
fn a_lower_maximum_of_attempts_applies_after_reconfiguration() {
    let mut world = World::with_positions(settings(), 3);
    world.router.reconfigure(Settings { max_attempts: 1, ..settings() });
    let (id, first) = world.request(0, None);
    let host = forwarded_to(&first)[0];
    let failed = world.end_next_attempt(id, host, Outcome::Error, None);
    assert!(forwarded_to(&failed).is_empty(), "only one attempt is allowed: {failed:?}");
    assert_eq!(endings(&failed).len(), 1, "the request ends at once: {failed:?}");
}

/// Requests of the new tenant beyond its quota wait behind requests of the other tenant.
#[test]
fn a_tenant_added_by_new_settings_has_a_quota_of_its_own() {
    let quotas = |all: &[f64]| Settings { tenant_quotas: all.to_vec(), over_quota_weight: 0.1, ..settings() };
    let mut world = World::with_positions(quotas(&[50.0]), 1);
    world.router.reconfigure(quotas(&[50.0, 50.0]));
    let mut request = |n: u64, tenant: usize| {
        let request = Request { tenant, ..Request::new(RequestId(n), 0, 0, 2_000 * MS) };
        world.event(Event::RequestArrived(request))
    };
    let first: Vec<Action> = (0..200).flat_map(|n| request(n, 1)).collect();
    let forwarded = forwarded_to(&first).len();
    assert!((1..100).contains(&forwarded), "the other requests wait: {forwarded}");
    request(200, 0);
    let next = world.end_attempt(RequestId(0), 0, 0, Outcome::Ok, 50 * MS);
    assert!(matches!(next[..], [Action::Forward { id: RequestId(200), .. }, ..]), "{next:?}");
}
