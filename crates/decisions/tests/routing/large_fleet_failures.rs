//! One test for each failure found at full size: hundreds of routers that each see next to nothing.

use crate::world::*;
use wheelpier_decisions::*;

/// Ends the first attempt of a request that was just sent.
fn answer(world: &mut World, id: RequestId, sent: &[Action], outcome: Outcome, latency: i64) -> Vec<Action> {
    world.attempt(id, 0, sends(sent)[0], outcome, latency)
}

/// What a fleet of routers, one read each, sends to host 1 of four after `change` was listed.
fn fleet(change: impl Fn(i64) -> Vec<EndpointEntry>) -> usize {
    let mut sum = 0;
    for seed in 0..400 {
        let settings = Settings { router_count: 400, ..settings() };
        let mut world = World::known(settings.clone(), 4);
        world.router = Router::new(settings, seed).unwrap();
        let list = (0..4).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
        world.event(Event::EndpointList(EndpointUpdate::Cached, list));
        world.probed(0, report(world.now, Role::Primary));
        world.event(Event::EndpointList(EndpointUpdate::Delta, change(world.now)));
        let (_, sent) = world.ask(0, None);
        sum += sends(&sent).iter().filter(|h| **h == 1).count();
    }
    sum
}

fn restarted(now: i64) -> EndpointEntry {
    EndpointEntry { started_at: Some(Timestamp(now)), ..EndpointEntry::new(HostId(1), 0, HostState::Running) }
}

/// Four hundred routers must not each grant a cold host its first request (incident if5d4a1).
#[test]
fn a_cold_host_gets_a_fraction_summed_over_all_routers() {
    let gone = |n| EndpointEntry::new(HostId(n), 0, HostState::Removed);
    let cold = fleet(|now| vec![restarted(now), gone(2), gone(3)]);
    assert!(cold > 0 && cold * 10 < 400, "{cold} of 400");
}

/// The last member left must not draw the reads of the whole group while it is cold (incident idadabe).
#[test]
fn a_cold_host_alone_in_its_group_does_not_take_all_of_it() {
    let cold = fleet(|now| {
        let gone = |n| EndpointEntry::new(HostId(n), 0, HostState::Removed);
        vec![restarted(now), gone(2), gone(3), gone(0)]
    });
    assert!(cold > 0 && cold * 10 < 400, "{cold} of 400");
}

/// Of equals each is chosen: requests at an idle router must not all fall on the same replica.
#[test]
fn equals_share_the_requests_of_an_idle_router() {
    let mut world = World::known(Settings { router_count: 400, ..settings() }, 4);
    let mut count = [0; 4];
    for _ in 0..60 {
        world.now += 500 * MS;
        let (id, sent) = world.ask(0, None);
        count[sends(&sent)[0] as usize] += 1;
        answer(&mut world, id, &sent, Outcome::Ok, 50 * MS);
    }
    assert!(count[1..].iter().all(|n| *n >= 8), "{count:?}");
}

/// Where each router has less than one request in flight, late answers must still hold something back.
#[test]
fn late_answers_let_in_only_a_part_of_what_comes() {
    let admitted = |latency: i64| {
        let mut world = World::known(Settings { router_count: 400, ..settings() }, 4);
        let mut count = 0;
        for _ in 0..40 {
            world.now += 500 * MS;
            let (id, sent) = world.ask(2, None);
            if !sends(&sent).is_empty() {
                count += 1;
                answer(&mut world, id, &sent, Outcome::Ok, latency);
            }
            for n in 1..4 {
                world.probed(n, report(world.now - 5 * MS, Role::Replica));
            }
        }
        count
    };
    let (quick, late) = (admitted(60 * MS), admitted(1_500 * MS));
    assert!(quick == 40 && late < 20 && late > 0, "{quick} {late}");
}

/// A request that errs at two hosts is at fault itself: it ends instead of going through all attempts.
#[test]
fn a_request_that_errs_everywhere_ends_after_two_attempts() {
    let mut world = World::known(settings(), 6);
    let (id, mut sent) = world.ask(0, None);
    let mut attempts = 0;
    while let Some(host) = sends(&sent).first().copied() {
        attempts += 1;
        sent = world.reply(id, host, Outcome::Error, Some(Role::Replica));
    }
    assert_eq!((attempts, finals(&sent).len()), (2, 1));
}

fn let_go(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }))
}

/// Asks so many times; hosts take no connection, but each answers after so many refusals. Whether one let any go.
fn refused(world: &mut World, times: usize, answers_after: u32) -> bool {
    let (mut gone, mut refusals) = (false, std::collections::HashMap::new());
    for _ in 0..times {
        world.now += 500 * MS;
        let (id, mut sent) = world.ask(0, None);
        for attempt in 0.. {
            let Some(host) = sends(&sent).first().copied() else { break };
            let refusals = refusals.entry(host).or_insert(0);
            let answers = *refusals == answers_after;
            *refusals = if answers { 0 } else { *refusals + 1 };
            let outcome = if answers { Outcome::Ok } else { Outcome::ConnectFailed };
            sent = world.attempt(id, attempt, host, outcome, 5 * MS);
            gone |= let_go(&sent);
        }
    }
    gone
}

fn served(world: &mut World) -> Vec<Action> {
    let (id, sent) = world.ask(0, None);
    answer(world, id, &sent, Outcome::Ok, 50 * MS)
}

/// A host that serves but takes no connection, time and again, is full of idle ones: ours are let go (patagonia, `big-2`).
#[test]
fn idle_connections_are_let_go_where_a_serving_host_refuses() {
    let mut world = World::known(settings(), 3);
    for _ in 0..20 {
        assert!(!let_go(&served(&mut world)));
    }
    assert!(refused(&mut world, 10, 3));
    assert!(let_go(&served(&mut world)), "and each after its answer");
    world.now += 10_000 * MS;
    assert!(!let_go(&served(&mut world)), "not for ever");
}

/// On a network that breaks single connections a host refuses now and then and answers between: to close all idle ones
/// for it makes each next request open one, which breaks as easily (fes-tip-ledger, `wide+reset+stale`).
#[test]
fn idle_connections_are_kept_where_answers_come_between_refusals() {
    let mut world = World::known(settings(), 3);
    for _ in 0..20 {
        served(&mut world);
    }
    assert!(!refused(&mut world, 200, 2));
}

/// A hung primary answers probes, but what it reports stands still: no unsafe write goes there.
#[test]
fn a_probe_whose_position_stands_frees_no_write() {
    let stood = |moves: i64| {
        let mut world = World::known(settings(), 2);
        let last = world.now;
        world.now += 3_000 * MS;
        world.ask(3, None);
        sends(&world.probed(0, report(last + moves, Role::Primary))).len()
    };
    assert_eq!((stood(0), stood(2_000 * MS)), (0, 1));
}

/// Late reports must not hold writes for ever: the position moves, however old it is.
#[test]
fn a_late_report_frees_the_write_all_the_same() {
    let mut world = World::known(settings(), 2);
    world.now += 8_000 * MS;
    world.ask(3, None);
    let late = report(world.now - 4_000 * MS, Role::Primary);
    assert_eq!(sends(&world.probed(0, late)), [0]);
}

/// With many routers the member held for the primary is asked at once: the long gap is for searches only.
#[test]
fn a_write_asks_the_shown_primary_without_the_gap_of_many_routers() {
    let when_behind = LagPolicy::WaitThenReject(TimeDelta(100 * MS));
    let mut world = World::known(Settings { router_count: 400, lag_policy: when_behind, ..settings() }, 2);
    for _ in 0..3 {
        world.now += 1_200 * MS;
        assert_eq!(probes(&world.ask(3, None).1), [0]);
        world.probed(0, report(world.now - 100 * MS, Role::Primary));
    }
}

/// Where hosts check reads, a fresh router tries a replica it never heard of instead of the primary.
#[test]
fn an_unheard_replica_is_tried_where_it_checks_reads() {
    let when_behind = LagPolicy::WaitThenReject(TimeDelta(100 * MS));
    let mut world = World::new(Settings { lag_policy: when_behind, ..settings() }, 3);
    world.probed(0, report(world.now, Role::Primary));
    assert!(matches!(sends(&world.ask(2, None).1)[..], [1 | 2]));
}

/// Hundreds of routers must not live on timers: what is out is looked at some times in an aim only.
#[test]
fn what_is_out_costs_few_timers() {
    let mut world = World::known(settings(), 2);
    world.ask(0, None);
    let timers = world.wait(500).iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    assert!(timers <= 10, "{timers}");
}

/// Bounded reads that no replica can serve must not fill a primary that is late already (cordoba, `big-2`).
#[test]
fn a_late_primary_is_spared_the_reads_that_can_wait() {
    let went = |latency: i64| {
        let mut world =
            World::known(Settings { hedging_allowed: false, health_checks_allowed: false, ..settings() }, 1);
        world.router.handle(Timestamp(world.now), Event::Timer(0), &mut Vec::new());
        let (id, sent) = world.ask(5, None);
        answer(&mut world, id, &sent, Outcome::Ok, latency);
        (0..20).map(|_| sends(&world.ask(2, None).1).len()).sum::<usize>()
    };
    let (quick, late) = (went(50 * MS), went(1_000 * MS));
    assert!(quick > 5 && late == 0, "{quick} {late}");
}

/// Work that takes a third of its aim takes as long at an idle primary, which is no reason to spare it reads that no
/// replica is fresh enough for (the second deployment's days on which replicas are cut off from their primary).
#[test]
fn an_idle_primary_is_spared_no_reads_however_long_their_work_takes() {
    let mut world =
        World::known(Settings { hedging_allowed: false, health_checks_allowed: false, ..settings() }, 1);
    let mut one = |latency: i64| {
        let (id, sent) = world.ask(2, None);
        let at_once = sends(&sent).len();
        let sent = if at_once == 0 { world.wait(120) } else { sent };
        match sends(&sent).is_empty() {
            true => _ = world.wait(2_000),
            false => _ = answer(&mut world, id, &sent, Outcome::Ok, latency),
        }
        at_once
    };
    (0..60).for_each(|_| _ = one(150 * MS));
    let at_once: usize = (0..40).map(|_| one(150 * MS)).sum();
    assert!(at_once >= 38, "{at_once} of 40 went at once");
}

/// Shares are told by what each customer asks of this router, however small a part of all that is.
#[test]
fn a_customer_over_its_share_waits_behind_one_within() {
    let quotas = vec![50.0, 50.0];
    let mut world = World::known(
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
    assert!((1..10).contains(&sends(&first).len()), "the rest is held");
    request(200, 1);
    let next = world.attempt(RequestId(0), 0, 0, Outcome::Ok, 50 * MS);
    assert!(matches!(next[..], [Action::Forward { id: RequestId(200), .. }, ..]), "{next:?}");
}
