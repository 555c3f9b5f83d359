//! State made for the job against plain structures that do the same by force.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use wheelpier_decisions::state::background::{Background, Priority, Step};
use wheelpier_decisions::state::heavy_hitters::HeavyHitters;
use wheelpier_decisions::state::session_positions::SessionPositions;
use wheelpier_decisions::state::timer_wheel::TimerWheel;
use wheelpier_decisions::{LogPosition, SessionId, Timestamp};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever was forgotten: a token is never lower than the session's last write in that set.
    #[test]
    fn a_token_never_misses_a_write(
        writes in prop::collection::vec((0u64..60, 0i64..1000), 1..300),
        entries in 1usize..40,
        shrinks in prop::collection::vec(any::<bool>(), 300),
    ) {
        let mut sessions = SessionPositions::new(entries);
        let mut all: HashMap<(u64, u32), i64> = HashMap::new();
        for ((session, position), shrink) in writes.into_iter().zip(shrinks) {
            // A session belongs to one set, as its key does.
            let set = session as u32 % 3;
            sessions.remember(SessionId(session), set, LogPosition(position));
            let last = all.entry((session, set)).or_insert(position);
            *last = (*last).max(position);
            if shrink && position % 7 == 0 {
                sessions.shrink();
            }
            prop_assert!(sessions.len() <= entries.max(4) + 1);
            for ((session, set), last) in &all {
                prop_assert!(sessions.token(SessionId(*session), *set).0 >= *last);
            }
        }
    }

    #[test]
    fn what_is_not_forgotten_is_exact(writes in prop::collection::vec((any::<u64>(), 0i64..1000), 1..100)) {
        let mut sessions = SessionPositions::new(400);
        let mut all = BTreeMap::new();
        for (session, position) in writes {
            sessions.remember(SessionId(session), 0, LogPosition(position));
            let last = all.entry(session).or_insert(position);
            *last = (*last).max(position);
        }
        for (session, last) in &all {
            prop_assert_eq!(sessions.token(SessionId(*session), 0), LogPosition(*last));
        }
        let unknown = (0..).find(|n| !all.contains_key(n)).unwrap();
        prop_assert_eq!(sessions.token(SessionId(unknown), 0), LogPosition(i64::MIN));
    }

    /// Waits end at their tick, not before, and those cancelled never; in the order of a sorted list.
    #[test]
    fn the_wheel_ends_waits_as_a_sorted_list_does(
        acts in prop::collection::vec((0i64..200_000, 0u8..4, 0i64..3_000_000_000), 1..200),
    ) {
        let tick = 1_000;
        let mut wheel = TimerWheel::new(Timestamp(tick), Timestamp(0));
        let mut list: BTreeMap<(i64, usize), ()> = BTreeMap::new();
        let (mut keys, mut now) = (Vec::new(), 0);
        for (n, (step, act, wait)) in acts.into_iter().enumerate() {
            match act {
                0 | 1 => {
                    let wait = if act == 0 { wait } else { wait % 100_000 };
                    let at = now + wait;
                    let due = ((at + tick - 1) / tick).max(now / tick + 1);
                    keys.push((wheel.set(Timestamp(at), n), due, n));
                    list.insert((due, n), ());
                }
                2 if !keys.is_empty() => {
                    let (key, due, id) = keys.swap_remove(wait as usize % keys.len());
                    let there = list.remove(&(due, id)).is_some();
                    prop_assert_eq!(wheel.cancel(key), there.then_some(id));
                }
                _ => {
                    now += step * 7;
                    let mut ended = Vec::new();
                    wheel.advance(Timestamp(now), &mut ended);
                    let mut expected = Vec::new();
                    while let Some(first) = list.first_entry().filter(|e| e.key().0 <= now / tick) {
                        expected.push(first.remove_entry().0);
                    }
                    let due = |id: &usize| expected.iter().find(|(_, other)| other == id).map(|(due, _)| *due);
                    let ticks: Vec<_> = ended.iter().map(due).collect();
                    prop_assert!(ticks.iter().all(Option::is_some) && ticks.is_sorted());
                    prop_assert_eq!(ended.len(), expected.len());
                }
            }
            prop_assert_eq!(wheel.len(), list.len());
            let next = wheel.next().map(|at| at.0);
            let first = list.keys().next().map(|(due, _)| due * tick);
            prop_assert_eq!(next.is_some(), first.is_some());
            prop_assert!(next <= first && next.is_none_or(|at| at > now - now % tick));
        }
    }

    #[test]
    fn the_heavy_are_named_and_bounded(adds in prop::collection::vec((0u16..200, 1u64..50), 1..600)) {
        let mut sketch = HeavyHitters::new(16);
        let mut exact: HashMap<u16, u64> = HashMap::new();
        for (holder, amount) in adds {
            sketch.add(holder, amount);
            *exact.entry(holder).or_default() += amount;
        }
        let named = sketch.heaviest(16);
        for heavy in &named {
            let truth = exact[&heavy.holder];
            prop_assert!(truth <= heavy.count && heavy.count - heavy.error <= truth);
        }
        for (holder, count) in exact {
            let heavy = named.iter().any(|heavy| heavy.holder == holder);
            prop_assert!(heavy || count <= sketch.total() / 16);
        }
    }
}

#[test]
fn a_forgotten_session_is_held_to_have_written_at_its_own_sets_floor() {
    let mut sessions = SessionPositions::new(4);
    sessions.remember(SessionId(10), 0, LogPosition(500));
    sessions.remember(SessionId(11), 1, LogPosition(900));
    while sessions.shrink() > 0 || sessions.floor(0) == LogPosition(i64::MIN) {
        sessions.remember(SessionId(sessions.len() as u64 + 20), 2, LogPosition(1));
    }
    assert_eq!(sessions.token(SessionId(10), 0), LogPosition(500));
    assert!(sessions.token(SessionId(99), 0) <= LogPosition(500), "the other set's commit is none of its");
}

/// A clock that advances by what each job takes.
fn work(background: &mut Background<Vec<&'static str>>, done: &mut Vec<&'static str>, budget: i64) -> u32 {
    let clock = std::cell::Cell::new(0);
    let read = || {
        clock.set(clock.get() + 1);
        Timestamp(clock.get() * 10)
    };
    background.turn(done, Timestamp(budget), read).steps
}

#[test]
fn urgent_work_comes_first_and_idle_work_goes_on() {
    let mut background: Background<Vec<&'static str>> = Background::new(100);
    for (priority, name) in [(Priority::Idle, "idle"), (Priority::Urgent, "urgent")] {
        let endless = move |done: &mut Vec<&'static str>, _| {
            done.push(name);
            Step::More
        };
        assert!(background.add(priority, Box::new(endless)).is_ok());
    }
    let mut done = Vec::new();
    for _ in 0..50 {
        work(&mut background, &mut done, 200);
    }
    let idle = done.iter().filter(|name| **name == "idle").count();
    assert_eq!(done[0], "urgent");
    assert!(idle * 20 > done.len() && idle * 4 < done.len(), "{idle} of {}", done.len());
}

#[test]
fn a_turn_ends_when_its_budget_does_and_jobs_are_bounded() {
    let mut background: Background<Vec<&'static str>> = Background::new(3);
    let mut done = Vec::new();
    for _ in 0..3 {
        assert!(background
            .add(
                Priority::Normal,
                Box::new(|done, _| {
                    done.push("x");
                    Step::Done
                })
            )
            .is_ok());
    }
    assert!(background.add(Priority::Urgent, Box::new(|_, _| Step::Done)).is_err());
    assert!(work(&mut background, &mut done, 1) <= 1);
    while !background.is_empty() {
        work(&mut background, &mut done, 100);
    }
    assert_eq!(done, ["x"; 3]);
}
