//! Whether settings are sensible; the values themselves are judged nowhere else.

use crate::interface::{Freshness, Settings, SettingsError, TimeDelta, WhenBehind};

/// Names the first setting that no router could work with.
///
/// # Errors
/// When there is one.
pub fn check(s: &Settings) -> Result<(), SettingsError> {
    let wrong =
        |key: &str, problem: &str| Err(SettingsError { key: key.to_owned(), problem: problem.to_owned() });
    if s.routers == 0 {
        return wrong("routers", "must be at least 1");
    }
    if s.classes.is_empty() {
        return wrong("classes", "must not be empty");
    }
    for (n, class) in s.classes.iter().enumerate() {
        let key = |field: &str| format!("classes[{n}].{field}");
        if class.aim <= TimeDelta(0) {
            return wrong(&key("aim"), "must be above zero");
        }
        if class.deadline <= TimeDelta(0) {
            return wrong(&key("deadline"), "must be above zero");
        }
        if !(class.worth.is_finite() && class.worth >= 0.0) {
            return wrong(&key("worth"), "must be a number not below zero");
        }
        if !(class.late_worth.is_finite() && class.late_worth >= 0.0) {
            return wrong(&key("late_worth"), "must be a number not below zero");
        }
        if class.key_window < TimeDelta(0) {
            return wrong(&key("key_window"), "must not be negative");
        }
        if matches!(class.freshness, Freshness::Bounded(bound) if bound < TimeDelta(0)) {
            return wrong(&key("bound"), "must not be negative");
        }
    }
    let spans = [
        ("tick", s.tick),
        ("answer_slack", s.answer_slack),
        ("ask_within", s.ask_within),
        ("cold", s.cold),
        ("fall", s.fall),
        ("max_retry_after", s.max_retry_after),
    ];
    if let Some((key, _)) = spans.iter().find(|(_, span)| *span < TimeDelta(0)) {
        return wrong(key, "must not be negative");
    }
    if matches!(s.when_behind, WhenBehind::Wait(wait) if wait < TimeDelta(0)) {
        return wrong("when_behind", "the wait must not be negative");
    }
    if !(0.0..=1.0).contains(&s.cold_from) {
        return wrong("cold_from", "must lie between 0 and 1");
    }
    if !(s.fall_multiple.is_finite() && s.fall_multiple >= 0.0) {
        return wrong("fall_multiple", "must be a number not below zero");
    }
    if s.max_attempts == 0 {
        return wrong("max_attempts", "must be at least 1");
    }
    if s.quotas.iter().any(|quota| !(quota.is_finite() && *quota >= 0.0)) {
        return wrong("quotas", "must be numbers not below zero");
    }
    Ok(())
}

impl Settings {
    /// One class of harmless reads at a single router: a start for examples and tests.
    pub fn example() -> Self {
        use crate::interface::{Class, ListRole, Repeat, Reports};
        let second = TimeDelta(1_000_000);
        Self {
            routers: 1,
            zone: 0,
            tick: TimeDelta(5_000),
            classes: vec![Class {
                aim: TimeDelta(500_000),
                deadline: second,
                worth: 1.0,
                late_worth: 0.0,
                repeat: Repeat::Safe,
                key_window: TimeDelta(0),
                freshness: Freshness::Any,
            }],
            quotas: Vec::new(),
            over_share_worth: 1.0,
            goal_worst_class: 0.0,
            when_behind: WhenBehind::Off,
            answers_stamped: true,
            answers_checked: false,
            remembered: false,
            list_role: ListRole::Late,
            reports: Reports::Inline,
            on_request: false,
            removal_not_binding: false,
            answer_slack: TimeDelta(20_000),
            ask_within: TimeDelta(0),
            cold: TimeDelta(10_000_000),
            cold_from: 0.25,
            fall: second,
            fall_multiple: 2.0,
            max_attempts: 4,
            max_retry_after: second,
            may_cancel: true,
            may_probe: true,
            second_copies: true,
            retry_after: true,
            price_cross_zone: 0.0,
            price_probe: 0.0,
            price_waste: 0.0,
            price_handshake: 0.0,
        }
    }
}
