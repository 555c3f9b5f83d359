//! The JSON format of the settings, and the mapping of its keys and values to the terms of the code.
//!
//! Time spans are fractional seconds. Unknown keys are ignored. The structs are named after the format
//! because error messages about malformed settings contain their names.

mod convert;

use super::error::SettingsReadError;
use crate::interface::{Settings, TimeDelta, Timestamp};
use serde::{Deserialize, Deserializer};

/// Format of load reports and positions as hosts write them.
#[derive(Clone, Debug, Default)]
pub struct ReportFormat {
    /// Point in time that positions are relative to.
    pub position_origin: Timestamp,
    /// Index of the applied position among a report's values.
    pub position_field: Option<usize>,
    /// Index of the host's role among a report's values.
    pub role_field: Option<usize>,
    /// Number of values in a report.
    pub field_count: usize,
}

/// Parses the settings of a router from JSON. [`validate`](super::validate) checks their values.
///
/// # Errors
/// Returns an error if the text is not a valid settings object.
pub fn read(text: &str) -> Result<(Settings, ReportFormat), SettingsReadError> {
    let params: Params = serde_json::from_str(text)?;
    let report_format = params.report_format();
    Ok((params.into_settings()?, report_format))
}

/// Converts seconds to whole microseconds, rounded to the nearest.
pub fn micros_from_seconds(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

fn span_from_seconds(seconds: f64) -> TimeDelta {
    TimeDelta(micros_from_seconds(seconds))
}

/// Deserializes a number of seconds as a time span.
fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<TimeDelta, D::Error> {
    f64::deserialize(deserializer).map(span_from_seconds)
}

fn one() -> f64 {
    1.0
}

/// The settings object.
#[derive(Deserialize)]
struct Params {
    #[serde(rename = "balancers")]
    router_count: u32,
    #[serde(default)]
    goal: Goal,
    #[serde(rename = "grades")]
    classes: Vec<Grade>,
    #[serde(rename = "customers", default)]
    tenants: Vec<Customer>,
    discovery: Discovery,
    #[serde(rename = "familyInfo")]
    replication: FamilyInfo,
    guarantees: Guarantees,
    limits: Limits,
    #[serde(rename = "locality", default)]
    zone: u32,
    #[serde(rename = "overShareWorth", default = "one")]
    over_quota_weight: f64,
    #[serde(default)]
    prices: Prices,
    #[serde(rename = "report")]
    load_report: ReportInfo,
    #[serde(rename = "tick", default, deserialize_with = "seconds")]
    timer_resolution: TimeDelta,
}

/// A request class.
#[derive(Deserialize)]
struct Grade {
    #[serde(rename = "credit")]
    priority_weight: f64,
    #[serde(deserialize_with = "seconds")]
    deadline: TimeDelta,
    #[serde(rename = "onTime", deserialize_with = "seconds")]
    latency_objective: TimeDelta,
    #[serde(rename = "lateWorth", default)]
    late_priority_weight: f64,
    #[serde(rename = "repeat")]
    idempotency: IdempotencyWord,
    #[serde(rename = "group", default)]
    key_scope: KeyScopeWord,
    #[serde(rename = "window", default, deserialize_with = "seconds")]
    idempotency_key_window: TimeDelta,
}

#[derive(Deserialize)]
enum IdempotencyWord {
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "token")]
    WithKey,
    #[serde(rename = "side_effect")]
    NotIdempotent,
}

#[derive(Deserialize, Default)]
enum KeyScopeWord {
    #[default]
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Group,
}

/// A tenant.
#[derive(Deserialize)]
struct Customer {
    #[serde(rename = "quotaPerS")]
    requests_per_second: f64,
}

#[derive(Deserialize)]
enum Discovery {
    #[serde(rename = "pushed")]
    Pushed,
    #[serde(rename = "on_request")]
    Polled,
}

/// Replication: freshness of each class, roles, log positions and the lag policy.
#[derive(Deserialize)]
struct FamilyInfo {
    #[serde(rename = "answersStamped", default)]
    responses_carry_position: bool,
    #[serde(rename = "baseTime", default, deserialize_with = "seconds")]
    position_origin: TimeDelta,
    /// One value for each class; used only for classes with bounded staleness.
    #[serde(rename = "classBound", default)]
    staleness_bounds_seconds: Vec<f64>,
    #[serde(rename = "freshness")]
    class_freshness: Vec<FreshnessWord>,
    #[serde(rename = "roleInList", default)]
    list_role: ListRoleWord,
    #[serde(rename = "wait", default, deserialize_with = "seconds")]
    lag_wait: TimeDelta,
    #[serde(rename = "whenBehind", default)]
    lag_policy: LagPolicyWord,
    #[serde(rename = "writeMarks", default)]
    write_positions: WritePositions,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum FreshnessWord {
    Write,
    Fresh,
    Session,
    Bounded,
    Any,
}

#[derive(Deserialize, Default)]
enum ListRoleWord {
    #[serde(rename = "late")]
    Late,
    #[serde(rename = "start")]
    AtStart,
    #[default]
    #[serde(rename = "off")]
    Off,
}

#[derive(Deserialize, Default)]
enum LagPolicyWord {
    #[default]
    #[serde(rename = "off")]
    ServeStale,
    #[serde(rename = "refuse")]
    Reject,
    #[serde(rename = "wait")]
    WaitThenReject,
}

/// Where the positions of a session's writes are kept.
#[derive(Deserialize, Default)]
enum WritePositions {
    #[default]
    #[serde(rename = "carried")]
    CarriedByClients,
    #[serde(rename = "remembered")]
    TrackedByRouter,
}

/// Guarantees about deadlines, discovery and slow start.
#[derive(Deserialize)]
struct Guarantees {
    #[serde(rename = "answerSlack", default, deserialize_with = "seconds")]
    response_deadline_slack: TimeDelta,
    #[serde(rename = "askWithin", default, deserialize_with = "seconds")]
    discovery_poll_timeout: TimeDelta,
    #[serde(rename = "cold", default, deserialize_with = "seconds")]
    slow_start_window: TimeDelta,
    #[serde(rename = "coldFrom", default = "one")]
    slow_start_initial_fraction: f64,
    #[serde(rename = "fall", default, deserialize_with = "seconds")]
    slow_start_budget_window: TimeDelta,
    #[serde(rename = "fallMultiple", default = "one")]
    slow_start_budget_multiple: f64,
    #[serde(rename = "removalNotBinding", default)]
    removal_is_advisory: bool,
}

/// Limits on what a router may do.
#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "maxAttempts")]
    max_attempts: u32,
    #[serde(rename = "maxRetryAfter", default, deserialize_with = "seconds")]
    max_retry_after: TimeDelta,
    #[serde(rename = "mayCancel", default)]
    cancellation_allowed: bool,
    #[serde(rename = "probes", default)]
    health_checks_allowed: bool,
    #[serde(rename = "retryAfter", default)]
    retry_after_allowed: bool,
    #[serde(rename = "secondCopies", default)]
    hedging_allowed: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Prices {
    #[serde(rename = "crossZone")]
    cross_zone: f64,
    #[serde(rename = "probe")]
    health_check: f64,
    waste: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Goal {
    #[serde(rename = "worstClass")]
    worst_class: f64,
}

/// Contents and delivery of load reports.
#[derive(Deserialize)]
struct ReportInfo {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(rename = "how")]
    delivery: LoadReportsWord,
}

#[derive(Deserialize)]
enum LoadReportsWord {
    #[serde(rename = "inline")]
    Inline,
    #[serde(rename = "on_probe")]
    OnHealthCheck,
    #[serde(rename = "off")]
    Off,
}
