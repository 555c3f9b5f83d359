//! Reading and validation of the operator's settings, with the error message for each mistake.

use rstest::rstest;
use serde_json::{json, Value};
use wheelpier_decisions::settings::{read, validate};
use wheelpier_decisions::{
    Freshness, Idempotency, KeyScope, LagPolicy, ListRole, LoadReports, TimeDelta, Timestamp,
};

fn document() -> Value {
    json!({
        "balancers": 2,
        "grades": [
            {
                "credit": 1.0, "deadline": 1.0, "onTime": 0.5, "lateWorth": 0.1, "repeat": "token",
                "group": "cell", "window": 3.0,
            },
            {"credit": 2.0, "deadline": 1.5, "onTime": 0.25, "repeat": "pure"},
        ],
        "customers": [{"quotaPerS": 3.0}],
        "discovery": "on_request",
        "familyInfo": {
            "answersStamped": true, "baseTime": 12.5, "classBound": [0.0, 0.7],
            "freshness": ["write", "bounded"], "roleInList": "start", "wait": 0.3, "whenBehind": "wait",
            "writeMarks": "remembered",
        },
        "guarantees": {"answerSlack": 0.02, "cold": 18.0, "coldFrom": 0.15, "fall": 3.0, "fallMultiple": 2.0},
        "limits": {"maxAttempts": 8, "maxRetryAfter": 0.5, "probes": true, "secondCopies": true},
        "locality": 3,
        "report": {"fields": ["cpu", "x1", "x0"], "how": "on_probe"},
        "keyOfALaterVersion": 1,
    })
}

fn error_message(document: &Value) -> String {
    match read(&document.to_string()) {
        Ok((settings, _)) => validate(&settings).unwrap_err().to_string(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn every_key_is_mapped_and_absent_ones_have_their_defaults() {
    let (settings, format) = read(&document().to_string()).unwrap();
    assert_eq!((settings.router_count, settings.zone, settings.tenant_quotas.as_slice()), (2, 3, &[3.0][..]));
    let [write, read] = settings.classes.as_slice() else { panic!("{:?}", settings.classes) };
    assert_eq!((write.priority_weight, write.late_priority_weight), (1.0, 0.1));
    assert_eq!(write.idempotency, Idempotency::WithKey(KeyScope::Group));
    assert_eq!(write.idempotency_key_window, TimeDelta::from_secs(3));
    assert_eq!((write.freshness, read.freshness), (Freshness::Write, Freshness::Bounded(TimeDelta(700_000))));
    assert_eq!((read.latency_objective, read.deadline), (TimeDelta(250_000), TimeDelta(1_500_000)));
    assert_eq!((read.idempotency, read.late_priority_weight), (Idempotency::Idempotent, 0.0));
    assert_eq!(settings.lag_policy, LagPolicy::WaitThenReject(TimeDelta(300_000)));
    assert_eq!((settings.list_role, settings.load_reports), (ListRole::AtStart, LoadReports::OnHealthCheck));
    assert!(settings.discovery_is_polled && settings.write_positions_tracked);
    assert!(settings.responses_carry_position && !settings.responses_verified);
    assert_eq!(
        (settings.slow_start_window, settings.slow_start_initial_fraction),
        (TimeDelta::from_secs(18), 0.15)
    );
    assert_eq!(
        (settings.slow_start_budget_window, settings.slow_start_budget_multiple),
        (TimeDelta::from_secs(3), 2.0)
    );
    assert_eq!(
        (settings.response_deadline_slack, settings.max_retry_after),
        (TimeDelta(20_000), TimeDelta(500_000))
    );
    assert!(settings.hedging_allowed && settings.health_checks_allowed);
    assert!(!settings.cancellation_allowed && !settings.retry_after_allowed && !settings.removal_is_advisory);
    assert_eq!((settings.max_attempts, settings.over_quota_weight, settings.price_handshake), (8, 1.0, 0.0));
    assert_eq!(format.position_origin, Timestamp(12_500_000));
    assert_eq!((format.position_field, format.role_field, format.field_count), (Some(2), Some(1), 3));
}

#[rstest]
#[case::too_few_freshness_values(
    "/familyInfo/freshness",
    json!(["any"]),
    "familyInfo.freshness: must have as many entries as grades"
)]
#[case::no_bound("/familyInfo/classBound", json!([0.0]), "familyInfo.classBound: no bound for class 1")]
#[case::unknown_variant(
    "/grades/0/repeat",
    json!("safe"),
    "unknown variant `safe`, expected one of `pure`, `token`, `side_effect` at line 1 column 356"
)]
#[case::not_an_object("", json!(1), "invalid type: integer `1`, expected struct Params at line 1 column 1")]
#[case::empty_list(
    "",
    json!([]),
    "invalid length 0, expected struct Params with 13 elements at line 1 column 2"
)]
#[case::no_routers("/balancers", json!(0), "setting `routers`: must be at least 1")]
#[case::no_objective("/grades/1/onTime", json!(0), "setting `classes[1].aim`: must be above zero")]
#[case::no_deadline("/grades/0/deadline", json!(0), "setting `classes[0].deadline`: must be above zero")]
#[case::weight("/grades/1/credit", json!(-1), "setting `classes[1].worth`: must be a number not below zero")]
#[case::late_weight(
    "/grades/0/lateWorth",
    json!(-1),
    "setting `classes[0].late_worth`: must be a number not below zero"
)]
#[case::key_window("/grades/0/window", json!(-1), "setting `classes[0].key_window`: must not be negative")]
#[case::bound("/familyInfo/classBound/1", json!(-1), "setting `classes[1].bound`: must not be negative")]
#[case::slack("/guarantees/answerSlack", json!(-1), "setting `answer_slack`: must not be negative")]
#[case::wait("/familyInfo/wait", json!(-1), "setting `when_behind`: the wait must not be negative")]
#[case::fraction("/guarantees/coldFrom", json!(2), "setting `cold_from`: must lie between 0 and 1")]
#[case::multiple(
    "/guarantees/fallMultiple",
    json!(-1),
    "setting `fall_multiple`: must be a number not below zero"
)]
#[case::attempts("/limits/maxAttempts", json!(0), "setting `max_attempts`: must be at least 1")]
#[case::quota("/customers/0/quotaPerS", json!(-1), "setting `quotas`: must be numbers not below zero")]
fn an_invalid_setting_gets_its_error_message(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = document();
    *document.pointer_mut(pointer).unwrap() = value;
    assert_eq!(error_message(&document), expected);
}

#[test]
fn settings_without_classes_are_rejected() {
    let mut document = document();
    document["grades"] = json!([]);
    document["familyInfo"]["freshness"] = json!([]);
    assert_eq!(error_message(&document), "setting `classes`: must not be empty");
}
