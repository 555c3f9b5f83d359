use super::LargeAnswers;
use crate::budget::plan::{Override, Plan, PlanInputs};
use crate::budget::{Budget, Purpose};
use crate::net::clock::Clock;
use crate::net::memory::Memory;
use crate::net::stream::MAX_BUFFERED_BYTES;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::timeout;

/// Returns slots for `number` large answers, and the budget that accounts for them.
pub(in crate::net::upstream) fn slots(number: usize) -> (LargeAnswers, Budget) {
    let buffers = Override { cap: Some(2 * (number * MAX_BUFFERED_BYTES) as u64), reserve: Some(0) };
    let overrides = BTreeMap::from([(Purpose::UpstreamBuffers, buffers)]);
    let figures = PlanInputs { total: 64 << 20, overrides, ..PlanInputs::default() };
    let plan = Plan::new(&figures).unwrap();
    let budget = plan.budget().unwrap();
    (LargeAnswers::new(Memory::new(budget.clone(), plan, Clock::start())), budget)
}

#[tokio::test]
async fn a_large_answer_waits_for_its_slot_and_is_accounted_for() {
    let (large, budget) = slots(2);
    let soon = || timeout(Duration::from_millis(50), large.acquire());
    let first = soon().await.unwrap().unwrap();
    let second = soon().await.unwrap().unwrap();
    assert_eq!(budget.used(Purpose::UpstreamBuffers), 2 * MAX_BUFFERED_BYTES as u64);
    assert!(soon().await.is_err(), "there is no slot for a third");
    drop(first);
    let third = soon().await.unwrap().unwrap();
    drop((second, third));
    assert_eq!(budget.used(Purpose::UpstreamBuffers), 0);
}
