//! Types of the operator's settings. [`crate::settings`] reads them from JSON and validates them.

use super::freshness::Freshness;
use crate::time::TimeDelta;
use thiserror::Error;

/// Effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat has no further effect.
    Idempotent,
    /// Hosts within the scope of the idempotency key recognise a repeat and drop it.
    WithKey(KeyScope),
    /// A repeat takes effect again.
    NotIdempotent,
}

impl Idempotency {
    /// Returns whether a request can be repeated on any host without taking effect again. If so, a client may
    /// be told to retry it even after it may have been executed.
    pub fn is_safe_to_retry_on_any_host(self) -> bool {
        matches!(self, Self::Idempotent | Self::WithKey(KeyScope::All))
    }
}

/// The hosts that share their records of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one replication group.
    Group,
}

/// Behaviour of a replica that lags too far behind for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagPolicy {
    /// Serves the read from the data it has.
    ServeStale,
    /// Rejects the read at once.
    Reject,
    /// Waits up to this long for the log, then rejects the read.
    WaitThenReject(TimeDelta),
}

/// When hosts send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// With the responses to requests and to health checks.
    Inline,
    /// Only with the responses to health checks.
    OnHealthCheck,
    /// Never.
    Off,
}

/// Which primary of a group the endpoint list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// The one of some seconds ago.
    Late,
    /// The one at the start of the fleet.
    AtStart,
    /// None.
    Off,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency up to which an answer counts with the full priority weight. Above zero.
    pub latency_objective: TimeDelta,
    /// Total time that a client waits, over all its retries. Above zero.
    pub deadline: TimeDelta,
    /// Weight of a request that is answered within its latency objective; without a unit, 0 or more.
    pub priority_weight: f64,
    /// Factor on the priority weight for an answer after the latency objective but before the deadline, 0 or
    /// more.
    pub late_priority_weight: f64,
    /// Effect of executing a request more than once.
    pub idempotency: Idempotency,
    /// Time for which hosts recognise a repeat by its key, from the send of the first attempt that may have
    /// been executed. Used only with [`Idempotency::WithKey`].
    pub idempotency_key_window: TimeDelta,
    /// Required freshness of the responses.
    pub freshness: Freshness,
}

/// Settings that a router starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of routers that send to the same hosts, including this one. At least 1.
    pub router_count: u32,
    /// Index of this router's zone.
    pub zone: u32,
    /// Shortest time between two events that the router can tell apart.
    pub timer_resolution: TimeDelta,
    /// The request classes, which requests refer to by index. Not empty.
    pub classes: Vec<RequestClass>,
    /// Quota of each tenant, in requests per second through all routers together. Empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Factor on the priority weight of a request beyond its tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
    /// Share of the worst served class in the operator's rating, from 0 to 1. Not used by any rule.
    pub worst_class_rating_share: f64,
    /// Behaviour of a replica that lags too far behind for a read.
    pub lag_policy: LagPolicy,
    /// Whether every response carries the log position that its host had applied.
    pub responses_carry_position: bool,
    /// Whether the caller verifies the positions of responses and discards stale ones; needed where hosts
    /// [serve stale data](LagPolicy::ServeStale).
    pub responses_verified: bool,
    /// Whether the router tracks the positions of its sessions' writes; otherwise clients send them.
    pub write_positions_tracked: bool,
    /// Which primaries the endpoint list names. Not used: all rules assume [`ListRole::Late`].
    pub list_role: ListRole,
    /// When hosts send load reports.
    pub load_reports: LoadReports,
    /// Whether the router has to poll discovery for changes; otherwise discovery pushes them.
    pub discovery_is_polled: bool,
    /// Whether a host that was removed from the list without having been listed as draining may still be sent
    /// requests.
    pub removal_is_advisory: bool,
    /// Time after a request's deadline within which its final reply still counts as in time.
    pub response_deadline_slack: TimeDelta,
    /// Time after its last poll for which a router without a watch counts as up to date. Validated, but not
    /// used by any rule.
    pub discovery_poll_timeout: TimeDelta,
    /// Time from a host's start until it has its full capacity.
    pub slow_start_window: TimeDelta,
    /// Fraction of its capacity, from 0 to 1, that a host has at its start.
    pub slow_start_initial_fraction: f64,
    /// Window over which the load of a host that is warming up is limited: overload of this length makes it
    /// fail.
    pub slow_start_budget_window: TimeDelta,
    /// Load that a host that is warming up can take over one budget window, as a multiple of its current
    /// capacity, 0 or more.
    pub slow_start_budget_multiple: f64,
    /// Maximum number of attempts per request. At least 1.
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
    /// Price of a health check, relative to the weight of a request. Not used by any rule.
    pub price_health_check: f64,
    /// Price of host work that produces no answer, as a fraction of the offered work. Not used by any rule.
    pub price_wasted_work: f64,
    /// Price of a new connection to a host, relative to the weight of a request.
    pub price_handshake: f64,
}

/// Largest number of routers in a fleet where each router sends requests to every host all the time. The
/// limits and the health-check rate of a router are chosen for a fleet of this size.
pub const SMALL_FLEET_MAX_ROUTERS: u32 = 6;

impl Settings {
    /// Returns how long a replica that lags too far behind for a read waits for the log before it rejects the
    /// read; `None` if it serves the read from the data it has.
    pub fn replica_lag_wait(&self) -> Option<TimeDelta> {
        match self.lag_policy {
            LagPolicy::ServeStale => None,
            LagPolicy::Reject => Some(TimeDelta(0)),
            LagPolicy::WaitThenReject(wait) => Some(wait),
        }
    }

    /// Returns the minimum fraction of its capacity, from 0 to 1, that a host has `age` after its start.
    pub fn slow_start_fraction(&self, age: TimeDelta) -> f64 {
        let progress = age.0 as f64 / self.slow_start_window.0.max(1) as f64;
        let gained = (1.0 - self.slow_start_initial_fraction) * progress.clamp(0.0, 1.0);
        self.slow_start_initial_fraction + gained
    }

    /// Returns whether the fleet has so many routers that each gets little information about a single host
    /// from its own requests.
    pub fn is_large_fleet(&self) -> bool {
        self.router_count > SMALL_FLEET_MAX_ROUTERS
    }

    /// Returns whether the router sends health checks.
    ///
    /// In a large fleet the checks of all routers cost a host more than its requests do. So there are none if
    /// responses carry the same information and a request sent to the wrong host does no harm.
    pub fn can_health_check(&self) -> bool {
        let responses_suffice = self.responses_carry_position && self.replica_lag_wait().is_some();
        let harmless = self.classes.iter().all(|class| class.idempotency != Idempotency::NotIdempotent);
        self.health_checks_allowed
            && self.load_reports != LoadReports::Off
            && !(responses_suffice && harmless && self.is_large_fleet())
    }

    /// Returns the size of the fleet as a multiple of [`SMALL_FLEET_MAX_ROUTERS`], at least 1.
    pub fn fleet_size_factor(&self) -> f64 {
        f64::from(self.router_count.max(SMALL_FLEET_MAX_ROUTERS)) / f64::from(SMALL_FLEET_MAX_ROUTERS)
    }

    /// Returns the shortest latency objective of all classes; zero without classes.
    pub fn shortest_latency_objective(&self) -> TimeDelta {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(TimeDelta(0))
    }
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting `{key}`: {problem}")]
pub struct SettingsError {
    /// Key of the setting, as shown to operators.
    pub key: String,
    /// Why the value is invalid.
    pub problem: SettingsProblem,
}

/// Why the value of a setting is invalid.
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
    /// A number in a list is negative or not finite.
    #[error("must be numbers not below zero")]
    NotNonNegativeNumbers,
    /// A number is not between 0 and 1.
    #[error("must lie between 0 and 1")]
    NotAFraction,
}
