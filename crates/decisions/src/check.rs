//! Whether settings are sensible; the values themselves are judged nowhere else.

use crate::interface::{Freshness, LagPolicy, Settings, SettingsError, TimeDelta};

/// Names the first setting that no router could work with.
///
/// # Errors
/// When there is one.
pub fn check(s: &Settings) -> Result<(), SettingsError> {
    let wrong =
        |key: &str, problem: &str| Err(SettingsError { key: key.to_owned(), problem: problem.to_owned() });
    if s.router_count == 0 {
        return wrong("routers", "must be at least 1");
    }
    if s.classes.is_empty() {
        return wrong("classes", "must not be empty");
    }
    for (n, class) in s.classes.iter().enumerate() {
        let key = |field: &str| format!("classes[{n}].{field}");
        if class.latency_objective <= TimeDelta(0) {
            return wrong(&key("aim"), "must be above zero");
        }
        if class.deadline <= TimeDelta(0) {
            return wrong(&key("deadline"), "must be above zero");
        }
        if !(class.priority_weight.is_finite() && class.priority_weight >= 0.0) {
            return wrong(&key("worth"), "must be a number not below zero");
        }
        if !(class.late_priority_weight.is_finite() && class.late_priority_weight >= 0.0) {
            return wrong(&key("late_worth"), "must be a number not below zero");
        }
        if class.idempotency_key_window < TimeDelta(0) {
            return wrong(&key("key_window"), "must not be negative");
        }
        if matches!(class.freshness, Freshness::Bounded(bound) if bound < TimeDelta(0)) {
            return wrong(&key("bound"), "must not be negative");
        }
    }
    let spans = [
        ("tick", s.timer_resolution),
        ("answer_slack", s.response_deadline_slack),
        ("ask_within", s.discovery_poll_timeout),
        ("cold", s.slow_start_window),
        ("fall", s.slow_start_budget_window),
        ("max_retry_after", s.max_retry_after),
    ];
    if let Some((key, _)) = spans.iter().find(|(_, span)| *span < TimeDelta(0)) {
        return wrong(key, "must not be negative");
    }
    if matches!(s.lag_policy, LagPolicy::WaitThenReject(wait) if wait < TimeDelta(0)) {
        return wrong("when_behind", "the wait must not be negative");
    }
    if !(0.0..=1.0).contains(&s.slow_start_initial_fraction) {
        return wrong("cold_from", "must lie between 0 and 1");
    }
    if !(s.slow_start_budget_multiple.is_finite() && s.slow_start_budget_multiple >= 0.0) {
        return wrong("fall_multiple", "must be a number not below zero");
    }
    if s.max_attempts == 0 {
        return wrong("max_attempts", "must be at least 1");
    }
    if s.tenant_quotas.iter().any(|quota| !(quota.is_finite() && *quota >= 0.0)) {
        return wrong("quotas", "must be numbers not below zero");
    }
    Ok(())
}

impl Settings {
    /// One class of harmless reads at a single router: a start for examples and tests.
    pub fn example() -> Self {
        use crate::interface::{Idempotency, ListRole, LoadReports, RequestClass};
        let second = TimeDelta(1_000_000);
        Self {
            router_count: 1,
            zone: 0,
            timer_resolution: TimeDelta(5_000),
            classes: vec![RequestClass {
                latency_objective: TimeDelta(500_000),
                deadline: second,
                priority_weight: 1.0,
                late_priority_weight: 0.0,
                idempotency: Idempotency::Idempotent,
                idempotency_key_window: TimeDelta(0),
                freshness: Freshness::Any,
            }],
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            goal_worst_class: 0.0,
            lag_policy: LagPolicy::ServeStale,
            responses_carry_position: true,
            responses_verified: false,
            write_positions_tracked: false,
            list_role: ListRole::Late,
            load_reports: LoadReports::Inline,
            discovery_is_polled: false,
            removal_is_advisory: false,
            response_deadline_slack: TimeDelta(20_000),
            discovery_poll_timeout: TimeDelta(0),
            slow_start_window: TimeDelta(10_000_000),
            slow_start_initial_fraction: 0.25,
            slow_start_budget_window: second,
            slow_start_budget_multiple: 2.0,
            max_attempts: 4,
            max_retry_after: second,
            cancellation_allowed: true,
            health_checks_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            price_cross_zone: 0.0,
            price_health_check: 0.0,
            price_waste: 0.0,
            price_handshake: 0.0,
        }
    }
}
