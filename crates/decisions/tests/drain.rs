//! What drains let a connection do, for any connection and any settings.

use proptest::prelude::*;
use std::time::Duration;
use wheelpier_decisions::drain::connection::{
    answers_due_at, decide, force_close_at, startup_deadline, write_deadline, ActiveDrain,
    ConnectionSchedule, ConnectionState, DrainDecision, Permission,
};
use wheelpier_decisions::drain::ShutdownSchedule;
use wheelpier_decisions::interface::Timestamp;

const SECOND: i64 = 1_000_000;

fn quiesce(since: i64) -> ActiveDrain {
    ActiveDrain { started_at: Timestamp(since), schedule: ConnectionSchedule::QUIESCE, ends_process: false }
}

fn termination(since: i64, longest_ms: u64) -> ActiveDrain {
    let schedule = ShutdownSchedule::with_longest_deadline(Duration::from_millis(longest_ms)).into();
    ActiveDrain { started_at: Timestamp(since), schedule, ends_process: true }
}

fn drains() -> impl Strategy<Value = Vec<ActiveDrain>> {
    let quiesced = proptest::option::of((0..5 * SECOND).prop_map(quiesce));
    let terminated =
        proptest::option::of((0..5 * SECOND, 50..20_000u64).prop_map(|(at, ms)| termination(at, ms)));
    (quiesced, terminated).prop_map(|(a, b)| a.into_iter().chain(b).collect())
}

fn states() -> impl Strategy<Value = ConnectionState> {
    (0..12 * SECOND, any::<bool>(), any::<bool>()).prop_map(
        |(quiet, has_sent_request, has_partial_message)| ConnectionState {
            last_activity_at: Timestamp(quiet),
            has_sent_request,
            has_partial_message,
        },
    )
}

/// The rule that operators set: a request that is taken later than 2 s after the call might be held 4 s after it.
#[test]
fn a_quiesced_connection_stops_to_read_in_time_and_ends_in_time() {
    let schedule = ConnectionSchedule::QUIESCE;
    let held_up = Duration::from_millis(150);
    assert!(
        schedule.close_idle_after < schedule.stop_reading_after
            && schedule.stop_reading_after + held_up < Duration::from_secs(2),
        "{schedule:?}"
    );
    assert!(
        schedule.stop_reading_after < schedule.answers_due_after
            && schedule.answers_due_after + held_up < Duration::from_secs(4),
        "{schedule:?}"
    );
}

#[test]
fn without_a_drain_a_connection_is_open_for_good() {
    let state = ConnectionState {
        last_activity_at: Timestamp(0),
        has_sent_request: true,
        has_partial_message: false,
    };
    assert_eq!(decide([], state, Timestamp(i64::MAX)), DrainDecision::OPEN);
    assert_eq!(write_deadline([], Timestamp(0), Duration::from_secs(1)), None);
}

proptest! {
    /// However its client goes on, what has asked before stops to read at a moment that nothing moves.
    #[test]
    fn nothing_that_a_client_sends_moves_the_end(drains in drains(), state in states(), now in 0..12 * SECOND) {
        let now = Timestamp(now);
        let asked = ConnectionState { has_sent_request: true, ..state };
        let decision = decide(drains.clone(), asked, now);
        for drain in &drains {
            let at = |span: Duration| Timestamp(drain.started_at.0 + span.as_micros() as i64);
            prop_assert!(now < at(drain.schedule.stop_reading_after) || decision.permission >= Permission::Finishing);
            prop_assert!(now < at(drain.schedule.answers_due_after) || decision.permission == Permission::Overdue);
            prop_assert!(decision.close_idle_at.is_some_and(|closes| closes <= at(drain.schedule.stop_reading_after)));
        }
    }

    /// Time only makes it stricter, and so does a further drain.
    #[test]
    fn a_permission_is_never_given_back(drains in drains(), state in states(), a in 0..12 * SECOND, b in 0..12 * SECOND) {
        let (early, late) = (Timestamp(a.min(b)), Timestamp(a.max(b)));
        let permission = |drains: &[ActiveDrain], now| decide(drains.iter().copied(), state, now).permission;
        prop_assert!(permission(&drains, early) <= permission(&drains, late));
        if let Some((_, fewer)) = drains.split_last() {
            prop_assert!(permission(fewer, early) <= permission(&drains, early));
        }
    }

    /// Whoever asks again at `reevaluate_at` misses no change.
    #[test]
    fn a_decision_holds_until_it_says(drains in drains(), state in states(), now in 0..12 * SECOND, later in 0..12 * SECOND) {
        let first = decide(drains.clone(), state, Timestamp(now));
        let later = Timestamp(later.max(now));
        prop_assert!(first.reevaluate_at.is_none_or(|again| again > Timestamp(now)));
        if first.reevaluate_at.is_none_or(|again| later < again) {
            prop_assert_eq!(first.permission, decide(drains, state, later).permission);
        }
    }

    /// Who has asked for nothing yet is heard for as long as the process stays.
    #[test]
    fn a_new_connection_may_ask_while_the_process_stays(since in 0..SECOND, quiet in 0..12 * SECOND, now in 0..12 * SECOND) {
        let state = ConnectionState { last_activity_at: Timestamp(quiet), has_sent_request: false, has_partial_message: false };
        let new = decide([quiesce(since)], state, Timestamp(now));
        prop_assert_eq!(new.permission, Permission::Open);
        prop_assert!(new.close_idle_at.is_some_and(|at| at.0 >= quiet + ConnectionSchedule::QUIESCE.first_request_timeout.as_micros() as i64));
    }

    /// However little its client takes.
    #[test]
    fn a_write_is_over_before_the_process_is_killed(since in 0..SECOND, taken in 0..12 * SECOND, longest in 50..20_000u64) {
        let drain = termination(since, longest);
        let killed = since + ShutdownSchedule::with_longest_deadline(Duration::from_millis(longest)).sigkill_after.as_micros() as i64;
        let by = write_deadline([drain], Timestamp(taken), Duration::from_secs(1)).expect("a drain");
        prop_assert!(by.0 < killed);
        prop_assert!(force_close_at([drain]).is_some_and(|at| by <= at && at.0 < killed));
    }

    /// A client that takes what is written is not cut off, and one that takes nothing is, soon after the drain's end.
    #[test]
    fn a_write_is_given_up_only_once_it_stalls(since in 0..SECOND, taken in 0..12 * SECOND) {
        let stalled = Duration::from_secs(1);
        let by = write_deadline([quiesce(since)], Timestamp(taken), stalled).expect("a drain");
        let ends = since + ConnectionSchedule::QUIESCE.answers_due_after.as_micros() as i64;
        prop_assert_eq!(by, Timestamp(ends.max(taken + SECOND)));
    }
}

/// Each startup has its time, but none outlasts the reading of requests where the process ends.
#[test]
fn a_startup_ends_in_time_for_the_process() {
    let now = Timestamp(2 * SECOND);
    let patient = Some(Timestamp(2 * SECOND + SECOND / 2));
    assert_eq!(startup_deadline([], now), None);
    assert_eq!(startup_deadline([quiesce(0)], now), patient);
    let schedule = ShutdownSchedule::with_longest_deadline(Duration::from_secs(5));
    let stop_reading_after = schedule.stop_reading_after.as_micros() as i64;
    let early = termination(2 * SECOND - stop_reading_after + SECOND / 4, 5_000);
    assert_eq!(startup_deadline([early, quiesce(0)], now), Some(Timestamp(2 * SECOND + SECOND / 4)));
    assert_eq!(startup_deadline([termination(2 * SECOND, 5_000)], now), patient);
}

#[test]
fn answers_are_due_only_where_the_process_ends() {
    assert_eq!(answers_due_at([]), None);
    assert_eq!(answers_due_at([quiesce(0)]), None);
    assert_eq!(answers_due_at([quiesce(0), termination(SECOND, 5_000)]), Some(Timestamp(SECOND + 3_500_000)));
}

#[test]
fn an_accepted_connection_delays_the_exit_until_answers_are_due() {
    let ms = Duration::from_millis;
    let schedule = ShutdownSchedule::with_longest_deadline(ms(5_000));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(100)), ms(750));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(700)), ms(1_050));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(3_400)), ms(3_500));
}
