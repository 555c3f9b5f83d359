use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// For any longest deadline the steps are in order, and a request admitted by one step can be finished before
/// the next.
#[test]
fn each_step_leaves_time_for_requests_admitted_before() {
    for longest in
        [0, 1, 50, 100, 150, 200, 300, 500, 600, 1_000, 1_300, 2_000, 3_000, 10_000, 3_600_000].map(ms)
    {
        let schedule = ShutdownSchedule::with_longest_deadline(longest);
        let ShutdownSchedule {
            close_idle_after,
            stop_reading_after,
            answers_due_after,
            force_close_after,
            sigkill_after,
            earliest_exit_after,
            ..
        } = schedule;
        let message = format!("{longest:?}: {schedule:?}");
        assert_eq!(sigkill_after, longest.min(ms(3_000)) + ms(700));
        assert!(answers_due_after < force_close_after && force_close_after < sigkill_after, "{message}");
        assert!(
            ACCEPT_WINDOW <= close_idle_after
                && close_idle_after <= stop_reading_after
                && stop_reading_after <= answers_due_after,
            "{message}"
        );
        assert!(
            answers_due_after + sigkill_after.min(ms(2_000)) / 10 <= sigkill_after
                && earliest_exit_after <= answers_due_after,
            "{message}"
        );
        // A request that arrives as idle connections are closed has its complete deadline, or a second.
        assert!(close_idle_after + longest.min(MAX_REQUEST_TIME) <= answers_due_after, "{message}");
    }
}

#[test]
fn deadlines_of_seconds_leave_connections_open_for_most_of_the_time() {
    let schedule = ShutdownSchedule::with_longest_deadline(ms(5_000));
    let spans = (schedule.close_idle_after, schedule.answers_due_after, schedule.sigkill_after);
    assert_eq!(spans, (ms(2_500), ms(3_500), ms(3_700)));
}
