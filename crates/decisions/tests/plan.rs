//! The division of memory by default and with an operator's limits, and errors for contradictory limits.

use wheelpier_decisions::budget::plan::{ClassWeight, LimitOverride, Plan, PlanInputs};
use wheelpier_decisions::budget::{AccountId, Purpose, PURPOSES};
use wheelpier_decisions::Timestamp;

const MB: u64 = 1 << 20;

fn inputs() -> PlanInputs {
    let class = |priority_weight, is_write| ClassWeight { priority_weight, is_write };
    let classes = vec![class(3.0, false), class(1.0, false), class(1.0, false), class(6.0, true)];
    PlanInputs { total: 100 * MB, classes, tenant_shares: vec![0.57, 0.26, 0.17], ..PlanInputs::default() }
}

#[test]
fn each_class_and_tenant_has_an_account_of_its_own() {
    let plan = Plan::new(&inputs()).unwrap();
    let mut accounts = std::collections::BTreeSet::new();
    for class in 0..4 {
        for tenant in 0..4 {
            assert!(accounts.insert(plan.account(class, tenant)));
        }
    }
    assert!(accounts.insert(plan.unidentified_clients()));
    assert_eq!(accounts.len(), plan.limits[Purpose::ClientBuffers as usize].accounts.len());
    // Unknown tenants share the account of tenants without a name.
    assert_eq!(plan.account(3, 99), plan.account(3, 3));
}

#[test]
fn a_higher_priority_weighs_more_and_writes_have_a_reserve() {
    let plan = Plan::new(&inputs()).unwrap();
    let limits = |class, tenant| {
        let AccountId(index) = plan.account(class, tenant);
        plan.limits[Purpose::ClientBuffers as usize].accounts[index]
    };
    assert!(limits(0, 0).weight > limits(1, 0).weight && limits(0, 0).weight > limits(0, 2).weight);
    assert!(limits(3, 0).reserve > 0 && limits(0, 0).reserve == 0);
}

#[test]
fn unidentified_clients_cannot_use_the_reserve_of_writes() {
    let plan = Plan::new(&inputs()).unwrap();
    let budget = plan.budget().unwrap();
    let mut unidentified = Vec::new();
    while let Ok(reservation) =
        budget.reserve(Purpose::ClientBuffers, plan.unidentified_clients(), 64 * 1024, Timestamp(0))
    {
        unidentified.push(reservation);
    }
    assert!(unidentified.len() > 100);
    let writes: Vec<_> = (0..3)
        .map(|tenant| budget.reserve(Purpose::ClientBuffers, plan.account(3, tenant), MB, Timestamp(0)))
        .collect();
    assert!(writes.iter().all(Result::is_ok));
    // A read is rejected with a Retry-After until the unidentified clients have released memory.
    let error = budget.reserve(Purpose::ClientBuffers, plan.account(0, 0), MB, Timestamp(0)).unwrap_err();
    assert!(error.rejection.retry_after.is_some());
    assert!(budget
        .pending_reclaims()
        .iter()
        .any(|reclaim| reclaim.account == Some(plan.unidentified_clients())));
}

#[test]
fn overrides_take_precedence_and_must_fit() {
    let mut inputs = inputs();
    let limits = |cap, reserve| LimitOverride { cap: Some(cap), reserve: Some(reserve) };
    inputs.overrides.insert(Purpose::Routing, limits(7 * MB, 3 * MB));
    let plan = Plan::new(&inputs).unwrap();
    assert_eq!(plan.limits[Purpose::Routing as usize].cap, 7 * MB);
    assert_eq!(plan.limits[Purpose::Routing as usize].reserve, 3 * MB);
    inputs.overrides.insert(Purpose::ClientBuffers, limits(90 * MB, 90 * MB));
    let error = Plan::new(&inputs).unwrap_err().to_string();
    assert!(error.starts_with("all purposes: the reserves add up to"), "{error}");
}

#[test]
fn the_default_reserves_fit_into_any_total() {
    for total in [0, 1, 99, 1_000, 32 * MB, u64::MAX / 2] {
        let plan = Plan::new(&PlanInputs { total, ..inputs() }).unwrap();
        let reserves: u64 = plan.limits.iter().map(|limits| limits.reserve).sum();
        assert!(reserves <= total && plan.limits.len() == PURPOSES.len());
    }
}
