use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// In the order in which they have to come, whatever the settings say.
#[test]
fn each_step_leaves_time_for_what_the_one_before_admits() {
    for longest in
        [0, 1, 50, 100, 150, 200, 300, 500, 600, 1_000, 1_300, 2_000, 3_000, 10_000, 3_600_000].map(ms)
    {
        let schedule = ShutdownSchedule::with_longest_deadline(longest);
        let ShutdownSchedule {
            close_idle_after: idle,
            stop_reading_after: stop,
            answers_due_after: answers,
            force_close_after: force,
            sigkill_after: killed,
            earliest_exit_after: exit,
            ..
        } = schedule;
        assert_eq!(killed, longest.min(ms(3_000)) + ms(700));
        assert!(answers < force && force < killed, "{longest:?}: {schedule:?}");
        assert!(ACCEPT_WINDOW <= idle && idle <= stop && stop <= answers, "{longest:?}: {schedule:?}");
        assert!(
            answers + killed.min(ms(2_000)) / 10 <= killed && exit <= answers,
            "{longest:?}: {schedule:?}"
        );
        // A request that comes as connections are closed has its complete deadline, or a second.
        assert!(idle + longest.min(MAX_REQUEST_TIME) <= answers, "{longest:?}: {schedule:?}");
    }
}

#[test]
fn deadlines_of_seconds_leave_connections_open_for_most_of_the_time() {
    let schedule = ShutdownSchedule::with_longest_deadline(ms(5_000));
    let spans = (schedule.close_idle_after, schedule.answers_due_after, schedule.sigkill_after);
    assert_eq!(spans, (ms(2_500), ms(3_500), ms(3_700)));
}
