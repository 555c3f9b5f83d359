//! Each kind of violation has to be found under its rule.

use super::*;

const RUN: ProcessRun = ProcessRun { process: 1, number: 1 };

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_run_without_violations_has_no_findings() {
    let (mut checker, now) = (SoakChecker::default(), Instant::now());
    let connection = checker.opened(RUN, now);
    checker.sent(connection, now);
    checker.answered(connection, "a", now + seconds(1), now + seconds(1));
    checker.closed(connection, &[], false);
    checker.check_nothing_held(RUN, now);
    checker.ended(RUN, &ProcessEnd::Exited { taken: 1, answered: 1 });
    assert!(checker.findings.is_clean() && checker.findings.requests == 1);
}

#[test]
fn a_request_without_an_answer_is_lost() {
    let (mut checker, now) = (SoakChecker::default(), Instant::now());
    let connection = checker.opened(RUN, now);
    checker.sent(connection, now);
    checker.closed(connection, &["a".to_owned()], false);
    assert_eq!(checker.findings.lost.len(), 1);
}

#[test]
fn a_late_answer_is_lost() {
    let (mut checker, now) = (SoakChecker::default(), Instant::now());
    let connection = checker.opened(RUN, now);
    checker.sent(connection, now);
    checker.answered(connection, "a", now, now + Duration::from_millis(501));
    assert_eq!(checker.findings.lost.len(), 1);
}

#[test]
fn an_answer_that_no_client_received_is_lost() {
    let mut checker = SoakChecker::default();
    checker.ended(RUN, &ProcessEnd::Exited { taken: 3, answered: 3 });
    assert_eq!(checker.findings.lost.len(), 1);
    checker.ended(RUN, &ProcessEnd::Exited { taken: 3, answered: 2 });
    assert_eq!(checker.findings.lost.len(), 2);
}

#[test]
fn an_idle_connection_and_one_with_a_recent_request_are_held() {
    let (mut checker, now) = (SoakChecker::default(), Instant::now());
    checker.opened(RUN, now);
    let recent = checker.opened(RUN, now);
    checker.sent(recent, now + seconds(3));
    let older = checker.opened(RUN, now);
    checker.sent(older, now + seconds(1));
    let elsewhere = ProcessRun { process: 2, number: 1 };
    checker.opened(elsewhere, now);
    checker.check_nothing_held(RUN, now);
    assert_eq!(checker.findings.held.len(), 2);
}

#[test]
fn crashes_and_late_processes_are_found() {
    let mut checker = SoakChecker::default();
    checker.ended(RUN, &ProcessEnd::Crashed("exit status: 101".to_owned()));
    checker.ended(RUN, &ProcessEnd::Late);
    checker.ended(RUN, &ProcessEnd::Killed);
    checker.not_ready(RUN);
    let Findings { crashes, held, broken, .. } = &checker.findings;
    assert_eq!((crashes.len(), held.len(), broken.len()), (1, 1, 1));
}

#[test]
fn a_process_that_refuses_most_reads_is_found() {
    let mut checker = SoakChecker::default();
    for refusals in [1, 2] {
        let run = ProcessRun { process: refusals, number: 1 };
        let (connection, now) = (checker.opened(run, Instant::now()), Instant::now());
        (0..3).for_each(|_| _ = checker.answered(connection, "a", now, now));
        (0..refusals).for_each(|_| checker.record_refusal(run));
    }
    checker.check_served_half();
    assert_eq!(checker.findings.broken, ["p2.1 did not serve 2 of 3 reads"]);
}
