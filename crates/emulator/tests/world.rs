//! Tests of the simulated world without sockets, and of the checker: each rule is shown to detect a
//! violation.

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

/// Returns the reply to a ticket among the effects.
fn reply(effects: &[Effect], ticket: u64) -> Option<&Reply> {
    effects.iter().find_map(|effect| match effect {
        Effect::Reply(replied, reply) if *replied == ticket => Some(reply),
        _ => None,
    })
}

#[test]
fn service_time_is_within_the_class_limits_and_equal_for_each_attempt() {
    let service_time = |host| {
        let mut world = world();
        assert_eq!(world.arrive(START, 1, host, query("a", "price-lookup")), []);
        let done = world.next().unwrap();
        assert!(matches!(reply(&world.advance(done), 1), Some(Reply::Served { .. })));
        done - START
    };
    assert!((44 * MS..=77 * MS).contains(&service_time(0)));
    assert_eq!(service_time(0), service_time(3));
}

#[test]
fn cores_and_queue_limit_the_requests_that_a_host_holds() {
    let mut world = world();
    let capacity = (world.spec().cores + world.spec().queue_limit) as u64;
    for ticket in 0..capacity {
        assert_eq!(world.arrive(START, ticket, 1, query(&ticket.to_string(), "daily-report")), []);
    }
    let full = world.arrive(START, capacity, 1, query("last", "daily-report"));
    assert_eq!(reply(&full, capacity), Some(&Reply::Full));
    assert_eq!(world.advance(START + 100 * SECOND).len() as u64, capacity);
}

#[test]
fn only_the_primary_accepts_writes_and_it_drops_repeats_within_the_window() {
    let mut world = world();
    let rejected = world.arrive(START, 1, 1, query("w", "sale-write"));
    assert_eq!(reply(&rejected, 1), Some(&Reply::ReadOnly));
    let mut commits = Vec::new();
    for (ticket, after) in [(2, 0), (3, 2 * SECOND), (4, 4 * SECOND)] {
        world.arrive(START + after, ticket, 0, query("w", "sale-write"));
        let effects = world.advance(START + after + SECOND);
        let Some(Reply::Served { position, .. }) = reply(&effects, ticket) else { panic!("not served") };
        commits.push(*position);
        // Outside the window the key is recorded again, and the world reports it.
        let is_recorded_again = effects.iter().any(|effect| matches!(effect, Effect::KeyRecordedAgain(_)));
        assert_eq!(is_recorded_again, ticket == 4);
    }
    assert_eq!(commits[0], commits[1]);
    assert_eq!((world.keys(0).len(), world.keys(0).recorded_again()), (1, 1));
}

#[test]
fn dead_primary_is_replaced_and_returns_as_a_cold_replica() {
    let mut world = world();
    let effects = world.inject(START, &HostFault::Death { host: 0, span: 10 * SECOND });
    assert_eq!(effects, [Effect::ConnectionsBroken(0)]);
    world.advance(START + 100 * MS);
    // No position advances while there is no primary.
    let position = world.position(1, START + 200 * MS);
    assert_eq!(world.position(1, START + SECOND), position);
    assert!(!(0..5).any(|host| world.is_primary(host)));
    let effects = world.advance(START + 11 * SECOND);
    assert!(effects.contains(&Effect::ConnectionsAccepted(0)));
    assert!(!world.is_primary(0) && (1..5).any(|host| world.is_primary(host)));
    assert!(world.warmth(0, START + 11 * SECOND) < 0.3);
    assert_eq!(world.warmth(0, START + 30 * SECOND), 1.0);
}

#[test]
fn cold_host_crashes_when_it_is_sent_too_much() {
    let mut world = world();
    world.inject(START, &HostFault::Death { host: 1, span: SECOND });
    world.advance(START + SECOND);
    let mut has_crashed = false;
    for n in 0..400 {
        let at = START + SECOND + n * 5 * MS;
        world.advance(at);
        let effects = world.arrive(at, n as u64, 1, query(&n.to_string(), "daily-report"));
        has_crashed |= effects.contains(&Effect::ColdHostCrashed(1));
    }
    assert!(has_crashed);
}

#[test]
fn lagging_replica_falls_behind_and_catches_up() {
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
fn read_waits_for_a_lagging_host_and_is_then_rejected() {
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
fn hung_host_answers_nothing_and_draining_host_rejects_new_requests() {
    let mut world = world();
    world.arrive(START, 1, 1, query("a", "daily-report"));
    world.inject(START, &HostFault::Drain { host: 1, span: SECOND });
    let rejected = world.arrive(START + 1, 2, 1, query("b", "daily-report"));
    assert_eq!(reply(&rejected, 2), Some(&Reply::Full));
    assert!(reply(&world.advance(START + SECOND), 1).is_some());
    world.inject(START + SECOND, &HostFault::Hang { host: 2, span: SECOND });
    world.arrive(START + SECOND, 3, 2, query("c", "daily-report"));
    let later = world.advance(START + 100 * SECOND);
    assert_eq!(reply(&later, 3), None);
}

/// Guards against soak tests in which former primaries catch up at once, or return cold and announced by the
/// endpoint list.
#[test]
fn isolated_primary_returns_as_a_replica_at_its_old_position() {
    let mut world = world();
    for host in 0..5 {
        world.inject(START, &HostFault::Lag { host, times: 1e6, span: 100 * SECOND });
    }
    let isolation = HostFault::Isolation { host: 0, span: 2 * SECOND };
    assert_eq!(world.inject(START, &isolation), [Effect::ConnectionsBroken(0)]);
    assert_eq!((world.state(0), world.runs(0)), (State::Isolated, false));
    assert_eq!(world.arrive(START, 1, 0, query("a", "price-lookup")), []);
    // A second isolation while the host is isolated has no effect, nor has its end.
    assert_eq!(world.inject(START + MS, &isolation), []);
    let later = START + 2 * SECOND;
    assert_eq!(world.advance(later), [Effect::ConnectionsAccepted(0)]);
    assert!(world.runs(0) && !world.is_primary(0));
    assert!(world.position(0, later) < START + 10 * MS);
    assert_eq!((world.warmth(0, later), world.started(0)), (1.0, None));
    assert_eq!(reply(&world.arrive(later, 2, 0, query("w", "sale-write")), 2), Some(&Reply::ReadOnly));
}

/// Guards against primaries that lose their role before their group could have noticed their absence.
#[rstest]
#[case::isolated(HostFault::Isolation { host: 0, span: SECOND })]
#[case::hung(HostFault::Hang { host: 0, span: SECOND })]
fn primary_that_returns_before_its_group_notices_keeps_its_role(#[case] fault: HostFault) {
    let mut world = world();
    world.inject(START, &fault);
    assert!(!world.is_primary(0));
    world.advance(START + 20 * SECOND);
    assert!(world.is_primary(0));
    assert!((1..5).all(|host| !world.is_primary(host)));
}

/// Guards against soak tests in which every answer of a host arrives.
#[test]
fn answers_are_lost_only_while_the_fault_lasts() {
    let mut world = world();
    let loss = HostFault::LostAnswers { host: 1, share: 0.5, delivery: Delivery::Reset, span: SECOND };
    world.inject(START, &loss);
    let count =
        |world: &mut World, host| (0..1_000).filter(|_| world.delivery(host) == Delivery::Reset).count();
    assert!((400..600).contains(&count(&mut world, 1)));
    assert_eq!(count(&mut world, 2), 0);
    world.advance(START + SECOND);
    assert_eq!(count(&mut world, 1), 0);
}

#[test]
fn same_seed_gives_the_same_history() {
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
#[case::sent_long_after_a_drain(Rule::Drain, 1, |checker: &mut Checker| {
    checker.status_reported(START, 3, Status::Draining);
    checker.sent(START + 2 * SECOND, 3, "a");
    checker.sent(START + 3 * SECOND, 3, "b");
})]
#[case::up_again_after_a_removal(Rule::Drain, 0, |checker: &mut Checker| {
    checker.status_reported(START, 3, Status::Removed);
    checker.status_reported(START + SECOND, 3, Status::Up);
    checker.sent(START + 9 * SECOND, 3, "a");
})]
#[case::cold_host_crashed(Rule::Cold, 1, |checker: &mut Checker| checker.cold_host_crashed(1))]
#[case::key_recorded_again(Rule::Key, 1, |checker: &mut Checker| checker.key_recorded_again("k"))]
#[case::stale(Rule::Stale, 1, |checker: &mut Checker| {
    checker.replied(1, START, "a", &served(START - 1, START));
})]
#[case::fresh(Rule::Stale, 0, |checker: &mut Checker| checker.replied(1, START, "a", &served(START, START)))]
#[case::excused_at_a_former_primary(Rule::Stale, 0, |checker: &mut Checker| {
    checker.seen_as_primary(1);
    checker.role_reported(START, 1, "a", false);
    checker.replied(1, START + 50 * MS, "a", &served(START - 1, START));
})]
#[case::not_excused_once_the_change_is_known(Rule::Stale, 1, |checker: &mut Checker| {
    checker.seen_as_primary(1);
    checker.role_reported(START, 1, "a", false);
    checker.replied(1, START + 150 * MS, "a", &served(START - 1, START));
})]
#[case::answered_twice(Rule::Answer, 1, |checker: &mut Checker| {
    checker.asked("a", START + SECOND);
    checker.answered(START, "a", None);
    checker.answered(START, "a", None);
})]
#[case::answered_late(Rule::Answer, 1, |checker: &mut Checker| {
    checker.asked("a", START);
    checker.answered(START + 60 * MS, "a", None);
})]
#[case::never_answered(Rule::Answer, 1, |checker: &mut Checker| {
    checker.asked("a", START);
    checker.end();
})]
#[case::value_of_another_request(Rule::Value, 1, |checker: &mut Checker| {
    checker.asked("a", START);
    checker.answered(START, "a", Some((b"value of b", "value of a")));
})]
fn checker_detects_violations(#[case] rule: Rule, #[case] broken: usize, #[case] act: fn(&mut Checker)) {
    let mut checker = Checker::new(&Spec::sapporo());
    act(&mut checker);
    assert_eq!(checker.verdict(rule).1, broken, "{:?}", checker.breaches());
}

const FIRST: ProxyIncarnation = ProxyIncarnation { process: 0, incarnation: 1 };
const RESTARTED: ProxyIncarnation = ProxyIncarnation { process: 0, incarnation: 2 };

/// Returns a checker of several proxies. Host 1 has been the primary and has told the first process that it
/// no longer is.
fn checker_with_former_primary() -> Checker {
    let mut checker = Checker::shared(&Spec::sapporo());
    checker.request_sent_to("a", FIRST);
    checker.request_sent_to("b", FIRST);
    checker.request_sent_to("c", RESTARTED);
    checker.seen_as_primary(1);
    checker.role_reported(START, 1, "a", false);
    checker
}

/// Guards against excusing reads at a former primary for all processes because it is not known which of them
/// was told of the change of role.
#[rstest]
#[case::of_the_process_that_was_told("b", 100 * MS, 1)]
#[case::before_the_answer_counts_as_known("b", 99 * MS, 0)]
#[case::of_another_incarnation("c", SECOND, 0)]
#[case::of_an_unknown_process("d", SECOND, 0)]
fn read_at_a_former_primary_is_judged_by_what_its_process_was_told(
    #[case] id: &str,
    #[case] after: Micros,
    #[case] broken: usize,
) {
    let mut checker = checker_with_former_primary();
    let now = START + after;
    checker.read_sent(now, 1, id, now - SECOND, now - 200 * MS);
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
    let mut checker = checker_with_former_primary();
    checker.replied(1, now, id, &served(now - SECOND, now - 200 * MS));
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
}

/// Guards against judging reads only by answers that arrive: sending to a lagging replica is a violation by
/// itself.
#[rstest]
#[case::too_old(51 * MS, 1)]
#[case::within_the_time_tolerance(50 * MS, 0)]
fn read_sent_to_a_lagging_replica_is_detected_without_its_answer(#[case] age: Micros, #[case] broken: usize) {
    let mut checker = Checker::shared(&Spec::sapporo());
    checker.request_sent_to("a", FIRST);
    checker.read_sent(START, 2, "a", START - age, START);
    assert_eq!(checker.verdict(Rule::Stale), (1, broken), "{:?}", checker.breaches());
    checker.replied(2, START, "a", &served(START - age, START));
    assert_eq!(checker.verdict(Rule::Stale), (2, 2 * broken), "{:?}", checker.breaches());
}

/// Guards against judging a process by messages that it was sent while it was paused.
#[rstest]
#[case::while_it_may_be_paused(249 * MS, 0)]
#[case::after_that(250 * MS, 1)]
fn paused_process_is_granted_the_length_of_its_pause(#[case] after: Micros, #[case] broken: usize) {
    let mut checker = checker_with_former_primary();
    checker.process_pauses(FIRST.process, 150 * MS);
    checker.read_sent(START + after, 1, "b", START - SECOND, START);
    assert_eq!(checker.verdict(Rule::Stale).1, broken, "{:?}", checker.breaches());
}

/// Guards against an old report of a lost role that still counts after the host has become the primary again.
#[test]
fn primary_elected_again_is_excused_until_it_reports_the_loss_of_its_role() {
    let mut checker = checker_with_former_primary();
    checker.seen_as_primary(1);
    checker.read_sent(START + SECOND, 1, "b", START, START + SECOND);
    assert_eq!(checker.verdict(Rule::Stale).1, 0, "{:?}", checker.breaches());
    checker.role_reported(START + SECOND, 1, "b", false);
    checker.read_sent(START + 2 * SECOND, 1, "b", START, START + 2 * SECOND);
    assert_eq!(checker.verdict(Rule::Stale).1, 1, "{:?}", checker.breaches());
}

/// Guards against serving old data from a host whose role was still unknown: the answer states both role and
/// position.
#[test]
fn served_reads_are_never_excused() {
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
    // Either answer may be the one that was served, so one fresh answer suffices.
    assert_eq!(serve(&[stale, fresh]), 0);
}

fn served(position: Micros, needed: Micros) -> Reply {
    Reply::Served { content: String::new(), position, primary: false, needed: Some(needed) }
}
