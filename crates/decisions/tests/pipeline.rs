//! The pipeline of one connection: conflicts, effective deadlines and limits; and a simulation of random
//! connections, in which every request must get exactly one answer, in order and by its deadline.

use proptest::prelude::*;
use std::collections::BTreeMap;
use wheelpier_decisions::pipeline::{Access, Pipeline, PipelineLimits, PipelinedRequest, ShortenedDeadline};
use wheelpier_decisions::{RequestId, SessionId, Timestamp};

/// A deadline later than any other in these tests.
const NEVER: Timestamp = Timestamp(i64::MAX);

fn access(key: u64, is_write: bool) -> Access {
    Access { group: 0, key: SessionId(key), is_write }
}

fn request(id: u64, key: u64, write: bool, deadline: i64) -> PipelinedRequest {
    PipelinedRequest {
        id: RequestId(id),
        access: Some(access(key, write)),
        deadline: Timestamp(deadline),
        bytes: 100,
    }
}

fn limits(max_entries: usize, max_running: usize) -> PipelineLimits {
    PipelineLimits { max_entries, max_running, max_waiting_bytes: 10_000 }
}

/// Returns a pipeline of requests given as (key, is write, deadline), with identifiers from 0.
fn pipeline(requests: &[(u64, bool, i64)]) -> Pipeline<(), &'static str> {
    let mut pipeline = Pipeline::new(limits(64, 16));
    for (id, (key, write, deadline)) in requests.iter().enumerate() {
        pipeline.push(request(id as u64, *key, *write, *deadline), ());
    }
    pipeline
}

fn start_all<R, A>(pipeline: &mut Pipeline<R, A>) -> Vec<u64> {
    std::iter::from_fn(|| pipeline.start_next().map(|started| started.id.0)).collect()
}

#[test]
fn requests_run_concurrently_and_answers_keep_their_order() {
    let mut pipeline = pipeline(&[(1, false, 100), (2, true, 100), (3, false, 100)]);
    assert_eq!(start_all(&mut pipeline), [0, 1, 2]);
    assert!(pipeline.finish(RequestId(2), "c") && pipeline.finish(RequestId(1), "b"));
    assert_eq!(pipeline.pop_answer(), None, "the first one has no answer yet");
    assert!(pipeline.finish(RequestId(0), "a"));
    let answers: Vec<_> = std::iter::from_fn(|| pipeline.pop_answer()).map(|ready| ready.answer).collect();
    assert_eq!(answers, ["a", "b", "c"]);
    assert!(pipeline.is_empty());
}

#[test]
fn a_read_waits_for_an_earlier_write_to_its_key_only() {
    let mut pipeline =
        pipeline(&[(1, true, 100), (1, false, 100), (1, false, 100), (2, false, 100), (1, true, 100)]);
    assert_eq!(start_all(&mut pipeline), [0, 3]);
    pipeline.finish(RequestId(0), "written");
    assert_eq!(
        start_all(&mut pipeline),
        [1, 2],
        "two reads of one key do not conflict, the write behind them does"
    );
    pipeline.finish(RequestId(1), "read");
    assert!(start_all(&mut pipeline).is_empty());
    pipeline.finish(RequestId(2), "read");
    assert_eq!(start_all(&mut pipeline), [4]);
}

#[test]
fn a_request_without_a_key_conflicts_with_nothing() {
    let mut pipeline = pipeline(&[(1, true, 100)]);
    pipeline.push(PipelinedRequest { access: None, ..request(1, 1, false, 100) }, ());
    assert_eq!(start_all(&mut pipeline), [0, 1]);
}

#[test]
fn equal_keys_of_different_groups_do_not_conflict() {
    let write = access(1, true);
    assert!(write.conflicts_with(access(1, false)) && !write.conflicts_with(Access { group: 1, ..write }));
    assert!(!access(1, false).conflicts_with(access(1, false)));
}

#[test]
fn a_request_is_due_before_the_requests_behind_it() {
    let mut pipeline = pipeline(&[(1, true, 5_000_000), (2, false, 400_000), (3, false, 900_000)]);
    let deadlines: Vec<_> =
        std::iter::from_fn(|| pipeline.start_next()).map(|started| started.effective_deadline.0).collect();
    assert_eq!(deadlines, [399_900, 400_000, 900_000]);
    assert_eq!(
        pipeline.take_shortened_deadlines(),
        [],
        "deadlines reported at the start are not reported again"
    );
    pipeline.push(request(3, 4, false, 200_000), ());
    let shortened = pipeline.take_shortened_deadlines();
    let expected = [(2, 199_900), (1, 199_800), (0, 199_700)];
    assert_eq!(
        shortened,
        expected.map(|(id, due)| ShortenedDeadline { id: RequestId(id), effective_deadline: Timestamp(due) })
    );
    assert_eq!(pipeline.take_shortened_deadlines(), []);
}

#[test]
fn an_error_limits_the_request_ahead_and_is_written_after_its_answer() {
    let mut pipeline = pipeline(&[(1, false, 5_000_000)]);
    pipeline.push_answer("error", Timestamp(2_500_000));
    assert_eq!(pipeline.start_next().map(|started| started.effective_deadline), Some(Timestamp(2_499_900)));
    assert_eq!(pipeline.pop_answer(), None);
    pipeline.finish(RequestId(0), "value");
    assert_eq!(pipeline.pop_answer().map(|ready| ready.answer), Some("value"));
    assert_eq!(pipeline.pop_answer().map(|ready| (ready.id, ready.answer)), Some((None, "error")));
}

#[test]
fn requeued_requests_wait_and_cancelled_requests_get_no_answer() {
    let mut pipeline = pipeline(&[(1, false, 100), (2, false, 100)]);
    assert_eq!(start_all(&mut pipeline), [0, 1]);
    pipeline.requeue(RequestId(1), ());
    assert_eq!((pipeline.running(), pipeline.waiting_bytes()), (1, 100));
    assert_eq!(
        pipeline.start_next().map(|started| (started.id, started.is_behind_others)),
        Some((RequestId(1), true))
    );
    pipeline.requeue(RequestId(1), ());
    assert_eq!(pipeline.cancel_all(), [RequestId(0)], "only this one was running");
    assert!(!pipeline.finish(RequestId(0), "late") && pipeline.pop_answer().is_none());
    assert_eq!((pipeline.running(), pipeline.waiting_bytes()), (0, 0));
}

#[test]
fn an_abandoned_pipeline_answers_each_request_once_and_returns_the_running_ones() {
    let mut pipeline = pipeline(&[(1, true, 100), (1, false, 100), (2, false, 100)]);
    assert_eq!(start_all(&mut pipeline), [0, 2]);
    pipeline.finish(RequestId(2), "value");
    assert_eq!(pipeline.abandon(|| "left"), [RequestId(0)]);
    assert!(!pipeline.finish(RequestId(0), "late"));
    let answers: Vec<_> = std::iter::from_fn(|| pipeline.pop_answer()).map(|ready| ready.answer).collect();
    assert_eq!(answers, ["left", "left", "value"]);
    assert_eq!((pipeline.running(), pipeline.waiting_bytes()), (0, 0));
}

#[test]
fn limits_depend_on_in_flight_requests_per_connection() {
    assert_eq!(
        PipelineLimits::per_connection(30_000, 600, 1 << 16),
        PipelineLimits { max_entries: 64, max_running: 16, max_waiting_bytes: 1 << 16 }
    );
    assert_eq!(PipelineLimits::per_connection(1_000, 300, 1 << 16).max_running, 3);
    assert_eq!(
        PipelineLimits::per_connection(100, 600, 1 << 16),
        PipelineLimits { max_entries: 4, max_running: 1, max_waiting_bytes: 1 << 16 }
    );
    assert_eq!(PipelineLimits::per_connection(100, 0, 1 << 16).max_running, 16);
}

/// A simulated request, with times in microseconds.
#[derive(Clone, Debug)]
struct SimulatedRequest {
    sent_at: i64,
    timeout: i64,
    /// Time that the request runs unless it is given up.
    run_time: i64,
    key: u64,
    is_write: bool,
}

fn simulated_requests() -> impl Strategy<Value = Vec<SimulatedRequest>> {
    let gap = prop_oneof![4 => Just(0), 2 => 1i64..50_000, 1 => 50_000i64..2_000_000];
    let one = (gap, 20_000i64..3_000_000, 500i64..4_000_000, 0u64..4, any::<bool>());
    prop::collection::vec(one, 1..60).prop_map(|all| {
        let mut now = 0;
        let request = |(gap, timeout, run_time, key, is_write)| {
            now += gap;
            SimulatedRequest { sent_at: now, timeout, run_time, key, is_write }
        };
        all.into_iter().map(request).collect()
    })
}

/// Times of a request's steps, in microseconds; `None` for a step that was not reached.
#[derive(Clone, Copy, Debug, Default)]
struct RequestHistory {
    read_at: Option<i64>,
    started_at: Option<i64>,
    ended_at: Option<i64>,
    was_given_up: bool,
    answered_at: Option<i64>,
}

/// Simulates a connection in virtual time. Requests are read while the pipeline has capacity, run for their
/// run times and are given up at their effective deadlines; answers are written in order.
fn simulate(requests: &[SimulatedRequest], limits: PipelineLimits) -> Vec<RequestHistory> {
    let mut histories = vec![RequestHistory::default(); requests.len()];
    let mut pipeline: Pipeline<usize, ()> = Pipeline::new(limits);
    // The end of each running request and its effective deadline.
    let mut running: BTreeMap<usize, (i64, i64)> = BTreeMap::new();
    let (mut now, mut next) = (0, 0);
    loop {
        while next < requests.len() && requests[next].sent_at <= now && pipeline.has_capacity() {
            let SimulatedRequest { sent_at, timeout, key, is_write, .. } = requests[next];
            pipeline.push(request(next as u64, key, is_write, sent_at + timeout), next);
            histories[next].read_at = Some(now);
            next += 1;
        }
        while let Some(started) = pipeline.start_next() {
            histories[started.request].started_at = Some(now);
            running.insert(
                started.request,
                (now + requests[started.request].run_time, started.effective_deadline.0.max(now)),
            );
        }
        assert!(pipeline.running() <= limits.max_running);
        for ShortenedDeadline { id, effective_deadline } in pipeline.take_shortened_deadlines() {
            running.get_mut(&(id.0 as usize)).expect("only running requests have shortened deadlines").1 =
                effective_deadline.0.max(now);
        }
        let ended: Vec<usize> = running
            .iter()
            .filter(|(_, (end, deadline))| *(end.min(deadline)) <= now)
            .map(|(index, _)| *index)
            .collect();
        for index in &ended {
            let (end, _) = running.remove(index).expect("the request is running");
            (histories[*index].ended_at, histories[*index].was_given_up) = (Some(now), end > now);
            assert!(pipeline.finish(RequestId(*index as u64), ()));
        }
        while let Some(ready) = pipeline.pop_answer() {
            let index = ready.id.expect("an answer to a request").0 as usize;
            assert!(histories[index].answered_at.replace(now).is_none(), "{index} was answered twice");
        }
        let is_readable = next < requests.len() && requests[next].sent_at <= now && pipeline.has_capacity();
        if !ended.is_empty() || is_readable {
            continue;
        }
        let next_sent = requests.get(next).map(|request| request.sent_at).filter(|at| *at > now);
        let ends = running.values().map(|(end, deadline)| *end.min(deadline));
        match ends.chain(next_sent).min() {
            Some(at) => now = at,
            None => break,
        }
    }
    assert!(pipeline.is_empty());
    histories
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn every_request_is_answered_once_in_order_and_by_its_deadline(
        requests in simulated_requests(),
        max_running in 1usize..20,
        entries_per_running in 1usize..5,
    ) {
        let limits = limits(max_running * entries_per_running, max_running);
        let histories = simulate(&requests, limits);
        let mut last_answered_at = i64::MIN;
        for (index, (request, history)) in requests.iter().zip(&histories).enumerate() {
            let answered_at = history.answered_at.expect("an answer");
            prop_assert!(answered_at >= last_answered_at, "{index} was answered out of order");
            last_answered_at = answered_at;
            let (read_at, deadline) =
                (history.read_at.expect("the request was read"), request.sent_at + request.timeout);
            // A request that is read after its deadline cannot be answered in time.
            prop_assert!(
                answered_at <= deadline.max(read_at),
                "{index}: answered {answered_at}, due {deadline}, read {read_at}"
            );
        }
    }

    #[test]
    fn conflicting_requests_run_in_order(requests in simulated_requests(), max_running in 1usize..20) {
        let histories = simulate(&requests, limits(max_running * 4, max_running));
        for behind in 0..requests.len() {
            for ahead in 0..behind {
                let (first, second) = (&requests[ahead], &requests[behind]);
                if access(first.key, first.is_write).conflicts_with(access(second.key, second.is_write)) {
                    prop_assert!(
                        histories[ahead].ended_at <= histories[behind].started_at,
                        "{behind} ran before {ahead} had ended"
                    );
                }
            }
        }
    }

    /// A request is not given up while it and all requests read behind it by then can still be answered in
    /// time.
    #[test]
    fn no_request_is_given_up_before_an_answer_behind_it_is_due(
        requests in simulated_requests(),
        max_running in 1usize..20,
    ) {
        let histories = simulate(&requests, limits(max_running * 4, max_running));
        for (index, history) in histories.iter().enumerate().filter(|(_, history)| history.was_given_up) {
            let ended_at = history.ended_at.expect("the request ended");
            let known = (index..requests.len())
                .filter(|behind| histories[*behind].read_at.is_some_and(|read_at| read_at <= ended_at));
            let due = known
                .map(|behind| {
                    requests[behind].sent_at + requests[behind].timeout - 100 * (behind - index) as i64
                })
                .min();
            prop_assert!(
                due.is_some_and(|due| ended_at >= due),
                "{index} was given up at {ended_at}, no answer was due before {due:?}"
            );
        }
    }

    /// If no request waits to be read, each starts as soon as it conflicts with no unanswered request ahead
    /// of it.
    #[test]
    fn requests_wait_only_for_conflicts(requests in simulated_requests()) {
        let histories = simulate(&requests, limits(1_000, 1_000));
        for (index, history) in histories.iter().enumerate() {
            let request = &requests[index];
            let conflicts = |ahead: &usize| {
                access(requests[*ahead].key, requests[*ahead].is_write)
                    .conflicts_with(access(request.key, request.is_write))
            };
            let may_start_at =
                (0..index).filter(conflicts).filter_map(|ahead| histories[ahead].ended_at).max().unwrap_or(0);
            prop_assert_eq!(history.started_at, Some(may_start_at.max(request.sent_at)));
        }
    }
}

#[test]
fn a_sequential_pipeline_has_capacity_for_one_request() {
    let mut pipeline: Pipeline<(), ()> = Pipeline::new(PipelineLimits::SEQUENTIAL);
    assert!(pipeline.has_capacity());
    pipeline.push(PipelinedRequest { deadline: NEVER, ..request(0, 1, false, 0) }, ());
    assert!(!pipeline.has_capacity());
}
