//! A fleet that asks one discovery of fixed capacity, in virtual time.

mod discovery;

use discovery::{Day, Outage, Start};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BinaryHeap, VecDeque};
use std::{cmp::Reverse, time::Duration};
use wheelpier_decisions::membership::DiscoveryRetry;

/// A watch that shows no sign of life for so long is held to be dead (`src/net/discovery.rs`).
const SILENCE: Duration = Duration::from_millis(2_500);

/// A call that would wait longer than this fails at once.
const WAITS: Duration = Duration::from_secs(2);
/// What a call takes of a fast discovery.
const FAST: Duration = Duration::from_millis(50);

/// The next call that is due by now.
fn pop_due(
    due: &mut BinaryHeap<Reverse<(Duration, usize)>>,
    now: Duration,
) -> Option<Reverse<(Duration, usize)>> {
    due.peek().filter(|Reverse((at, _))| *at <= now)?;
    due.pop()
}

/// When each proxy was told, if all ask anew from nothing; the last of them. `None`: not all within a minute.
fn last_told(routers: u32, is_polled: bool, first: bool) -> Option<Duration> {
    let fleet = (0..routers).map(|n| DiscoveryRetry::new(routers, is_polled, n.into())).collect();
    last_told_by(FAST, fleet, first)
}

/// The same of a discovery that takes so long for a call, one after the other.
fn last_told_by(serves: Duration, mut fleet: Vec<DiscoveryRetry>, first: bool) -> Option<Duration> {
    let most = WAITS.div_duration_f64(serves) as usize;
    let mut due = BinaryHeap::new();
    for (n, retry) in fleet.iter_mut().enumerate() {
        let at = if first { retry.initial_delay() } else { Duration::ZERO };
        due.push(Reverse((at, n)));
    }
    // Who waits, until when it does, and who was told.
    let mut queue: VecDeque<(usize, Duration)> = VecDeque::new();
    let mut told = vec![false; fleet.len()];
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(60) {
        now += serves;
        while let Some(Reverse((at, n))) = pop_due(&mut due, now) {
            if queue.len() < most {
                queue.push_back((n, at + fleet[n].call_timeout()));
            } else {
                due.push(Reverse((now + fleet[n].delay_after_failure(false, Duration::ZERO), n)));
            }
        }
        let Some((n, until)) = queue.pop_front() else { continue };
        if now <= until {
            told[n] = true;
        } else {
            let lasted = fleet[n].call_timeout();
            due.push(Reverse((until.max(now) + fleet[n].delay_after_failure(false, lasted), n)));
        }
        if told.iter().all(|told| *told) {
            return Some(now);
        }
    }
    None
}

#[test]
fn a_fleet_that_starts_together_is_told_in_about_the_time_that_discovery_needs() {
    let last = last_told(100, true, true).expect("all are told");
    assert!(last < Duration::from_secs(20), "{last:?}");
}

#[test]
fn a_fleet_that_loses_its_watch_together_is_told_soon_after() {
    let last = last_told(100, true, false).expect("all are told");
    assert!(last < Duration::from_secs(30), "{last:?}");
}

/// The second deployment: a call takes up to a second, and its three or four proxies start in step. Who gives up
/// before discovery does (1.2 s were too few) leaves a call there that costs the others their turn.
#[test]
fn a_few_that_start_in_step_wait_for_a_discovery_that_is_slow() {
    for seed in 0..50 {
        let fleet = (0..4).map(|n| DiscoveryRetry::new(4, true, seed * 4 + n)).collect();
        let last = last_told_by(Duration::from_secs(1), fleet, true).expect("all are told");
        assert!(last <= Duration::from_secs(8), "seed {seed}: {last:?}");
    }
}

#[test]
fn the_same_fleet_asking_as_if_each_were_alone_is_not() {
    assert_eq!(last_told(100, false, false), None);
}

#[test]
fn a_few_proxies_ask_as_promptly_as_ever() {
    let mut retry = DiscoveryRetry::new(4, true, 7);
    assert!(retry.initial_delay() <= Duration::from_millis(150));
    assert!((0..20).all(|_| retry.delay_after_failure(false, Duration::ZERO) <= Duration::from_secs(1)));
    let mut pushed = DiscoveryRetry::new(100, false, 7);
    assert_eq!(pushed.initial_delay(), Duration::ZERO);
    // What an agent on the own machine gets when discovery returns is read well within the shortest grace, 0.5 s,
    // however long discovery was down.
    for _ in 0..100 {
        assert!(
            pushed.delay_after_failure(false, Duration::ZERO) + pushed.call_timeout()
                <= Duration::from_millis(350)
        );
    }
    assert_eq!(pushed.call_timeout() * pushed.max_concurrent_calls() as u32, Duration::from_secs(1));
}

/// A watch that is held to be dead, and a first call that hangs: the next one is placed well before 6 s are over.
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

/// One of many asks a little later, and leaves 2 s for its call.
#[test]
fn after_silence_many_leave_time_for_a_call_that_queues() {
    for (seed, routers) in (0..100).flat_map(|seed| [30, 300].map(move |routers| (seed, routers))) {
        let mut retry = DiscoveryRetry::new(routers, true, seed);
        let at = SILENCE + retry.delay_after_failure(true, SILENCE);
        assert!(at <= Duration::from_secs(4), "seed {seed}, {routers}: {at:?}");
    }
}

/// Calls that queue in vain are worked off all the same. A discovery that is overbooked catches up: a fleet that would ask
/// as often as ever keeps it busy with calls that have failed, and nobody is answered any more.
#[test]
fn an_overbooked_discovery_catches_up() {
    for seed in 0..20 {
        let serves = Duration::from_millis(82);
        let (outage, until) = (Outage::Refuses, Duration::from_secs(8));
        let day =
            Day { routers: 100, asks: 100, is_polled: true, serves, start: Start::Reset, outage, until };
        let found = discovery::play(day, seed);
        assert!(found.worst() < Duration::from_secs(45), "seed {seed}: {:?}", found.worst());
    }
}

/// From the moment in which discovery has a change and can be reached, each proxy holds it within 6 s, its call's time
/// included, whatever failed before. The fleet's calls together take up to 2.5 s of discovery, one up to 1 s.
fn days() -> impl Strategy<Value = Day> {
    let routers = prop::sample::select(vec![1, 2, 3, 6, 30, 100, 300]);
    let start = prop::sample::select(vec![Start::Reset, Start::Silent(SILENCE), Start::Moved, Start::Fresh]);
    let outage = prop::sample::select(vec![Outage::Refuses, Outage::Mute]);
    (routers, 0.05..2.5, start, outage, 0u64..30_000).prop_map(|(routers, takes, start, outage, until)| Day {
        routers,
        asks: routers,
        is_polled: true,
        serves: Duration::from_secs_f64(f64::min(takes / f64::from(routers), 1.0)),
        start,
        outage,
        until: Duration::from_millis(until),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_change_is_held_within_six_seconds_of_when_it_could_be_had(day in days(), seed in 0u64..1_000) {
        let found = discovery::play(day, seed);
        prop_assert!(found.worst() <= Duration::from_secs(6), "{day:?}: {:?}", found.worst());
    }

    /// New settings that name another discovery: 4 s, if that can be reached.
    #[test]
    fn and_within_four_of_new_settings(day in days(), seed in 0u64..1_000) {
        let found = discovery::play(Day { start: Start::Moved, until: Duration::ZERO, ..day }, seed);
        prop_assert!(found.worst() <= Duration::from_secs(4), "{day:?}: {:?}", found.worst());
    }

    /// An agent on the own machine: at once, and well within the shortest grace of 0.5 s.
    #[test]
    fn and_at_once_where_lists_are_pushed(day in days(), seed in 0u64..1_000) {
        let day = Day { routers: 1, asks: 1, is_polled: false, serves: Duration::from_millis(1), ..day };
        // A watch that fell silent is noticed first: the clock of silence is another.
        let noticed = if let Start::Silent(noticed) = day.start { noticed } else { Duration::ZERO };
        let found = discovery::play(Day { until: day.until.max(noticed), ..day }, seed);
        prop_assert!(found.worst() <= Duration::from_millis(360), "{day:?}: {:?}", found.worst());
    }
}

/// A fleet that asks anew together, mean and worst over 20 seeds: not much later than discovery needs for all of it, and
/// with no call in vain.
#[test]
fn a_fleet_is_told_in_about_the_time_that_discovery_needs_however_large_it_is() {
    for (routers, takes) in [(3, 0.7), (30, 0.7), (30, 1.4), (300, 0.7), (300, 2.5), (300, 3.8)] {
        for (start, outage, until) in [
            (Start::Reset, Outage::Refuses, 0),
            (Start::Reset, Outage::Refuses, 7),
            (Start::Fresh, Outage::Refuses, 0),
            (Start::Moved, Outage::Refuses, 0),
        ] {
            let serves = Duration::from_secs_f64(takes / f64::from(routers));
            let until = Duration::from_secs(until);
            let day = Day { routers, asks: routers, is_polled: true, serves, start, outage, until };
            let all: Vec<_> = (0..20).map(|seed| discovery::play(day, seed)).collect();
            let mean = all.iter().map(|found| found.mean()).sum::<Duration>() / 20;
            let worst = all.iter().map(|found| found.worst()).max().unwrap_or_default();
            let wasted: usize = all.iter().map(|found| found.wasted).sum();
            println!("{day:?}: mean {mean:?}, worst {worst:?}, in vain {wasted}");
            assert!(mean <= Duration::from_millis(2_500), "{day:?}: {mean:?}");
            assert!(worst <= Duration::from_secs_f64(f64::max(takes, 4.0) + 0.3), "{day:?}: {worst:?}");
            assert_eq!(wasted, 0, "{day:?}");
        }
    }
}

/// A tenth, or seven in ten, of 300 proxies start at once. Discovery takes up to 3.8 s for the calls of all 300.
#[rstest]
fn nine_in_ten_of_those_that_restart_hold_a_list_within_ten_seconds(
    #[values(30, 210)] asks: u32,
    #[values(0.7, 2.5, 3.8)] takes: f64,
) {
    let serves = Duration::from_secs_f64(takes / 300.0);
    let outage = Outage::Refuses;
    let day = Day {
        routers: 300,
        asks,
        is_polled: true,
        serves,
        start: Start::Fresh,
        outage,
        until: Duration::ZERO,
    };
    let held = (0..50).map(|seed| discovery::play(day, seed).nine_in_ten()).max().unwrap_or_default();
    println!("{asks} of 300, {takes} s: nine in ten within {held:?}");
    assert!(held <= Duration::from_secs(10), "{held:?}");
}

#[test]
fn whoever_failed_together_does_not_ask_together() {
    let waits = |n| {
        let mut retry = DiscoveryRetry::new(100, true, n);
        (retry.delay_after_failure(true, Duration::ZERO), retry.delay_after_failure(false, Duration::ZERO))
    };
    let (mut first, mut second): (Vec<_>, Vec<_>) = (0..100).map(waits).unzip();
    for waits in [&mut first, &mut second] {
        waits.sort();
        let most = waits.windows(11).map(|w| w[10] - w[0]).min().unwrap_or_default();
        assert!(most > Duration::from_millis(80), "ten proxies ask within {most:?}");
    }
}

#[test]
fn failures_elsewhere_do_not_slow_a_new_address() {
    let mut retry = DiscoveryRetry::new(2, true, 7);
    (0..10).for_each(|_| _ = retry.delay_after_failure(false, Duration::ZERO));
    assert!(retry.delay_after_failure(false, Duration::ZERO) >= Duration::from_millis(500));
    retry.delay_after_move();
    assert!(retry.delay_after_failure(false, Duration::ZERO) <= Duration::from_millis(100));
}
