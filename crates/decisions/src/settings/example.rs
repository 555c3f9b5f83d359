//! Example settings for documentation and tests.

use crate::interface::{
    Freshness, Idempotency, LagPolicy, ListRole, LoadReports, RequestClass, Settings, TimeDelta,
};

impl RequestClass {
    /// Returns a class of idempotent reads from data of any age.
    fn example() -> Self {
        Self {
            latency_objective: TimeDelta::from_millis(500),
            deadline: TimeDelta::from_secs(1),
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            idempotency_key_window: TimeDelta(0),
            freshness: Freshness::Any,
        }
    }
}

impl Settings {
    /// Returns the settings of a single router with one class of idempotent reads from data of any age.
    pub fn example() -> Self {
        Self {
            router_count: 1,
            zone: 0,
            timer_resolution: TimeDelta::from_millis(5),
            classes: vec![RequestClass::example()],
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            worst_class_rating_share: 0.0,
            lag_policy: LagPolicy::ServeStale,
            responses_carry_position: true,
            responses_verified: false,
            write_positions_tracked: false,
            list_role: ListRole::Late,
            load_reports: LoadReports::Inline,
            discovery_is_polled: false,
            removal_is_advisory: false,
            response_deadline_slack: TimeDelta::from_millis(20),
            discovery_poll_timeout: TimeDelta(0),
            slow_start_window: TimeDelta::from_secs(10),
            slow_start_initial_fraction: 0.25,
            slow_start_budget_window: TimeDelta::from_secs(1),
            slow_start_budget_multiple: 2.0,
            max_attempts: 4,
            max_retry_after: TimeDelta::from_secs(1),
            cancellation_allowed: true,
            health_checks_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            price_cross_zone: 0.0,
            price_health_check: 0.0,
            price_wasted_work: 0.0,
            price_handshake: 0.0,
        }
    }
}
