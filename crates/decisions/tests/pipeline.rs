//! Pipelines of one connection against a plain model: every request gets one answer, in its turn and in its time.

use proptest::prelude::*;
use std::collections::BTreeMap;
use wheelpier_decisions::pipeline::{Access, Pipeline, PipelineLimits, PipelinedRequest, ShortenedDeadline};
use wheelpier_decisions::{RequestId, SessionId, Timestamp};

/// Far beyond any deadline of these tests.
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

/// A pipeline of these requests: key, whether it writes, deadline; numbered from 0 on.
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
fn requests_run_beside_each_other_and_answers_keep_their_order() {
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
fn a_read_waits_for_the_write_of_its_key_and_others_do_not() {
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
fn keys_of_other_groups_do_not_conflict() {
    let write = access(1, true);
    assert!(write.conflicts_with(access(1, false)) && !write.conflicts_with(Access { group: 1, ..write }));
    assert!(!access(1, false).conflicts_with(access(1, false)));
}

#[test]
fn a_request_is_due_before_those_behind_it() {
    let mut pipeline = pipeline(&[(1, true, 5_000_000), (2, false, 400_000), (3, false, 900_000)]);
    let dues: Vec<_> =
        std::iter::from_fn(|| pipeline.start_next()).map(|started| started.effective_deadline.0).collect();
    assert_eq!(dues, [399_900, 400_000, 900_000]);
    assert_eq!(pipeline.take_shortened_deadlines(), [], "what was said at the start is not said again");
    pipeline.push(request(3, 4, false, 200_000), ());
    let tightened = pipeline.take_shortened_deadlines();
    let expected = [(2, 199_900), (1, 199_800), (0, 199_700)];
    assert_eq!(
        tightened,
        expected.map(|(id, due)| ShortenedDeadline { id: RequestId(id), effective_deadline: Timestamp(due) })
    );
    assert_eq!(pipeline.take_shortened_deadlines(), []);
}

#[test]
fn an_error_behind_a_request_bounds_it_and_is_written_in_its_turn() {
    let mut pipeline = pipeline(&[(1, false, 5_000_000)]);
    pipeline.push_answer("error", Timestamp(2_500_000));
    assert_eq!(pipeline.start_next().map(|started| started.effective_deadline), Some(Timestamp(2_499_900)));
    assert_eq!(pipeline.pop_answer(), None);
    pipeline.finish(RequestId(0), "value");
    assert_eq!(pipeline.pop_answer().map(|ready| ready.answer), Some("value"));
    assert_eq!(pipeline.pop_answer().map(|ready| (ready.id, ready.answer)), Some((None, "error")));
}

#[test]
fn what_is_requeued_waits_and_what_is_cancelled_gets_no_answer() {
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
fn an_abandoned_pipeline_answers_each_request_once_and_names_those_that_ran() {
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
fn limits_follow_from_what_a_proxy_may_hold_for_each_connection() {
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

/// A request of the model: when it is sent, how long its client waits, and how long it would run.
#[derive(Clone, Debug)]
struct Planned {
    sent: i64,
    wait: i64,
    runs: i64,
    key: u64,
    write: bool,
}

fn planned() -> impl Strategy<Value = Vec<Planned>> {
    let gap = prop_oneof![4 => Just(0), 2 => 1i64..50_000, 1 => 50_000i64..2_000_000];
    let one = (gap, 20_000i64..3_000_000, 500i64..4_000_000, 0u64..4, any::<bool>());
    prop::collection::vec(one, 1..60).prop_map(|all| {
        let mut now = 0;
        let plan = |(gap, wait, runs, key, write)| {
            now += gap;
            Planned { sent: now, wait, runs, key, write }
        };
        all.into_iter().map(plan).collect()
    })
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    read: Option<i64>,
    started: Option<i64>,
    ended: Option<i64>,
    given_up: bool,
    answered: Option<i64>,
}

/// Plays a connection in virtual time: requests are read while there is room, run as long as planned, and are given up at
/// their effective deadlines. Answers are written as their turn comes.
fn play(plan: &[Planned], limits: PipelineLimits) -> Vec<Outcome> {
    let mut outcomes = vec![Outcome::default(); plan.len()];
    let mut pipeline: Pipeline<usize, ()> = Pipeline::new(limits);
    // When each running request would end by itself, and by when it is given up.
    let mut running: BTreeMap<usize, (i64, i64)> = BTreeMap::new();
    let (mut now, mut next) = (0, 0);
    loop {
        while next < plan.len() && plan[next].sent <= now && pipeline.has_capacity() {
            let Planned { sent, wait, key, write, .. } = plan[next];
            pipeline.push(request(next as u64, key, write, sent + wait), next);
            outcomes[next].read = Some(now);
            next += 1;
        }
        while let Some(started) = pipeline.start_next() {
            outcomes[started.request].started = Some(now);
            running.insert(
                started.request,
                (now + plan[started.request].runs, started.effective_deadline.0.max(now)),
            );
        }
        assert!(pipeline.running() <= limits.max_running);
        for ShortenedDeadline { id, effective_deadline } in pipeline.take_shortened_deadlines() {
            running.get_mut(&(id.0 as usize)).expect("only what runs is tightened").1 =
                effective_deadline.0.max(now);
        }
        let over: Vec<usize> =
            running.iter().filter(|(_, (ends, due))| *(ends.min(due)) <= now).map(|(n, _)| *n).collect();
        for request in &over {
            let (ends, _) = running.remove(request).expect("it runs");
            (outcomes[*request].ended, outcomes[*request].given_up) = (Some(now), ends > now);
            assert!(pipeline.finish(RequestId(*request as u64), ()));
        }
        while let Some(ready) = pipeline.pop_answer() {
            let request = ready.id.expect("a request").0 as usize;
            assert!(outcomes[request].answered.replace(now).is_none(), "{request} was answered twice");
        }
        let is_readable = next < plan.len() && plan[next].sent <= now && pipeline.has_capacity();
        if !over.is_empty() || is_readable {
            continue;
        }
        let sent = plan.get(next).map(|planned| planned.sent).filter(|sent| *sent > now);
        let ends = running.values().map(|(ends, due)| *ends.min(due));
        match ends.chain(sent).min() {
            Some(at) => now = at,
            None => break,
        }
    }
    assert!(pipeline.is_empty());
    outcomes
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn every_request_is_answered_once_in_its_turn_and_in_its_time(
        plan in planned(),
        running in 1usize..20,
        room in 1usize..5,
    ) {
        let limits = limits(running * room, running);
        let outcomes = play(&plan, limits);
        let mut last = i64::MIN;
        for (n, (planned, outcome)) in plan.iter().zip(&outcomes).enumerate() {
            let answered = outcome.answered.expect("an answer");
            prop_assert!(answered >= last, "{n} was answered out of turn");
            last = answered;
            let (read, deadline) = (outcome.read.expect("read"), planned.sent + planned.wait);
            // One that could not be read in its time came too late for an answer in its time.
            prop_assert!(answered <= deadline.max(read), "{n}: answered {answered}, due {deadline}, read {read}");
        }
    }

    #[test]
    fn requests_that_conflict_run_in_order(plan in planned(), running in 1usize..20) {
        let outcomes = play(&plan, limits(running * 4, running));
        for behind in 0..plan.len() {
            for ahead in 0..behind {
                let (a, b) = (&plan[ahead], &plan[behind]);
                if access(a.key, a.write).conflicts_with(access(b.key, b.write)) {
                    prop_assert!(outcomes[ahead].ended <= outcomes[behind].started, "{behind} ran before {ahead} had ended");
                }
            }
        }
    }

    /// Nothing is given up while it and all that was read behind it by then can still be answered in time.
    #[test]
    fn nothing_is_given_up_before_an_answer_behind_it_is_due(plan in planned(), running in 1usize..20) {
        let outcomes = play(&plan, limits(running * 4, running));
        for (n, outcome) in outcomes.iter().enumerate().filter(|(_, outcome)| outcome.given_up) {
            let at = outcome.ended.expect("an end");
            let known = (n..plan.len()).filter(|m| outcomes[*m].read.is_some_and(|read| read <= at));
            let due = known.map(|m| plan[m].sent + plan[m].wait - 100 * (m - n) as i64).min();
            prop_assert!(due.is_some_and(|due| at >= due), "{n} was given up at {at}, nothing was due before {due:?}");
        }
    }

    /// Where nobody waits to be read, a request starts as soon as nothing ahead conflicts and there is a place.
    #[test]
    fn nothing_waits_without_need(plan in planned()) {
        let outcomes = play(&plan, limits(1_000, 1_000));
        for (n, outcome) in outcomes.iter().enumerate() {
            let conflicts = |m: &usize| access(plan[*m].key, plan[*m].write).conflicts_with(access(plan[n].key, plan[n].write));
            let free = (0..n).filter(conflicts).filter_map(|m| outcomes[m].ended).max().unwrap_or(0);
            prop_assert_eq!(outcome.started, Some(free.max(plan[n].sent)));
        }
    }
}

#[test]
fn a_pipeline_of_one_has_no_capacity_for_another() {
    let mut pipeline: Pipeline<(), ()> = Pipeline::new(PipelineLimits::SEQUENTIAL);
    assert!(pipeline.has_capacity());
    pipeline.push(PipelinedRequest { deadline: NEVER, ..request(0, 1, false, 0) }, ());
    assert!(!pipeline.has_capacity());
}
