//! How the whole is divided, and what of an operator's wishes cannot hold.

use wheelpier_decisions::budget::plan::{ClassWeight, Override, Plan, PlanInputs};
use wheelpier_decisions::budget::{AccountId, Purpose, PURPOSES};
use wheelpier_decisions::Timestamp;

const MB: u64 = 1 << 20;

fn figures() -> PlanInputs {
    let class = |worth, write| ClassWeight { worth, write };
    let classes = vec![class(3.0, false), class(1.0, false), class(1.0, false), class(6.0, true)];
    PlanInputs { total: 100 * MB, classes, tenants: vec![0.57, 0.26, 0.17], ..PlanInputs::default() }
}

#[test]
fn each_class_and_tenant_has_an_account_of_its_own() {
    let plan = Plan::new(&figures()).unwrap();
    let mut seen = std::collections::BTreeSet::new();
    for class in 0..4 {
        for tenant in 0..4 {
            assert!(seen.insert(plan.account(class, tenant)));
        }
    }
    assert!(seen.insert(plan.unidentified_clients()));
    assert_eq!(seen.len(), plan.terms[Purpose::ClientBuffers as usize].accounts.len());
    // Who is not known is one of those that are not named.
    assert_eq!(plan.account(3, 99), plan.account(3, 3));
}

#[test]
fn what_is_worth_more_weighs_more_and_writes_have_a_reserve() {
    let plan = Plan::new(&figures()).unwrap();
    let terms = |class, tenant| {
        let AccountId(n) = plan.account(class, tenant);
        plan.terms[Purpose::ClientBuffers as usize].accounts[n]
    };
    assert!(terms(0, 0).weight > terms(1, 0).weight && terms(0, 0).weight > terms(0, 2).weight);
    assert!(terms(3, 0).reserve > 0 && terms(0, 0).reserve == 0);
}

#[test]
fn a_crowd_of_strangers_leaves_sale_writes_their_room() {
    let plan = Plan::new(&figures()).unwrap();
    let budget = plan.budget().unwrap();
    let mut crowd = Vec::new();
    while let Ok(ticket) =
        budget.reserve(Purpose::ClientBuffers, plan.unidentified_clients(), 64 * 1024, Timestamp(0))
    {
        crowd.push(ticket);
    }
    assert!(crowd.len() > 100);
    let written: Vec<_> = (0..3)
        .map(|tenant| budget.reserve(Purpose::ClientBuffers, plan.account(3, tenant), MB, Timestamp(0)))
        .collect();
    assert!(written.iter().all(Result::is_ok));
    // A lookup has to wait, for a time that is told, until the crowd has given back.
    let refused = budget.reserve(Purpose::ClientBuffers, plan.account(0, 0), MB, Timestamp(0)).unwrap_err();
    assert!(refused.rejection.retry_after.is_some());
    assert!(budget.recalls().iter().any(|due| due.account == Some(plan.unidentified_clients())));
}

#[test]
fn what_the_operator_sets_goes_before_and_must_fit() {
    let mut figures = figures();
    let wish = |cap, reserve| Override { cap: Some(cap), reserve: Some(reserve) };
    figures.overrides.insert(Purpose::Routing, wish(7 * MB, 3 * MB));
    let plan = Plan::new(&figures).unwrap();
    assert_eq!(plan.terms[Purpose::Routing as usize].cap, 7 * MB);
    assert_eq!(plan.terms[Purpose::Routing as usize].reserve, 3 * MB);
    figures.overrides.insert(Purpose::ClientBuffers, wish(90 * MB, 90 * MB));
    let error = Plan::new(&figures).unwrap_err().to_string();
    assert!(error.starts_with("all purposes: the reserves add up to"), "{error}");
}

#[test]
fn the_reserves_of_any_whole_fit() {
    for total in [0, 1, 99, 1_000, 32 * MB, u64::MAX / 2] {
        let plan = Plan::new(&PlanInputs { total, ..figures() }).unwrap();
        let reserves: u64 = plan.terms.iter().map(|terms| terms.reserve).sum();
        assert!(reserves <= total && plan.terms.len() == PURPOSES.len());
    }
}
