//! The world by itself, and the checker with planted faults: each rule can be seen to break.

use rstest::rstest;
use wheelpier_emulator::checker::{Checker, ProxyIncarnation, Rule};
use wheelpier_emulator::host::{Delivery, State};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::{Spec, WhenBehind};
use wheelpier_emulator::world::{Effect, HostFault, Query, Reply, Status, World};
use wheelpier_emulator::{Micros, MS, SECOND};

const START: Micros = 1_000_000 * SECOND;

fn world() -> World {
    World::new(Spec::sapporo(), 7, START)
}

fn query(id: &str, class: &str) -> Query {
    let key = (class == "sale-write").then(|| format!("key of {id}"));
    let class = Spec::sapporo().class(class).unwrap();
    Query { id: id.to_owned(), class, session: "s".to_owned(), key, until: START + 100 * SECOND }
}

/// The reply to a ticket among effects.
fn reply(effects: &[Effect], ticket: u64) -> Option<&Reply> {
    effects.iter().find_map(|effect| match effect {
        Effect::Reply(of, reply) if *of == ticket => Some(reply),
        _ => None,
    })
}

#[test]
fn a_request_takes_its_work_and_the_same_each_time() {
    let took = |host| {
        let mut world = world();
        assert_eq!(world.arrive(START, 1, host, query("a", "price-lookup")), []);
        let done = world.next().unwrap();
        assert!(matches!(reply(&world.advance(done), 1), Some(Reply::Served { .. })));
        done - START
    };
    assert!((44 * MS..=77 * MS).contains(&took(0)));
    assert_eq!(took(0), took(3));
}

#[test]
fn cores_and_queue_bound_what_a_host_holds() {
    let mut world = world();
    let capacity = (world.spec().cores + world.spec().queue) as u64;
    for ticket in 0..capacity {
        assert_eq!(world.arrive(START, ticket, 1, query(&ticket.to_string(), "daily-report")), []);
    }
    let full = world.arrive(START, capacity, 1, query("last", "daily-report"));
    assert_eq!(reply(&full, capacity), Some(&Reply::Full));
    assert_eq!(world.advance(START + 100 * SECOND).len() as u64, capacity);
}

#[test]
fn only_the_primary_takes_writes_and_drops_repeats_in_the_window() {
    let mut world = world();
    let turned_away = world.arrive(START, 1, 1, query("w", "sale-write"));
    assert_eq!(reply(&turned_away, 1), Some(&Reply::ReadOnly));
    let mut commits = Vec::new();
    for (ticket, after) in [(2, 0), (3, 2 * SECOND), (4, 4 * SECOND)] {
        world.arrive(START + after, ticket, 0, query("w", "sale-write"));
        let effects = world.advance(START + after + SECOND);
        let Some(Reply::Served { position, .. }) = reply(&effects, ticket) else { panic!("not served") };
        commits.push(*position);
        // Outside the window it is recorded again, and that is told.
        let doubled = effects.iter().any(|effect| matches!(effect, Effect::KeyRecordedAgain(_)));
        assert_eq!(doubled, ticket == 4);
    }
    assert_eq!(commits[0], commits[1]);
    assert_eq!((world.keys(0).len(), world.keys(0).recorded_again()), (1, 1));
}

#[test]
fn a_dead_primary_is_replaced_and_comes_back_cold_as_a_replica() {
    let mut world = world();
    let effects = world.inject(START, &HostFault::Death { host: 0, span: 10 * SECOND });
    assert_eq!(effects, [Effect::ConnectionsBroken(0)]);
    world.advance(START + 100 * MS);
    // Nobody goes on while there is no primary.
    let stands = world.position(1, START + 200 * MS);
    assert_eq!(world.position(1, START + SECOND), stands);
    assert!(!(0..5).any(|host| world.is_primary(host)));
    let effects = world.advance(START + 11 * SECOND);
    assert!(effects.contains(&Effect::ConnectionsAccepted(0)));
    assert!(!world.is_primary(0) && (1..5).any(|host| world.is_primary(host)));
    assert!(world.warmth(0, START + 11 * SECOND) < 0.3);
    assert_eq!(world.warmth(0, START + 30 * SECOND), 1.0);
}

#[test]
fn a_cold_host_that_is_sent_too_much_falls() {
    let mut world = world();
    world.inject(START, &HostFault::Death { host: 1, span: SECOND });
    world.advance(START + SECOND);
    let mut fell = false;
    for n in 0..400 {
        let at = START + SECOND + n * 5 * MS;
        world.advance(at);
        let effects = world.arrive(at, n as u64, 1, query(&n.to_string(), "daily-report"));
        fell |= effects.contains(&Effect::ColdHostCrashed(1));
    }
    assert!(fell);
}

#[test]
fn a_lagging_replica_falls_behind_and_catches_up() {
    let mut world = world();
    world.inject(START, &HostFault::Lag { host: 2, times: 12.0, span: 5 * SECOND });
    let lag = |world: &World, at: Micros| START + at - world.position(2, START + at);
    world.advance(START + 5 * SECOND - 1);
    let behind = lag(&world, 5 * SECOND - 1);
    assert!(behind > 2 * SECOND, "{behind}");
    world.advance(START + 30 * SECOND);
    assert!(lag(&world, 30 * SECOND) < 20 * MS);
}

#[test]
fn a_read_too_far_ahead_waits_and_is_turned_away_where_hosts_do_so() {
    let spec = Spec { when_behind: WhenBehind::Wait(20 * MS), ..Spec::sapporo() };
    let mut world = World::new(spec, 7, START);
    world.inject(START, &HostFault::Lag { host: 1, times: 1e6, span: 100 * SECOND });
    world.acknowledge("s", START + SECOND);
    world.ask("r", "s");
    assert_eq!(world.arrive(START + SECOND, 1, 1, query("r", "own-sales")), []);
    let effects = world.advance(START + SECOND + 20 * MS);
    assert_eq!(reply(&effects, 1), Some(&Reply::Behind));
}

#[test]
fn a_hung_host_answers_nothing_and_a_draining_one_nothing_new() {
    let mut world = world();
    world.arrive(START, 1, 1, query("a", "daily-report"));
    world.inject(START, &HostFault::Drain { host: 1, span: SECOND });
    let refused = world.arrive(START + 1, 2, 1, query("b", "daily-report"));
    assert_eq!(reply(&refused, 2), Some(&Reply::Full));
    assert!(reply(&world.advance(START + SECOND), 1).is_some());
    world.inject(START + SECOND, &HostFault::Hang { host: 2, span: SECOND });
    world.arrive(START + SECOND, 3, 2, query("c", "daily-report"));
    let later = world.advance(START + 100 * SECOND);
    assert_eq!(reply(&later, 3), None);
}

/// Guards against a soak whose former primaries catch up at once, or return cold and announced by the list.
#[test]
fn an_isolated_primary_returns_as_a_replica_where_it_stood() {
    let mut world = world();
    for host in 0..5 {
        world.inject(START, &HostFault::Lag { host, times: 1e6, span: 100 * SECOND });
    }
    let cut = HostFault::Isolation { host: 0, span: 2 * SECOND };
    assert_eq!(world.inject(START, &cut), [Effect::ConnectionsBroken(0)]);
    assert_eq!((world.state(0), world.runs(0)), (State::Isolated, false));
    assert_eq!(world.arrive(START, 1, 0, query("a", "price-lookup")), []);
    // Once more while it is cut off, or an end that comes later, changes nothing.
    assert_eq!(world.inject(START + MS, &cut), []);
    let later = START + 2 * SECOND;
    assert_eq!(world.advance(later), [Effect::ConnectionsAccepted(0)]);
    assert!(world.runs(0) && !world.is_primary(0));
    assert!(world.position(0, later) < START + 10 * MS);
    assert_eq!((world.warmth(0, later), world.started(0)), (1.0, None));
    assert_eq!(reply(&world.arrive(later, 2, 0, query("w", "sale-write")), 2), Some(&Reply::ReadOnly));
}

/// Guards against former primaries that no set could have given up yet.
#[rstest]
#[case::cut_off(HostFault::Isolation { host: 0, span: SECOND })]
#[case::hung(HostFault::Hang { host: 0, span: SECOND })]
fn a_primary_that_is_back_before_anyone_notices_still_is_one(#[case] fault: HostFault) {
    let mut world = world();
    world.inject(START, &fault);
    assert!(!world.is_primary(0));
    world.advance(START + 20 * SECOND);
    assert!(world.is_primary(0));
    assert!((1..5).all(|host| !world.is_primary(host)));
}

/// Guards against a soak in which whatever a host has told arrives.
#[test]
fn answers_are_lost_for_as_long_as_the_trouble_lasts() {
    let mut world = world();
    let lost = HostFault::LostAnswers { host: 1, share: 0.5, delivery: Delivery::Reset, span: SECOND };
    world.inject(START, &lost);
    let count =
        |world: &mut World, host| (0..1_000).filter(|_| world.delivery(host) == Delivery::Reset).count();
    assert!((400..600).contains(&count(&mut world, 1)));
    assert_eq!(count(&mut world, 2), 0);
    world.advance(START + SECOND);
    assert_eq!(count(&mut world, 1), 0);
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let history = |seed| {
        let spec = Spec::sapporo();
        let mut world = World::new(spec.clone(), seed, START);
        let mut script = Script::parity(10.0, spec.members);
        let mut effects = Vec::new();
        for (ticket, planned) in plan(&spec, seed, 100.0, 10 * SECOND).into_iter().enumerate() {
            let at = START + planned.at;
            effects.extend(world.advance(at));
            while let Some(fault) = script.due(planned.at) {
                effects.extend(world.inject(at, &fault));
            }
            let host = planned.group * spec.members + ticket % spec.members;
            let query = Query {
                id: planned.id,
                class: planned.class,
                session: planned.session,
                key: planned.key,
                until: at + SECOND,
            };
            effects.extend(world.arrive(at, ticket as u64, host, query));
        }
        effects
    };
    let first = history(3);
    assert!(first.len() > 500);
    assert!(first == history(3) && first != history(4));
}

#[rstest]
#[case::sent_long_after_a_drain(Rule::Drain, 1, |c: &mut Checker| {
    c.status_reported(START, 3, Status::Draining);
    c.sent(START + 2 * SECOND, 3, "a");
    c.sent(START + 3 * SECOND, 3, "b");
})]
#[case::back_after_a_drain(Rule::Drain, 0, |c: &mut Checker| {
    c.status_reported(START, 3, Status::Removed);
    c.status_reported(START + SECOND, 3, Status::Up);
    c.sent(START + 9 * SECOND, 3, "a");
})]
#[case::pushed_over(Rule::Cold, 1, |c: &mut Checker| c.cold_host_crashed(1))]
#[case::doubled(Rule::Key, 1, |c: &mut Checker| c.key_recorded_again("k"))]
#[case::stale(Rule::Stale, 1, |c: &mut Checker| c.replied(1, START, "a", &served(START - 1, START)))]
#[case::fresh(Rule::Stale, 0, |c: &mut Checker| c.replied(1, START, "a", &served(START, START)))]
#[case::excused_at_one_that_led(Rule::Stale, 0, |c: &mut Checker| {
    c.seen_as_primary(1);
    c.role_reported(START, 1, "a", false);
    c.replied(1, START + 50 * MS, "a", &served(START - 1, START));
})]
#[case::not_excused_once_told(Rule::Stale, 1, |c: &mut Checker| {
    c.seen_as_primary(1);
    c.role_reported(START, 1, "a", false);
    c.replied(1, START + 150 * MS, "a", &served(START - 1, START));
})]
#[case::answered_twice(Rule::Answer, 1, |c: &mut Checker| {
    c.asked("a", START + SECOND);
    c.answered(START, "a", None);
    c.answered(START, "a", None);
})]
#[case::answered_late(Rule::Answer, 1, |c: &mut Checker| {
    c.asked("a", START);
    c.answered(START + 60 * MS, "a", None);
})]
#[case::never_answered(Rule::Answer, 1, |c: &mut Checker| {
    c.asked("a", START);
    c.end();
})]
#[case::anothers_value(Rule::Value, 1, |c: &mut Checker| {
    c.asked("a", START);
    c.answered(START, "a", Some((b"value of b", "value of a")));
})]
fn planted_faults_are_found(#[case] rule: Rule, #[case] broken: usize, #[case] act: fn(&mut Checker)) {
    let mut checker = Checker::new(&Spec::sapporo());
    act(&mut checker);
    assert_eq!(checker.verdict(rule).1, broken, "{:?}", checker.breaches());
}

const FIRST: ProxyIncarnation = ProxyIncarnation { process: 0, incarnation: 1 };
const RESTARTED: ProxyIncarnation = ProxyIncarnation { process: 0, incarnation: 2 };

/// The checker of several proxies, with a host 1 that has been primary and has notified the first process of its role.
fn demoted() -> Checker {
    let mut checker = Checker::shared(&Spec::sapporo());
    checker.request_sent_to("a", FIRST);
    checker.request_sent_to("b", FIRST);
    checker.request_sent_to("c", RESTARTED);
    checker.seen_as_primary(1);
    checker.role_reported(START, 1, "a", false);
    checker
}

/// Guards against excusing reads at a former primary for all processes, since it is not known which of them was notified.
#[rstest]
#[case::of_the_process_that_was_notified("b", 100 * MS, 1)]
#[case::before_the_answer_counts_as_known("b", 99 * MS, 0)]
#[case::of_another_incarnation("c", SECOND, 0)]
#[case::of_an_unknown_process("d", SECOND, 0)]
fn a_read_sent_to_a_former_primary_is_judged_by_process(
    #[case] id: &str,
    #[case] after: Micros,
    #[case] broken: usize,
) {
    let mut checker = demoted();
    let now = START + after;
    checker.read_sent(now, 1, id, now - SECOND, now - 200 * MS);
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
    let mut checker = demoted();
    checker.replied(1, now, id, &served(now - SECOND, now - 200 * MS));
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
}

/// Guards against judging reads only by answers that arrive: a send to a replica that lags is a breach by itself.
#[rstest]
#[case::too_old(51 * MS, 1)]
#[case::within_the_slack_of_sockets(50 * MS, 0)]
fn a_read_sent_to_a_lagging_replica_is_found_without_its_answer(#[case] age: Micros, #[case] broken: usize) {
    let mut checker = Checker::shared(&Spec::sapporo());
    checker.request_sent_to("a", FIRST);
    checker.read_sent(START, 2, "a", START - age, START);
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
    checker.replied(2, START, "a", &served(START - age, START));
    assert_eq!(checker.verdict(Rule::Stale), (2, 2 * broken), "{:?}", checker.breaches());
}

/// Guards against judging a process by what it was told while it was stopped.
#[rstest]
#[case::while_it_may_be_stopped(249 * MS, 0)]
#[case::after_that(250 * MS, 1)]
fn a_process_that_is_held_up_is_given_that_time(#[case] after: Micros, #[case] broken: usize) {
    let mut checker = demoted();
    checker.process_pauses(FIRST.process, 150 * MS);
    checker.read_sent(START + after, 1, "b", START - SECOND, START);
    assert_eq!(checker.verdict(Rule::Stale).1, broken, "{:?}", checker.breaches());
}

/// Guards against an old notification that outlives a new term as the primary.
#[test]
fn a_host_that_leads_again_is_excused_until_it_notifies_again() {
    let mut checker = demoted();
    checker.seen_as_primary(1);
    checker.read_sent(START + SECOND, 1, "b", START, START + SECOND);
    assert_eq!(checker.verdict(Rule::Stale).1, 0, "{:?}", checker.breaches());
    checker.role_reported(START + SECOND, 1, "b", false);
    checker.read_sent(START + 2 * SECOND, 1, "b", START, START + 2 * SECOND);
    assert_eq!(checker.verdict(Rule::Stale).1, 1, "{:?}", checker.breaches());
}

/// Guards against old data that reach the client from a host whose role was still unknown: the answer states both.
#[test]
fn what_a_client_is_served_is_never_excused() {
    let serve = |answers: &[Reply]| {
        let mut checker = Checker::shared(&Spec::sapporo());
        checker.seen_as_primary(1);
        checker.asked("a", START + SECOND);
        checker.request_sent_to("a", FIRST);
        answers.iter().for_each(|answer| checker.replied(1, START, "a", answer));
        checker.answered(START, "a", Some((b"value of a", "value of a")));
        checker.verdict(Rule::Stale).1
    };
    let (stale, fresh) = (served(START - SECOND, START), served(START, START));
    assert_eq!(serve(std::slice::from_ref(&stale)), 1);
    // One of two attempts was withheld, or not: both are allowed.
    assert_eq!(serve(&[stale, fresh]), 0);
}

fn served(position: Micros, needed: Micros) -> Reply {
    Reply::Served { content: String::new(), position, primary: false, needed: Some(needed) }
}
