//! The operator's settings, in the terms of the code.
//!
//! [`crate::settings`] reads them from their JSON text and validates them.

use super::freshness::Freshness;
use crate::time::TimeDelta;
use thiserror::Error;

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It has no further effect.
    Idempotent,
    /// Hosts that share the memory of its idempotency key drop it.
    WithKey(KeyScope),
    /// It has a second effect.
    NotIdempotent,
}

impl Idempotency {
    /// Returns whether a repeat does no harm whichever host gets it. A client may then be told to retry a request that may
    /// have been executed.
    pub fn is_safe_to_retry_on_any_host(self) -> bool {
        matches!(self, Self::Idempotent | Self::WithKey(KeyScope::All))
    }
}

/// The hosts that recognise each other's requests by their idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one replication group.
    Group,
}

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagPolicy {
    /// It answers from the data it has.
    ServeStale,
    /// It rejects the read at once.
    Reject,
    /// It waits up to this long for the log, then rejects the read.
    WaitThenReject(TimeDelta),
}

/// When hosts send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// With the answers to requests and to health checks.
    Inline,
    /// With the answers to health checks alone.
    OnHealthCheck,
    /// Never.
    Off,
}

/// How the endpoint list names the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// As it was some seconds ago.
    Late,
    /// As it was when the fleet started.
    AtStart,
    /// Not at all.
    Off,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency up to which an answer has the full priority weight. Above zero.
    pub latency_objective: TimeDelta,
    /// How long a client waits in all, over all its retries. Above zero.
    pub deadline: TimeDelta,
    /// Weight of a request that is answered within its latency objective; a number without a unit, 0 or more.
    pub priority_weight: f64,
    /// Part of the priority weight that an answer after the objective and before the deadline still has, 0 or more.
    pub late_priority_weight: f64,
    /// What a repeat of a request does.
    pub idempotency: Idempotency,
    /// How long hosts recognise a repeat by its key, from the send of the first attempt that may have been executed.
    /// Used with [`Idempotency::WithKey`] alone.
    pub idempotency_key_window: TimeDelta,
    /// How recent the data behind an answer has to be.
    pub freshness: Freshness,
}

/// What a router is given when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers that send to the same hosts, this one included. At least 1.
    pub router_count: u32,
    /// Index of the zone that this router runs in.
    pub zone: u32,
    /// Shortest time between two events that the router can tell apart.
    pub timer_resolution: TimeDelta,
    /// The request classes; requests name theirs by its index. Not empty.
    pub classes: Vec<RequestClass>,
    /// Requests per second that each tenant may send through all routers together. Empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Part of its priority weight, between 0 and 1, that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// Part of the operator's rating, between 0 and 1, that the worst served class makes up. No rule reads it.
    pub goal_worst_class: f64,
    /// What a replica does with a read that it is too far behind for.
    pub lag_policy: LagPolicy,
    /// Whether every answer carries the position that its host had applied.
    pub responses_carry_position: bool,
    /// Whether the caller withholds an answer whose position is too old; needed where hosts
    /// [serve stale data](LagPolicy::ServeStale).
    pub responses_verified: bool,
    /// Whether the router itself remembers the positions of its sessions' writes; clients carry them otherwise.
    pub write_positions_tracked: bool,
    /// How the endpoint list names primaries. No rule reads it: each takes the list for late.
    pub list_role: ListRole,
    /// When hosts send load reports.
    pub load_reports: LoadReports,
    /// Whether discovery sends changes on demand only, rather than unasked.
    pub discovery_is_polled: bool,
    /// Whether a host that was removed from the list without having been listed as draining may still be sent requests.
    pub removal_is_advisory: bool,
    /// How long after a request's deadline its final answer is still in time.
    pub response_deadline_slack: TimeDelta,
    /// How long after its last poll a router without a watch counts as up to date. Validated, and read by no rule.
    pub discovery_poll_timeout: TimeDelta,
    /// Time from a host's start until it has its full capacity.
    pub slow_start_window: TimeDelta,
    /// Part of its capacity, between 0 and 1, that a host has at its start.
    pub slow_start_initial_fraction: f64,
    /// Window over which the load of a warming host is limited: overload that lasts this long makes it fail.
    pub slow_start_budget_window: TimeDelta,
    /// How many times its current capacity a warming host can take over one budget window, 0 or more.
    pub slow_start_budget_multiple: f64,
    /// Most attempts of one request. At least 1.
    pub max_attempts: u32,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: TimeDelta,
    /// Whether the router may cancel attempts.
    pub cancellation_allowed: bool,
    /// Whether the router may send health checks.
    pub health_checks_allowed: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Whether rejections may carry a Retry-After.
    pub retry_after_allowed: bool,
    /// Price of an attempt in another zone, relative to the weight of a request.
    pub price_cross_zone: f64,
    /// Price of a health check, relative to the weight of a request. No rule reads it.
    pub price_health_check: f64,
    /// Price of host work that produces no answer, as a part of the offered work. No rule reads it.
    pub price_waste: f64,
    /// Price of a new connection to a host, relative to the weight of a request.
    pub price_handshake: f64,
}

/// Largest number of routers of which each meets every host all the time: limits and health checks of one router
/// are set for a fleet of this size.
pub const SMALL_FLEET_MAX_ROUTERS: u32 = 6;

impl Settings {
    /// Returns how long a host that is too far behind for a read waits for the log before it rejects the read;
    /// `None` where it answers from the data it has.
    pub fn replica_lag_wait(&self) -> Option<TimeDelta> {
        match self.lag_policy {
            LagPolicy::ServeStale => None,
            LagPolicy::Reject => Some(TimeDelta(0)),
            LagPolicy::WaitThenReject(wait) => Some(wait),
        }
    }

    /// Returns the least part of its capacity, between 0 and 1, that a host has `age` after its start.
    pub fn slow_start_fraction(&self, age: TimeDelta) -> f64 {
        let progress = age.0 as f64 / self.slow_start_window.0.max(1) as f64;
        let gained = (1.0 - self.slow_start_initial_fraction) * progress.clamp(0.0, 1.0);
        self.slow_start_initial_fraction + gained
    }

    /// Returns whether there are so many routers that the requests of one tell it little about a single host.
    pub fn is_large_fleet(&self) -> bool {
        self.router_count > SMALL_FLEET_MAX_ROUTERS
    }

    /// Returns whether hosts may be health checked.
    ///
    /// In a large fleet the checks of all routers cost a host more than its requests do, so there is none where answers
    /// carry the same information and a request that reaches the wrong host does no harm.
    pub fn can_health_check(&self) -> bool {
        let answers_suffice = self.responses_carry_position && self.replica_lag_wait().is_some();
        let harmless = self.classes.iter().all(|class| class.idempotency != Idempotency::NotIdempotent);
        self.health_checks_allowed
            && self.load_reports != LoadReports::Off
            && !(answers_suffice && harmless && self.is_large_fleet())
    }

    /// Returns how many times larger the fleet is than a small one; at least 1.
    pub fn fleet_size_factor(&self) -> f64 {
        f64::from(self.router_count.max(SMALL_FLEET_MAX_ROUTERS)) / f64::from(SMALL_FLEET_MAX_ROUTERS)
    }

    /// Returns the shortest latency objective of all classes; zero without classes.
    pub fn shortest_latency_objective(&self) -> TimeDelta {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(TimeDelta(0))
    }
}

/// A setting whose value no router could work with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{key}`: {problem}")]
pub struct SettingsError {
    /// The setting's key, as operators are shown it.
    pub key: String,
    /// What is wrong with its value.
    pub problem: SettingsProblem,
}

/// What is wrong with the value of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// A count is zero.
    #[error("must be at least 1")]
    BelowOne,
    /// A list has no entries.
    #[error("must not be empty")]
    Empty,
    /// A span is zero or negative.
    #[error("must be above zero")]
    NotPositive,
    /// A span is negative.
    #[error("must not be negative")]
    Negative,
    /// The wait of [`LagPolicy::WaitThenReject`] is negative.
    #[error("the wait must not be negative")]
    NegativeWait,
    /// A number is negative or not finite.
    #[error("must be a number not below zero")]
    NotANonNegativeNumber,
    /// A number of a list is negative or not finite.
    #[error("must be numbers not below zero")]
    NotNonNegativeNumbers,
    /// A number does not lie between 0 and 1.
    #[error("must lie between 0 and 1")]
    NotAFraction,
}
