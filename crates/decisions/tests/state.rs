//! The bounded data structures against simple reference implementations.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use wheelpier_decisions::state::background::{BackgroundScheduler, JobStatus, Priority};
use wheelpier_decisions::state::heavy_hitters::HeavyHitters;
use wheelpier_decisions::state::session_positions::SessionPositions;
use wheelpier_decisions::state::timer_wheel::TimerWheel;
use wheelpier_decisions::{LogPosition, SessionId, TimeDelta, Timestamp};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever is evicted, the position of a session is never lower than its last write in its group.
    #[test]
    fn a_position_is_never_below_the_last_write(
        writes in prop::collection::vec((0u64..60, 0i64..1000), 1..300),
        entries in 1usize..40,
        shrinks in prop::collection::vec(any::<bool>(), 300),
    ) {
        let mut sessions = SessionPositions::new(entries);
        let mut last_writes: HashMap<(u64, u32), i64> = HashMap::new();
        for ((session, position), shrink) in writes.into_iter().zip(shrinks) {
            // A session belongs to one group, because its key does.
            let group = session as u32 % 3;
            sessions.record_commit(SessionId(session), group, LogPosition(position));
            let last = last_writes.entry((session, group)).or_insert(position);
            *last = (*last).max(position);
            if shrink && position % 7 == 0 {
                sessions.evict_oldest();
            }
            prop_assert!(sessions.len() <= entries.max(4) + 1);
            for ((session, group), last) in &last_writes {
                prop_assert!(sessions.last_commit(SessionId(*session), *group).0 >= *last);
            }
        }
    }

    #[test]
    fn positions_are_exact_without_evictions(
        writes in prop::collection::vec((any::<u64>(), 0i64..1000), 1..100),
    ) {
        let mut sessions = SessionPositions::new(400);
        let mut last_writes = BTreeMap::new();
        for (session, position) in writes {
            sessions.record_commit(SessionId(session), 0, LogPosition(position));
            let last = last_writes.entry(session).or_insert(position);
            *last = (*last).max(position);
        }
        for (session, last) in &last_writes {
            prop_assert_eq!(sessions.last_commit(SessionId(*session), 0), LogPosition(*last));
        }
        let unknown = (0..).find(|session| !last_writes.contains_key(session)).unwrap();
        prop_assert_eq!(sessions.last_commit(SessionId(unknown), 0), LogPosition(i64::MIN));
    }

    /// Timers expire at their tick and not before, in the order of their ticks; cancelled timers never
    /// expire.
    #[test]
    fn the_wheel_expires_timers_in_the_order_of_a_sorted_list(
        operations in prop::collection::vec((0i64..200_000, 0u8..4, 0i64..3_000_000_000), 1..200),
    ) {
        let tick = 1_000;
        let mut wheel = TimerWheel::new(TimeDelta(tick), Timestamp(0));
        let mut list: BTreeMap<(i64, usize), ()> = BTreeMap::new();
        let (mut keys, mut now) = (Vec::new(), 0);
        for (id, (step, operation, wait)) in operations.into_iter().enumerate() {
            match operation {
                0 | 1 => {
                    let wait = if operation == 0 { wait } else { wait % 100_000 };
                    let at = now + wait;
                    let due_tick = ((at + tick - 1) / tick).max(now / tick + 1);
                    keys.push((wheel.set(Timestamp(at), id), due_tick, id));
                    list.insert((due_tick, id), ());
                }
                2 if !keys.is_empty() => {
                    let (key, due_tick, id) = keys.swap_remove(wait as usize % keys.len());
                    let was_set = list.remove(&(due_tick, id)).is_some();
                    prop_assert_eq!(wheel.cancel(key), was_set.then_some(id));
                }
                _ => {
                    now += step * 7;
                    let mut expired = Vec::new();
                    wheel.advance(Timestamp(now), &mut expired);
                    let mut expected = Vec::new();
                    while let Some(first) = list.first_entry().filter(|entry| entry.key().0 <= now / tick) {
                        expected.push(first.remove_entry().0);
                    }
                    let due_tick =
                        |id: &usize| expected.iter().find(|(_, other)| other == id).map(|(tick, _)| *tick);
                    let ticks: Vec<_> = expired.iter().map(due_tick).collect();
                    prop_assert!(ticks.iter().all(Option::is_some) && ticks.is_sorted());
                    prop_assert_eq!(expired.len(), expected.len());
                }
            }
            prop_assert_eq!(wheel.len(), list.len());
            let next = wheel.next_expiry().map(|at| at.0);
            let first = list.keys().next().map(|(due, _)| due * tick);
            prop_assert_eq!(next.is_some(), first.is_some());
            prop_assert!(next <= first && next.is_none_or(|at| at > now - now % tick));
        }
    }

    #[test]
    fn the_largest_holders_have_counters_with_correct_bounds(
        amounts in prop::collection::vec((0u16..200, 1u64..50), 1..600),
    ) {
        let mut sketch = HeavyHitters::new(16);
        let mut exact: HashMap<u16, u64> = HashMap::new();
        for (holder, amount) in amounts {
            sketch.add(holder, amount);
            *exact.entry(holder).or_default() += amount;
        }
        let heaviest = sketch.heaviest(16);
        for hitter in &heaviest {
            let count = exact[&hitter.holder];
            prop_assert!(count <= hitter.count && hitter.count - hitter.error <= count);
        }
        for (holder, count) in exact {
            let has_counter = heaviest.iter().any(|hitter| hitter.holder == holder);
            prop_assert!(has_counter || count <= sketch.total() / 16);
        }
    }
}

#[test]
fn an_evicted_session_has_the_floor_of_its_own_group() {
    let mut sessions = SessionPositions::new(4);
    sessions.record_commit(SessionId(10), 0, LogPosition(500));
    sessions.record_commit(SessionId(11), 1, LogPosition(900));
    while sessions.evict_oldest() > 0 || sessions.eviction_floor(0) == LogPosition(i64::MIN) {
        sessions.record_commit(SessionId(sessions.len() as u64 + 20), 2, LogPosition(1));
    }
    assert_eq!(sessions.last_commit(SessionId(10), 0), LogPosition(500));
    assert!(
        sessions.last_commit(SessionId(99), 0) <= LogPosition(500),
        "the commit of another group does not count"
    );
}

/// Runs jobs with a clock that advances by 10 µs each time it is read. Returns the number of steps.
fn run(
    background: &mut BackgroundScheduler<Vec<&'static str>>,
    done: &mut Vec<&'static str>,
    budget: i64,
) -> u32 {
    let clock = std::cell::Cell::new(0);
    let read_clock = || {
        clock.set(clock.get() + 1);
        Timestamp(clock.get() * 10)
    };
    background.run(done, TimeDelta(budget), read_clock).steps
}

#[test]
fn urgent_jobs_come_first_and_idle_jobs_make_progress() {
    let mut background: BackgroundScheduler<Vec<&'static str>> = BackgroundScheduler::new(100);
    for (priority, name) in [(Priority::Idle, "idle"), (Priority::Urgent, "urgent")] {
        let endless = move |done: &mut Vec<&'static str>, _| {
            done.push(name);
            JobStatus::Unfinished
        };
        assert!(background.add(priority, Box::new(endless)).is_ok());
    }
    let mut done = Vec::new();
    for _ in 0..50 {
        run(&mut background, &mut done, 200);
    }
    let idle = done.iter().filter(|name| **name == "idle").count();
    assert_eq!(done[0], "urgent");
    assert!(idle * 20 > done.len() && idle * 4 < done.len(), "{idle} of {}", done.len());
}

#[test]
fn a_run_ends_with_its_budget_and_the_number_of_jobs_is_bounded() {
    let mut background: BackgroundScheduler<Vec<&'static str>> = BackgroundScheduler::new(3);
    let mut done = Vec::new();
    for _ in 0..3 {
        assert!(background
            .add(
                Priority::Normal,
                Box::new(|done, _| {
                    done.push("x");
                    JobStatus::Done
                })
            )
            .is_ok());
    }
    assert!(background.add(Priority::Urgent, Box::new(|_, _| JobStatus::Done)).is_err());
    assert!(run(&mut background, &mut done, 1) <= 1);
    while !background.is_empty() {
        run(&mut background, &mut done, 100);
    }
    assert_eq!(done, ["x"; 3]);
}
