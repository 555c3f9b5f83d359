//! A fleet of proxies that call one discovery service of fixed capacity, in virtual time.

mod discovery;

use discovery::{Outage, Scenario, Start};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BinaryHeap, VecDeque};
use std::{cmp::Reverse, time::Duration};
use wheelpier_decisions::membership::DiscoveryRetry;

/// A watch that received nothing for this long is considered dead (`src/net/discovery/mod.rs`).
const SILENCE: Duration = Duration::from_millis(2_500);

/// A call that would be queued for longer than this fails at once.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a fast discovery service needs for one call.
const FAST_CALL: Duration = Duration::from_millis(50);

/// Removes and returns the next call that is due by `now`.
fn pop_due(
    due: &mut BinaryHeap<Reverse<(Duration, usize)>>,
    now: Duration,
) -> Option<Reverse<(Duration, usize)>> {
    due.peek().filter(|Reverse((at, _))| *at <= now)?;
    due.pop()
}

/// Returns when the last of `routers` proxies that call at the same time was answered, or `None` if not all
/// are within a minute. `is_start` says whether they have just started.
fn last_answer(routers: u32, is_polled: bool, is_start: bool) -> Option<Duration> {
    let fleet = (0..routers).map(|n| DiscoveryRetry::new(routers, is_polled, n.into())).collect();
    last_answer_by(FAST_CALL, fleet, is_start)
}

/// Returns when the last proxy of `fleet` was answered by a discovery service that needs `call_duration` for
/// each call, one after the other, or `None` if not all are within a minute.
fn last_answer_by(
    call_duration: Duration,
    mut fleet: Vec<DiscoveryRetry>,
    is_start: bool,
) -> Option<Duration> {
    let max_queued = QUEUE_TIMEOUT.div_duration_f64(call_duration) as usize;
    let mut due = BinaryHeap::new();
    for (n, retry) in fleet.iter_mut().enumerate() {
        let at = if is_start { retry.initial_delay() } else { Duration::ZERO };
        due.push(Reverse((at, n)));
    }
    // The queued proxies, each with the time until which it waits.
    let mut queue: VecDeque<(usize, Duration)> = VecDeque::new();
    let mut answered = vec![false; fleet.len()];
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(60) {
        now += call_duration;
        while let Some(Reverse((at, n))) = pop_due(&mut due, now) {
            if queue.len() < max_queued {
                queue.push_back((n, at + fleet[n].call_timeout()));
            } else {
                due.push(Reverse((now + fleet[n].delay_after_failure(false, Duration::ZERO), n)));
            }
        }
        let Some((n, waits_until)) = queue.pop_front() else { continue };
        if now <= waits_until {
            answered[n] = true;
        } else {
            let lasted = fleet[n].call_timeout();
            due.push(Reverse((waits_until.max(now) + fleet[n].delay_after_failure(false, lasted), n)));
        }
        if answered.iter().all(|answered| *answered) {
            return Some(now);
        }
    }
    None
}

#[test]
fn a_fleet_that_starts_together_is_answered_in_about_the_time_that_discovery_needs() {
    let last = last_answer(100, true, true).expect("all are answered");
    assert!(last < Duration::from_secs(20), "{last:?}");
}

#[test]
fn a_fleet_that_loses_its_watches_together_is_answered_soon_after() {
    let last = last_answer(100, true, false).expect("all are answered");
    assert!(last < Duration::from_secs(30), "{last:?}");
}

/// Three or four proxies start at the same time, and a call takes up to one second. A proxy that gives up a
/// call before discovery does (1.2 s was too short) leaves a call there that delays the other proxies.
#[test]
fn a_few_proxies_that_start_together_wait_for_a_slow_discovery() {
    for seed in 0..50 {
        let fleet = (0..4).map(|n| DiscoveryRetry::new(4, true, seed * 4 + n)).collect();
        let last = last_answer_by(Duration::from_secs(1), fleet, true).expect("all are answered");
        assert!(last <= Duration::from_secs(8), "seed {seed}: {last:?}");
    }
}

#[test]
fn a_fleet_that_does_not_spread_its_calls_is_not_answered_within_a_minute() {
    assert_eq!(last_answer(100, false, false), None);
}

#[test]
fn a_few_proxies_call_promptly() {
    let mut retry = DiscoveryRetry::new(4, true, 7);
    assert!(retry.initial_delay() <= Duration::from_millis(150));
    assert!((0..20).all(|_| retry.delay_after_failure(false, Duration::ZERO) <= Duration::from_secs(1)));
    let mut pushed = DiscoveryRetry::new(100, false, 7);
    assert_eq!(pushed.initial_delay(), Duration::ZERO);
    // A list that the agent on the same machine gets when discovery returns is read well within the shortest
    // grace period, 0.5 s, however long discovery was down.
    for _ in 0..100 {
        assert!(
            pushed.delay_after_failure(false, Duration::ZERO) + pushed.call_timeout()
                <= Duration::from_millis(350)
        );
    }
    assert_eq!(pushed.call_timeout() * pushed.max_concurrent_calls() as u32, Duration::from_secs(1));
}

/// After a silent watch and a first call that hangs, the next call is placed well before 6 s have passed.
#[test]
fn silence_and_one_call_that_hangs_leave_time_for_another() {
    let fleets = [1, 6].into_iter().flat_map(|routers| [(routers, true), (routers, false)]);
    for (seed, (routers, is_polled)) in (0..100).flat_map(|seed| fleets.clone().map(move |f| (seed, f))) {
        let mut retry = DiscoveryRetry::new(routers, is_polled, seed);
        let at = SILENCE + retry.delay_after_failure(true, SILENCE) + retry.call_timeout();
        assert!(retry.max_concurrent_calls() > 1);
        assert!(at <= Duration::from_millis(5_250), "seed {seed}, {routers}, {is_polled}: {at:?}");
    }
}

/// A proxy of a large fleet calls a little later, and leaves 2 s for its call.
#[test]
fn after_silence_a_large_fleet_leaves_time_for_a_call_that_is_queued() {
    for (seed, routers) in (0..100).flat_map(|seed| [30, 300].map(move |routers| (seed, routers))) {
        let mut retry = DiscoveryRetry::new(routers, true, seed);
        let at = SILENCE + retry.delay_after_failure(true, SILENCE);
        assert!(at <= Duration::from_secs(4), "seed {seed}, {routers}: {at:?}");
    }
}

/// Calls that failed while queued are still processed. A fleet that continued to call as often would keep
/// discovery busy with failed calls, so that no proxy is answered any more; an overloaded discovery has to
/// recover.
#[test]
fn an_overloaded_discovery_recovers() {
    for seed in 0..20 {
        let call_duration = Duration::from_millis(82);
        let (outage, outage_end) = (Outage::Refuses, Duration::from_secs(8));
        let scenario = Scenario {
            routers: 100,
            pollers: 100,
            is_polled: true,
            call_duration,
            start: Start::Reset,
            outage,
            outage_end,
        };
        let outcome = discovery::simulate(scenario, seed);
        assert!(outcome.worst() < Duration::from_secs(45), "seed {seed}: {:?}", outcome.worst());
    }
}

/// Generates scenarios in which each proxy has to know a change within 6 s after discovery had it and was
/// reachable, including the time of its call, whatever failed before. Discovery needs up to 2.5 s for the
/// calls of the whole fleet, and up to 1 s for one call.
fn scenarios() -> impl Strategy<Value = Scenario> {
    let routers = prop::sample::select(vec![1, 2, 3, 6, 30, 100, 300]);
    let start = prop::sample::select(vec![Start::Reset, Start::Silent(SILENCE), Start::Moved, Start::Fresh]);
    let outage = prop::sample::select(vec![Outage::Refuses, Outage::Unanswered]);
    (routers, 0.05..2.5, start, outage, 0u64..30_000).prop_map(
        |(routers, fleet_seconds, start, outage, outage_end_ms)| Scenario {
            routers,
            pollers: routers,
            is_polled: true,
            call_duration: Duration::from_secs_f64(f64::min(fleet_seconds / f64::from(routers), 1.0)),
            start,
            outage,
            outage_end: Duration::from_millis(outage_end_ms),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_change_is_known_within_six_seconds_after_it_was_reachable(
        scenario in scenarios(),
        seed in 0u64..1_000,
    ) {
        let outcome = discovery::simulate(scenario, seed);
        prop_assert!(outcome.worst() <= Duration::from_secs(6), "{scenario:?}: {:?}", outcome.worst());
    }

    /// If new settings name another discovery service that can be reached, a change is known within 4 s.
    #[test]
    fn a_change_is_known_within_four_seconds_after_new_settings(
        scenario in scenarios(),
        seed in 0u64..1_000,
    ) {
        let moved = Scenario { start: Start::Moved, outage_end: Duration::ZERO, ..scenario };
        let outcome = discovery::simulate(moved, seed);
        prop_assert!(outcome.worst() <= Duration::from_secs(4), "{scenario:?}: {:?}", outcome.worst());
    }

    /// A list pushed by an agent on the same machine is known at once, well within the shortest grace period
    /// of 0.5 s.
    #[test]
    fn a_pushed_change_is_known_at_once(scenario in scenarios(), seed in 0u64..1_000) {
        let call_duration = Duration::from_millis(1);
        let scenario = Scenario { routers: 1, pollers: 1, is_polled: false, call_duration, ..scenario };
        // The time until a silent watch is noticed does not count here: another timer bounds it.
        let noticed = if let Start::Silent(noticed) = scenario.start { noticed } else { Duration::ZERO };
        let outage_end = scenario.outage_end.max(noticed);
        let outcome = discovery::simulate(Scenario { outage_end, ..scenario }, seed);
        prop_assert!(outcome.worst() <= Duration::from_millis(360), "{scenario:?}: {:?}", outcome.worst());
    }
}

/// A fleet that calls at the same time is answered not much later than discovery needs for all its calls, and
/// without a wasted call. Checks the mean and the worst latency over 20 seeds.
#[test]
fn a_fleet_of_any_size_is_answered_in_about_the_time_that_discovery_needs() {
    for (routers, fleet_seconds) in [(3, 0.7), (30, 0.7), (30, 1.4), (300, 0.7), (300, 2.5), (300, 3.8)] {
        for (start, outage, outage_end_s) in [
            (Start::Reset, Outage::Refuses, 0),
            (Start::Reset, Outage::Refuses, 7),
            (Start::Fresh, Outage::Refuses, 0),
            (Start::Moved, Outage::Refuses, 0),
        ] {
            let call_duration = Duration::from_secs_f64(fleet_seconds / f64::from(routers));
            let outage_end = Duration::from_secs(outage_end_s);
            let scenario = Scenario {
                routers,
                pollers: routers,
                is_polled: true,
                call_duration,
                start,
                outage,
                outage_end,
            };
            let outcomes: Vec<_> = (0..20).map(|seed| discovery::simulate(scenario, seed)).collect();
            let mean = outcomes.iter().map(|outcome| outcome.mean()).sum::<Duration>() / 20;
            let worst = outcomes.iter().map(|outcome| outcome.worst()).max().unwrap_or_default();
            let wasted: usize = outcomes.iter().map(|outcome| outcome.wasted).sum();
            println!("{scenario:?}: mean {mean:?}, worst {worst:?}, wasted {wasted}");
            assert!(mean <= Duration::from_millis(2_500), "{scenario:?}: {mean:?}");
            assert!(
                worst <= Duration::from_secs_f64(f64::max(fleet_seconds, 4.0) + 0.3),
                "{scenario:?}: {worst:?}"
            );
            assert_eq!(wasted, 0, "{scenario:?}");
        }
    }
}

/// 10 % or 70 % of 300 proxies start at the same time. Discovery needs up to 3.8 s for the calls of all 300.
#[rstest]
fn ninety_percent_of_restarted_proxies_have_a_list_within_ten_seconds(
    #[values(30, 210)] pollers: u32,
    #[values(0.7, 2.5, 3.8)] fleet_seconds: f64,
) {
    let call_duration = Duration::from_secs_f64(fleet_seconds / 300.0);
    let outage = Outage::Refuses;
    let scenario = Scenario {
        routers: 300,
        pollers,
        is_polled: true,
        call_duration,
        start: Start::Fresh,
        outage,
        outage_end: Duration::ZERO,
    };
    let percentiles = (0..50).map(|seed| discovery::simulate(scenario, seed).ninetieth_percentile());
    let worst = percentiles.max().unwrap_or_default();
    println!("{pollers} of 300, {fleet_seconds} s: 90 % within {worst:?}");
    assert!(worst <= Duration::from_secs(10), "{worst:?}");
}

#[test]
fn proxies_that_failed_together_do_not_call_together() {
    let delays = |n| {
        let mut retry = DiscoveryRetry::new(100, true, n);
        (retry.delay_after_failure(true, Duration::ZERO), retry.delay_after_failure(false, Duration::ZERO))
    };
    let (mut first, mut second): (Vec<_>, Vec<_>) = (0..100).map(delays).unzip();
    for delays in [&mut first, &mut second] {
        delays.sort();
        let shortest_span = delays.windows(11).map(|w| w[10] - w[0]).min().unwrap_or_default();
        assert!(shortest_span > Duration::from_millis(80), "eleven proxies call within {shortest_span:?}");
    }
}

#[test]
fn failures_at_an_old_address_do_not_delay_calls_to_a_new_one() {
    let mut retry = DiscoveryRetry::new(2, true, 7);
    (0..10).for_each(|_| _ = retry.delay_after_failure(false, Duration::ZERO));
    assert!(retry.delay_after_failure(false, Duration::ZERO) >= Duration::from_millis(500));
    retry.delay_after_move();
    assert!(retry.delay_after_failure(false, Duration::ZERO) <= Duration::from_millis(100));
}
