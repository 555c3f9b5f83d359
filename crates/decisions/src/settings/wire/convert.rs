//! Conversion of the JSON format's types to those of [`crate::interface`].

use super::{
    span_from_seconds, Discovery, FamilyInfo, FreshnessWord, Grade, IdempotencyWord, KeyScopeWord,
    LagPolicyWord, ListRoleWord, LoadReportsWord, Params, ReportFormat, WritePositions,
};
use crate::interface::{
    Freshness, Idempotency, KeyScope, LagPolicy, ListRole, LoadReports, RequestClass, Settings, Timestamp,
};
use crate::settings::SettingsReadError;

/// Name of the load report field that holds the applied position.
const POSITION_FIELD: &str = "x0";
/// Name of the load report field that holds the role.
const ROLE_FIELD: &str = "x1";

impl Params {
    pub(super) fn report_format(&self) -> ReportFormat {
        let fields = &self.load_report.fields;
        let field_index = |name: &str| fields.iter().position(|field| field == name);
        ReportFormat {
            position_origin: Timestamp(self.replication.position_origin.0),
            position_field: field_index(POSITION_FIELD),
            role_field: field_index(ROLE_FIELD),
            field_count: fields.len(),
        }
    }

    pub(super) fn into_settings(self) -> Result<Settings, SettingsReadError> {
        Ok(Settings {
            router_count: self.router_count,
            zone: self.zone,
            timer_resolution: self.timer_resolution,
            classes: self.request_classes()?,
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.requests_per_second).collect(),
            over_quota_weight: self.over_quota_weight,
            worst_class_rating_share: self.goal.worst_class,
            lag_policy: self.replication.lag_policy(),
            responses_carry_position: self.replication.responses_carry_position,
            // Not part of the format: callers that verify responses set it.
            responses_verified: false,
            write_positions_tracked: self.replication.tracks_write_positions(),
            list_role: self.replication.list_role.into(),
            load_reports: self.load_report.delivery.into(),
            discovery_is_polled: matches!(self.discovery, Discovery::Polled),
            removal_is_advisory: self.guarantees.removal_is_advisory,
            response_deadline_slack: self.guarantees.response_deadline_slack,
            discovery_poll_timeout: self.guarantees.discovery_poll_timeout,
            slow_start_window: self.guarantees.slow_start_window,
            slow_start_initial_fraction: self.guarantees.slow_start_initial_fraction,
            slow_start_budget_window: self.guarantees.slow_start_budget_window,
            slow_start_budget_multiple: self.guarantees.slow_start_budget_multiple,
            max_attempts: self.limits.max_attempts,
            max_retry_after: self.limits.max_retry_after,
            cancellation_allowed: self.limits.cancellation_allowed,
            health_checks_allowed: self.limits.health_checks_allowed,
            hedging_allowed: self.limits.hedging_allowed,
            retry_after_allowed: self.limits.retry_after_allowed,
            price_cross_zone: self.prices.cross_zone,
            price_health_check: self.prices.health_check,
            price_wasted_work: self.prices.waste,
            price_handshake: self.prices.handshake,
        })
    }

    fn request_classes(&self) -> Result<Vec<RequestClass>, SettingsReadError> {
        if self.replication.class_freshness.len() != self.classes.len() {
            return Err(SettingsReadError::FreshnessCount);
        }
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| Ok(class.request_class(self.replication.freshness(index)?))).collect()
    }
}

impl Grade {
    fn request_class(&self, freshness: Freshness) -> RequestClass {
        RequestClass {
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            priority_weight: self.priority_weight,
            late_priority_weight: self.late_priority_weight,
            idempotency: self.idempotency(),
            idempotency_key_window: self.idempotency_key_window,
            freshness,
        }
    }

    fn idempotency(&self) -> Idempotency {
        match self.idempotency {
            IdempotencyWord::Idempotent => Idempotency::Idempotent,
            IdempotencyWord::NotIdempotent => Idempotency::NotIdempotent,
            IdempotencyWord::WithKey => Idempotency::WithKey(match self.key_scope {
                KeyScopeWord::All => KeyScope::All,
                KeyScopeWord::Zone => KeyScope::Zone,
                KeyScopeWord::Group => KeyScope::Group,
            }),
        }
    }
}

impl FamilyInfo {
    /// Returns the required freshness of the class with this index, which must have an entry in
    /// `class_freshness`.
    fn freshness(&self, class: usize) -> Result<Freshness, SettingsReadError> {
        Ok(match self.class_freshness[class] {
            FreshnessWord::Write => Freshness::Write,
            FreshnessWord::Fresh => Freshness::Fresh,
            FreshnessWord::Session => Freshness::Session,
            FreshnessWord::Any => Freshness::Any,
            FreshnessWord::Bounded => {
                let bound = self.staleness_bounds_seconds.get(class);
                let bound = bound.ok_or(SettingsReadError::MissingBound { class })?;
                Freshness::Bounded(span_from_seconds(*bound))
            }
        })
    }

    fn lag_policy(&self) -> LagPolicy {
        match self.lag_policy {
            LagPolicyWord::ServeStale => LagPolicy::ServeStale,
            LagPolicyWord::Reject => LagPolicy::Reject,
            LagPolicyWord::WaitThenReject => LagPolicy::WaitThenReject(self.lag_wait),
        }
    }

    fn tracks_write_positions(&self) -> bool {
        matches!(self.write_positions, WritePositions::TrackedByRouter)
    }
}

impl From<ListRoleWord> for ListRole {
    fn from(word: ListRoleWord) -> Self {
        match word {
            ListRoleWord::Late => Self::Late,
            ListRoleWord::AtStart => Self::AtStart,
            ListRoleWord::Off => Self::Off,
        }
    }
}

impl From<LoadReportsWord> for LoadReports {
    fn from(word: LoadReportsWord) -> Self {
        match word {
            LoadReportsWord::Inline => Self::Inline,
            LoadReportsWord::OnHealthCheck => Self::OnHealthCheck,
            LoadReportsWord::Off => Self::Off,
        }
    }
}
