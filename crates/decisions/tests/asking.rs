//! A fleet that asks one discovery of fixed capacity, in virtual time.

use std::collections::{BinaryHeap, VecDeque};
use std::{cmp::Reverse, time::Duration};
use wheelpier_decisions::membership::Asking;

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
fn last_told(routers: u32, on_request: bool, first: bool) -> Option<Duration> {
    let fleet = (0..routers).map(|n| Asking::new(routers, on_request, n.into())).collect();
    last_told_by(FAST, fleet, first)
}

/// The same of a discovery that takes so long for a call, one after the other.
fn last_told_by(serves: Duration, mut fleet: Vec<Asking>, first: bool) -> Option<Duration> {
    let most = WAITS.div_duration_f64(serves) as usize;
    let mut due = BinaryHeap::new();
    for (n, asking) in fleet.iter_mut().enumerate() {
        let at = if first { asking.first() } else { Duration::ZERO };
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
                queue.push_back((n, at + fleet[n].patience()));
            } else {
                due.push(Reverse((now + fleet[n].after_failure(false), n)));
            }
        }
        let Some((n, until)) = queue.pop_front() else { continue };
        if now <= until {
            told[n] = true;
        } else {
            due.push(Reverse((until.max(now) + fleet[n].after_failure(false), n)));
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
        let fleet = (0..4).map(|n| Asking::new(4, true, seed * 4 + n)).collect();
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
    let mut asking = Asking::new(4, true, 7);
    assert!(asking.first() <= Duration::from_millis(150));
    assert!((0..20).all(|_| asking.after_failure(false) <= Duration::from_secs(1)));
    let mut pushed = Asking::new(100, false, 7);
    assert_eq!(pushed.first(), Duration::ZERO);
    // What an agent on the own machine gets when discovery returns is read well within the shortest grace, 0.5 s,
    // however long discovery was down.
    for _ in 0..100 {
        assert!(pushed.after_failure(false) + pushed.patience() <= Duration::from_millis(350));
    }
    assert_eq!(pushed.patience() * pushed.calls() as u32, Duration::from_secs(1));
}

/// A watch that is held to be dead 2.75 s after its last sign of life, and a first call that hangs: the next one brings
/// the list before 6 s are over.
#[test]
fn silence_and_one_call_that_hangs_leave_time_for_another() {
    for (seed, on_request) in (0..100).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut asking = Asking::new(6, on_request, seed);
        let mut at = Duration::from_millis(2_750) + asking.after_failure(true);
        at += asking.patience() * asking.calls() as u32;
        at += asking.after_failure(false);
        assert!(at <= Duration::from_millis(5_700), "seed {seed}, {on_request}: {at:?}");
    }
}

#[test]
fn whoever_failed_together_does_not_ask_together() {
    let waits = |n| {
        let mut asking = Asking::new(100, true, n);
        (asking.after_failure(true), asking.after_failure(false))
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
    let mut asking = Asking::new(2, true, 7);
    (0..10).for_each(|_| _ = asking.after_failure(false));
    assert!(asking.after_failure(false) >= Duration::from_millis(500));
    asking.anew();
    assert!(asking.after_failure(false) <= Duration::from_millis(100));
}
