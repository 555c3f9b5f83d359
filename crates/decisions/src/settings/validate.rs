//! Validation of settings: the only place that checks their values.

use crate::interface::{
    Freshness, LagPolicy, RequestClass, Settings, SettingsError, SettingsProblem, TimeDelta,
};

/// Checks that a router can work with the settings.
///
/// # Errors
/// Returns the first invalid setting.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    require(settings.router_count > 0, "routers", SettingsProblem::BelowOne)?;
    require(!settings.classes.is_empty(), "classes", SettingsProblem::Empty)?;
    for (index, class) in settings.classes.iter().enumerate() {
        validate_class(index, class)?;
    }
    validate_spans(settings)?;
    validate_numbers(settings)
}

fn validate_class(index: usize, class: &RequestClass) -> Result<(), SettingsError> {
    use SettingsProblem::{Negative, NotANonNegativeNumber, NotPositive};
    let zero = TimeDelta(0);
    let require_field = |is_valid: bool, field: &str, problem: SettingsProblem| {
        require(is_valid, &format!("classes[{index}].{field}"), problem)
    };
    require_field(class.latency_objective > zero, "aim", NotPositive)?;
    require_field(class.deadline > zero, "deadline", NotPositive)?;
    require_field(is_non_negative(class.priority_weight), "worth", NotANonNegativeNumber)?;
    require_field(is_non_negative(class.late_priority_weight), "late_worth", NotANonNegativeNumber)?;
    require_field(class.idempotency_key_window >= zero, "key_window", Negative)?;
    let bound_is_negative = matches!(class.freshness, Freshness::Bounded(bound) if bound < zero);
    require_field(!bound_is_negative, "bound", Negative)
}

fn validate_spans(settings: &Settings) -> Result<(), SettingsError> {
    let zero = TimeDelta(0);
    let spans = [
        ("tick", settings.timer_resolution),
        ("answer_slack", settings.response_deadline_slack),
        ("ask_within", settings.discovery_poll_timeout),
        ("cold", settings.slow_start_window),
        ("fall", settings.slow_start_budget_window),
        ("max_retry_after", settings.max_retry_after),
    ];
    for (key, span) in spans {
        require(span >= zero, key, SettingsProblem::Negative)?;
    }
    let wait_is_negative = matches!(settings.lag_policy, LagPolicy::WaitThenReject(wait) if wait < zero);
    require(!wait_is_negative, "when_behind", SettingsProblem::NegativeWait)
}

fn validate_numbers(settings: &Settings) -> Result<(), SettingsError> {
    use SettingsProblem::{BelowOne, NotAFraction, NotANonNegativeNumber, NotNonNegativeNumbers};
    let fraction = settings.slow_start_initial_fraction;
    require((0.0..=1.0).contains(&fraction), "cold_from", NotAFraction)?;
    let multiple = settings.slow_start_budget_multiple;
    require(is_non_negative(multiple), "fall_multiple", NotANonNegativeNumber)?;
    require(settings.max_attempts > 0, "max_attempts", BelowOne)?;
    let quotas_are_valid = settings.tenant_quotas.iter().all(|quota| is_non_negative(*quota));
    require(quotas_are_valid, "quotas", NotNonNegativeNumbers)
}

fn require(is_valid: bool, key: &str, problem: SettingsProblem) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError { key: key.to_owned(), problem })
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
