//! The effect of drains on a connection, for random connections and schedules.

use proptest::prelude::*;
use std::time::Duration;
use wheelpier_decisions::drain::connection::{
    answers_due_at, decide, force_close_at, startup_deadline, write_deadline, ActiveDrain,
    ConnectionSchedule, ConnectionState, DrainDecision, Permission,
};
use wheelpier_decisions::drain::ShutdownSchedule;
use wheelpier_decisions::interface::Timestamp;

const SECOND: i64 = 1_000_000;

fn quiesce(started_at: i64) -> ActiveDrain {
    let started_at = Timestamp(started_at);
    ActiveDrain { started_at, schedule: ConnectionSchedule::QUIESCE, ends_process: false }
}

fn shutdown(started_at: i64, longest_deadline_ms: u64) -> ActiveDrain {
    let schedule = ShutdownSchedule::with_longest_deadline(Duration::from_millis(longest_deadline_ms)).into();
    ActiveDrain { started_at: Timestamp(started_at), schedule, ends_process: true }
}

fn drains() -> impl Strategy<Value = Vec<ActiveDrain>> {
    let quiesce = proptest::option::of((0..5 * SECOND).prop_map(quiesce));
    let shutdown = proptest::option::of(
        (0..5 * SECOND, 50..20_000u64).prop_map(|(started_at, deadline)| shutdown(started_at, deadline)),
    );
    (quiesce, shutdown).prop_map(|(quiesce, shutdown)| quiesce.into_iter().chain(shutdown).collect())
}

fn states() -> impl Strategy<Value = ConnectionState> {
    (0..12 * SECOND, any::<bool>(), any::<bool>()).prop_map(
        |(last_activity_at, has_sent_request, has_partial_message)| ConnectionState {
            last_activity_at: Timestamp(last_activity_at),
            has_sent_request,
            has_partial_message,
        },
    )
}

/// Operators require that no request in flight 4 s after a quiesce call was read later than 2 s after the
/// call.
#[test]
fn a_quiesced_connection_stops_reading_and_ends_in_time() {
    let schedule = ConnectionSchedule::QUIESCE;
    let process_delay = Duration::from_millis(150);
    assert!(
        schedule.close_idle_after < schedule.stop_reading_after
            && schedule.stop_reading_after + process_delay < Duration::from_secs(2),
        "{schedule:?}"
    );
    assert!(
        schedule.stop_reading_after < schedule.answers_due_after
            && schedule.answers_due_after + process_delay < Duration::from_secs(4),
        "{schedule:?}"
    );
}

#[test]
fn without_a_drain_a_connection_stays_open() {
    let state = ConnectionState {
        last_activity_at: Timestamp(0),
        has_sent_request: true,
        has_partial_message: false,
    };
    assert_eq!(decide([], state, Timestamp(i64::MAX)), DrainDecision::OPEN);
    assert_eq!(write_deadline([], Timestamp(0), Duration::from_secs(1)), None);
}

proptest! {
    /// A connection that has sent a request stops reading at a time that does not depend on what its client
    /// does.
    #[test]
    fn client_activity_does_not_delay_the_end(drains in drains(), state in states(), now in 0..12 * SECOND) {
        let now = Timestamp(now);
        let state = ConnectionState { has_sent_request: true, ..state };
        let decision = decide(drains.clone(), state, now);
        for drain in &drains {
            let at = |span: Duration| Timestamp(drain.started_at.0 + span.as_micros() as i64);
            let stop_reading_at = at(drain.schedule.stop_reading_after);
            let answers_due_at = at(drain.schedule.answers_due_after);
            prop_assert!(now < stop_reading_at || decision.permission >= Permission::Finishing);
            prop_assert!(now < answers_due_at || decision.permission == Permission::Overdue);
            prop_assert!(decision.close_idle_at.is_some_and(|close_at| close_at <= stop_reading_at));
        }
    }

    /// The permission of a connection gets stricter over time and with further drains, never less strict.
    #[test]
    fn a_permission_never_becomes_less_strict(
        drains in drains(),
        state in states(),
        a in 0..12 * SECOND,
        b in 0..12 * SECOND,
    ) {
        let (early, late) = (Timestamp(a.min(b)), Timestamp(a.max(b)));
        let permission = |drains: &[ActiveDrain], now| decide(drains.iter().copied(), state, now).permission;
        prop_assert!(permission(&drains, early) <= permission(&drains, late));
        if let Some((_, fewer)) = drains.split_last() {
            prop_assert!(permission(fewer, early) <= permission(&drains, early));
        }
    }

    /// The permission of an unchanged connection does not change before `reevaluate_at`.
    #[test]
    fn a_decision_holds_until_reevaluate_at(
        drains in drains(),
        state in states(),
        now in 0..12 * SECOND,
        later in 0..12 * SECOND,
    ) {
        let decision = decide(drains.clone(), state, Timestamp(now));
        let later = Timestamp(later.max(now));
        prop_assert!(decision.reevaluate_at.is_none_or(|at| at > Timestamp(now)));
        if decision.reevaluate_at.is_none_or(|at| later < at) {
            prop_assert_eq!(decision.permission, decide(drains, state, later).permission);
        }
    }

    /// While the proxy is quiesced, a connection that has not sent a request yet may send its first one.
    #[test]
    fn a_new_connection_may_send_a_request_while_quiesced(
        started_at in 0..SECOND,
        last_activity_at in 0..12 * SECOND,
        now in 0..12 * SECOND,
    ) {
        let state = ConnectionState {
            last_activity_at: Timestamp(last_activity_at),
            has_sent_request: false,
            has_partial_message: false,
        };
        let decision = decide([quiesce(started_at)], state, Timestamp(now));
        let timeout = ConnectionSchedule::QUIESCE.first_request_timeout.as_micros() as i64;
        prop_assert_eq!(decision.permission, Permission::Open);
        prop_assert!(decision.close_idle_at.is_some_and(|at| at.0 >= last_activity_at + timeout));
    }

    /// A shutdown ends writes before the expected SIGKILL, whenever the client last read some of the data.
    #[test]
    fn a_write_ends_before_sigkill(
        started_at in 0..SECOND,
        last_progress_at in 0..12 * SECOND,
        longest_deadline_ms in 50..20_000u64,
    ) {
        let drain = shutdown(started_at, longest_deadline_ms);
        let schedule = ShutdownSchedule::with_longest_deadline(Duration::from_millis(longest_deadline_ms));
        let sigkill_at = started_at + schedule.sigkill_after.as_micros() as i64;
        let deadline = write_deadline([drain], Timestamp(last_progress_at), Duration::from_secs(1));
        let deadline = deadline.expect("a drain is active");
        prop_assert!(deadline.0 < sigkill_at);
        prop_assert!(force_close_at([drain]).is_some_and(|at| deadline <= at && at.0 < sigkill_at));
    }

    /// While the proxy is quiesced, a write is given up once answers are due and it has stalled, and not
    /// before.
    #[test]
    fn a_write_is_given_up_only_once_it_stalls(
        started_at in 0..SECOND,
        last_progress_at in 0..12 * SECOND,
    ) {
        let stall_timeout = Duration::from_secs(1);
        let deadline = write_deadline([quiesce(started_at)], Timestamp(last_progress_at), stall_timeout);
        let answers_due_at = started_at + ConnectionSchedule::QUIESCE.answers_due_after.as_micros() as i64;
        prop_assert_eq!(
            deadline.expect("a drain is active"),
            Timestamp(answers_due_at.max(last_progress_at + SECOND))
        );
    }
}

/// Each startup has the same time, but if the process ends, none may last beyond the time at which
/// connections stop reading.
#[test]
fn a_startup_ends_before_connections_stop_reading() {
    let now = Timestamp(2 * SECOND);
    let full_time = Some(Timestamp(2 * SECOND + SECOND / 2));
    assert_eq!(startup_deadline([], now), None);
    assert_eq!(startup_deadline([quiesce(0)], now), full_time);
    let schedule = ShutdownSchedule::with_longest_deadline(Duration::from_secs(5));
    let stop_reading_after = schedule.stop_reading_after.as_micros() as i64;
    let earlier = shutdown(2 * SECOND - stop_reading_after + SECOND / 4, 5_000);
    assert_eq!(startup_deadline([earlier, quiesce(0)], now), Some(Timestamp(2 * SECOND + SECOND / 4)));
    assert_eq!(startup_deadline([shutdown(2 * SECOND, 5_000)], now), full_time);
}

#[test]
fn answers_are_due_only_if_the_process_ends() {
    assert_eq!(answers_due_at([]), None);
    assert_eq!(answers_due_at([quiesce(0)]), None);
    assert_eq!(answers_due_at([quiesce(0), shutdown(SECOND, 5_000)]), Some(Timestamp(SECOND + 3_500_000)));
}

#[test]
fn an_accepted_connection_delays_the_exit_until_answers_are_due() {
    let ms = Duration::from_millis;
    let schedule = ShutdownSchedule::with_longest_deadline(ms(5_000));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(100)), ms(750));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(700)), ms(1_050));
    assert_eq!(schedule.exit_after_accept(ms(750), ms(3_400)), ms(3_500));
}
