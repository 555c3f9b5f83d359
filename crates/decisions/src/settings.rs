//! The operator's settings object, turned into the module's: the proxy reads it from its configuration, the
//! simulator adapter from the simulator's first message.

use crate::interface::{
    Freshness, Idempotency, KeyScope, LagPolicy, ListRole, LoadReports, RequestClass, Settings, TimeDelta,
};
use serde::Deserialize;

/// Seconds of the wire as whole microseconds.
pub fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

fn span(seconds: f64) -> TimeDelta {
    TimeDelta(micros(seconds))
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Params {
    balancers: u32,
    #[serde(default)]
    goal: Goal,
    grades: Vec<Grade>,
    #[serde(default)]
    customers: Vec<Customer>,
    discovery: Discovery,
    family_info: FamilyInfo,
    guarantees: Guarantees,
    limits: Limits,
    #[serde(default)]
    locality: u32,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    prices: Prices,
    report: ReportInfo,
    #[serde(default)]
    tick: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Grade {
    credit: f64,
    deadline: f64,
    on_time: f64,
    #[serde(default)]
    late_worth: f64,
    repeat: RepeatWord,
    #[serde(default)]
    group: GroupWord,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatWord {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum GroupWord {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Customer {
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(default)]
    answers_stamped: bool,
    #[serde(default)]
    base_time: f64,
    #[serde(default)]
    class_bound: Vec<f64>,
    freshness: Vec<FreshnessWord>,
    #[serde(default)]
    role_in_list: ListRoleWord,
    #[serde(default)]
    wait: f64,
    #[serde(default)]
    when_behind: BehindWord,
    #[serde(default)]
    write_marks: MarksWord,
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
#[serde(rename_all = "snake_case")]
enum ListRoleWord {
    Late,
    Start,
    #[default]
    Off,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum BehindWord {
    #[default]
    Off,
    Refuse,
    Wait,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum MarksWord {
    #[default]
    Carried,
    Remembered,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Guarantees {
    #[serde(default)]
    answer_slack: f64,
    #[serde(default)]
    ask_within: f64,
    #[serde(default)]
    cold: f64,
    #[serde(default = "one")]
    cold_from: f64,
    #[serde(default)]
    fall: f64,
    #[serde(default = "one")]
    fall_multiple: f64,
    #[serde(default)]
    removal_not_binding: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    cross_zone: f64,
    probe: f64,
    waste: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Goal {
    worst_class: f64,
}

#[derive(Deserialize)]
struct ReportInfo {
    #[serde(default)]
    fields: Vec<String>,
    how: ReportWord,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportWord {
    Inline,
    OnProbe,
    Off,
}

/// What it takes to read reports and stamps.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// The moment from which positions are counted, in microseconds.
    pub zero: i64,
    /// Place of the position among a report's values.
    pub position_field: Option<usize>,
    /// Place of the role among a report's values.
    pub role_field: Option<usize>,
    /// How many values a report has.
    pub fields: usize,
}

/// Reads the settings of one instance.
///
/// # Errors
/// When the text is no settings object; the message names what is wrong with it.
pub fn read(text: &str) -> Result<(Settings, Reading), String> {
    let p: Params = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if p.family_info.freshness.len() != p.grades.len() {
        return Err("familyInfo.freshness: must have one word for each of grades".to_owned());
    }
    let mut classes = Vec::with_capacity(p.grades.len());
    for (n, grade) in p.grades.iter().enumerate() {
        let bound = p.family_info.class_bound.get(n).copied();
        classes.push(RequestClass {
            latency_objective: span(grade.on_time),
            deadline: span(grade.deadline),
            priority_weight: grade.credit,
            late_priority_weight: grade.late_worth,
            idempotency: match grade.repeat {
                RepeatWord::Pure => Idempotency::Idempotent,
                RepeatWord::SideEffect => Idempotency::NotIdempotent,
                RepeatWord::Token => Idempotency::WithKey(match grade.group {
                    GroupWord::All => KeyScope::All,
                    GroupWord::Zone => KeyScope::Zone,
                    GroupWord::Cell => KeyScope::Group,
                }),
            },
            idempotency_key_window: span(grade.window),
            freshness: match p.family_info.freshness[n] {
                FreshnessWord::Write => Freshness::Write,
                FreshnessWord::Fresh => Freshness::Fresh,
                FreshnessWord::Session => Freshness::Session,
                FreshnessWord::Any => Freshness::Any,
                FreshnessWord::Bounded => Freshness::Bounded(span(
                    bound.ok_or_else(|| format!("familyInfo.classBound: no bound for class {n}"))?,
                )),
            },
        });
    }
    let place = |name: &str| p.report.fields.iter().position(|f| f == name);
    let reading = Reading {
        zero: micros(p.family_info.base_time),
        position_field: place("x0"),
        role_field: place("x1"),
        fields: p.report.fields.len(),
    };
    let settings = Settings {
        router_count: p.balancers,
        zone: p.locality,
        timer_resolution: span(p.tick),
        classes,
        tenant_quotas: p.customers.iter().map(|c| c.quota_per_s).collect(),
        over_quota_weight: p.over_share_worth,
        goal_worst_class: p.goal.worst_class,
        lag_policy: match p.family_info.when_behind {
            BehindWord::Off => LagPolicy::ServeStale,
            BehindWord::Refuse => LagPolicy::Reject,
            BehindWord::Wait => LagPolicy::WaitThenReject(span(p.family_info.wait)),
        },
        responses_carry_position: p.family_info.answers_stamped,
        // Whoever passes answers on says so: a simulator does that by itself.
        responses_verified: false,
        write_positions_tracked: matches!(p.family_info.write_marks, MarksWord::Remembered),
        list_role: match p.family_info.role_in_list {
            ListRoleWord::Late => ListRole::Late,
            ListRoleWord::Start => ListRole::AtStart,
            ListRoleWord::Off => ListRole::Off,
        },
        load_reports: match p.report.how {
            ReportWord::Inline => LoadReports::Inline,
            ReportWord::OnProbe => LoadReports::OnHealthCheck,
            ReportWord::Off => LoadReports::Off,
        },
        discovery_is_polled: matches!(p.discovery, Discovery::OnRequest),
        removal_is_advisory: p.guarantees.removal_not_binding,
        response_deadline_slack: span(p.guarantees.answer_slack),
        discovery_poll_timeout: span(p.guarantees.ask_within),
        slow_start_window: span(p.guarantees.cold),
        slow_start_initial_fraction: p.guarantees.cold_from,
        slow_start_budget_window: span(p.guarantees.fall),
        slow_start_budget_multiple: p.guarantees.fall_multiple,
        max_attempts: p.limits.max_attempts,
        max_retry_after: span(p.limits.max_retry_after),
        cancellation_allowed: p.limits.may_cancel,
        health_checks_allowed: p.limits.probes,
        hedging_allowed: p.limits.second_copies,
        retry_after_allowed: p.limits.retry_after,
        price_cross_zone: p.prices.cross_zone,
        price_health_check: p.prices.probe,
        price_waste: p.prices.waste,
        price_handshake: p.prices.handshake,
    };
    Ok((settings, reading))
}
