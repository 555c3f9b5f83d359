//! The router's input and output: settings, events and actions. Types, and what follows from the settings alone;
//! decisions are made elsewhere.

pub use crate::time::{TimeDelta, Timestamp};
use std::fmt;

/// A log position: the moment, in microseconds, up to which every commit is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition(pub i64);

/// A database host, numbered by the caller; the number of one host never changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A request, numbered by the caller; numbers are not reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client session, as a hash of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl SessionId {
    /// The session of a key: FNV-1a, so that it is the same in every process.
    pub fn of(key: &str) -> Self {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Self(key.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// How fresh the data behind an answer has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Only the primary takes it.
    Write,
    /// Sees every commit made before the request arrived.
    Fresh,
    /// Sees the writes of its session.
    Session,
    /// No older than this at the send.
    Bounded(TimeDelta),
    /// Any member will do.
    Any,
}

impl Freshness {
    /// Whether only the primary will do.
    pub fn needs_primary(self) -> bool {
        matches!(self, Self::Write | Self::Fresh)
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Dropped by the hosts that share the memory of its key.
    WithKey(KeyScope),
    /// A second effect.
    NotIdempotent,
}

/// The hosts that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one group.
    Group,
}

/// The role of a host within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes and stands at the present.
    Primary,
    /// Applies the log.
    Replica,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Outcome {
    Ok,
    Error,
    Overloaded,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    Misdirected,
    /// Answered, from data older than its request allows: it has run, and nobody is given that answer.
    Stale,
}

/// How recent the data behind an answer has to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Whatever there is.
    #[default]
    Any,
    /// All up to that position.
    AtLeast(LogPosition),
    /// All up to so long before the request's last byte was written.
    MaxStaleness(TimeDelta),
}

impl ReadRequirement {
    /// What a class asks for, where its session's last write stands at `token`.
    pub fn for_class(freshness: Freshness, token: LogPosition) -> Self {
        match freshness {
            Freshness::Bounded(bound) => Self::MaxStaleness(bound),
            _ if token.0 == i64::MIN => Self::Any,
            _ => Self::AtLeast(token),
        }
    }

    /// The position that is needed by a request written at that moment; the least of all where anything will do.
    pub fn required_position(self, written: Timestamp) -> LogPosition {
        match self {
            Self::Any => LogPosition(i64::MIN),
            Self::AtLeast(position) => position,
            Self::MaxStaleness(bound) => LogPosition(written.0 - bound.0),
        }
    }

    /// Whether an answer that tells this position is recent enough for a request written at that moment. One that tells
    /// none is not, but where anything will do.
    pub fn is_met_by(self, told: Option<LogPosition>, written: Timestamp) -> bool {
        self == Self::Any || told.is_some_and(|told| told >= self.required_position(written))
    }

    /// Until when a request may be written to a host that is known to stand at that position; for good where nothing is
    /// said.
    pub fn latest_write(self, known: LogPosition) -> Option<Timestamp> {
        match self {
            Self::MaxStaleness(bound) => Some(Timestamp(known.0.saturating_add(bound.0))),
            _ => None,
        }
    }
}

/// What a host does with a read it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagPolicy {
    /// Answers from what it has.
    ServeStale,
    /// Turns it away at once.
    Reject,
    /// Waits this long for the log, then turns it away.
    WaitThenReject(TimeDelta),
}

/// Where load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum LoadReports {
    Inline,
    OnHealthCheck,
    Off,
}

/// How the host list tells the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum ListRole {
    Late,
    AtStart,
    Off,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct RequestClass {
    pub latency_objective: TimeDelta,
    pub deadline: TimeDelta,
    pub priority_weight: f64,
    pub late_priority_weight: f64,
    pub idempotency: Idempotency,
    pub idempotency_key_window: TimeDelta,
    pub freshness: Freshness,
}

/// What a router is given when it starts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Settings {
    pub router_count: u32,
    pub zone: u32,
    pub timer_resolution: TimeDelta,
    pub classes: Vec<RequestClass>,
    pub tenant_quotas: Vec<f64>,
    pub over_quota_weight: f64,
    pub goal_worst_class: f64,
    pub lag_policy: LagPolicy,
    pub responses_carry_position: bool,
    /// Whether an answer that tells too old a position is kept from its client: where hosts answer from what they have.
    pub responses_verified: bool,
    pub write_positions_tracked: bool,
    pub list_role: ListRole,
    pub load_reports: LoadReports,
    pub discovery_is_polled: bool,
    pub removal_is_advisory: bool,
    pub response_deadline_slack: TimeDelta,
    pub discovery_poll_timeout: TimeDelta,
    pub slow_start_window: TimeDelta,
    pub slow_start_initial_fraction: f64,
    pub slow_start_budget_window: TimeDelta,
    pub slow_start_budget_multiple: f64,
    pub max_attempts: u32,
    pub max_retry_after: TimeDelta,
    pub cancellation_allowed: bool,
    pub health_checks_allowed: bool,
    pub hedging_allowed: bool,
    pub retry_after_allowed: bool,
    pub price_cross_zone: f64,
    pub price_health_check: f64,
    pub price_waste: f64,
    pub price_handshake: f64,
}

/// Up to so many routers each meet every host all the time: their own limits and probes hold for a fleet of them.
pub const SMALL_FLEET_MAX_ROUTERS: u32 = 6;

impl Settings {
    /// How long a host that is too far behind for a read waits for the log, in microseconds, before it turns the
    /// read away; nothing where it answers from what it has.
    pub fn replica_lag_wait(&self) -> Option<i64> {
        match self.lag_policy {
            LagPolicy::ServeStale => None,
            LagPolicy::Reject => Some(0),
            LagPolicy::WaitThenReject(wait) => Some(wait.0),
        }
    }

    /// Part of its capacity, between 0 and 1, that a host has at the least so long after its start.
    pub fn slow_start_fraction(&self, age: TimeDelta) -> f64 {
        let age = age.0 as f64 / self.slow_start_window.0.max(1) as f64;
        self.slow_start_initial_fraction + (1.0 - self.slow_start_initial_fraction) * age.clamp(0.0, 1.0)
    }

    /// Whether the routers are so many that one's own requests tell it little of a single host.
    pub fn is_large_fleet(&self) -> bool {
        self.router_count > SMALL_FLEET_MAX_ROUTERS
    }

    /// Whether hosts may be asked by probes. Many routers that each ask every host cost hosts more than their
    /// requests, and do not where these tell as much and a wrong guess does no harm.
    pub fn can_health_check(&self) -> bool {
        let tells = self.responses_carry_position && self.replica_lag_wait().is_some();
        let harmless = self.classes.iter().all(|class| class.idempotency != Idempotency::NotIdempotent);
        self.health_checks_allowed
            && self.load_reports != LoadReports::Off
            && !(tells && harmless && self.is_large_fleet())
    }

    /// How many times more routers there are than a few: 1 at the least.
    pub fn fleet_size_factor(&self) -> f64 {
        f64::from(self.router_count.max(SMALL_FLEET_MAX_ROUTERS)) / f64::from(SMALL_FLEET_MAX_ROUTERS)
    }

    /// The shortest aim of all classes, in microseconds.
    pub fn shortest_latency_objective(&self) -> i64 {
        self.classes.iter().map(|class| class.latency_objective.0).min().unwrap_or(0)
    }
}

/// A setting that is not sensible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}`: {}", self.key, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum HostState {
    Running,
    Draining,
    #[default]
    Removed,
}

/// One line of the host list.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct EndpointEntry {
    pub host: HostId,
    pub group: u32,
    pub zone: u32,
    pub weight: f64,
    pub listed_as_primary: bool,
    pub state: HostState,
    pub started_at: Option<Timestamp>,
}

impl EndpointEntry {
    /// An entry with nothing but the necessary.
    pub fn new(host: HostId, group: u32, state: HostState) -> Self {
        Self { host, group, zone: 0, weight: 1.0, listed_as_primary: false, state, started_at: None }
    }
}

/// What kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta,
    /// All of it.
    Snapshot,
    /// All of it as last held; may be old.
    Cached,
    /// None: the call failed.
    Unavailable,
}

/// A request that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub group: u32,
    pub tenant: usize,
    pub time_since_write: Option<TimeDelta>,
    pub is_client_retry: bool,
    pub timeout: TimeDelta,
    pub session: Option<SessionId>,
}

impl Request {
    /// A request of a class to a group, with the time its client waits in microseconds.
    pub fn new(id: RequestId, class: usize, group: u32, timeout_us: i64) -> Self {
        let timeout = TimeDelta(timeout_us);
        Self {
            id,
            class,
            group,
            tenant: 0,
            time_since_write: None,
            is_client_retry: false,
            timeout,
            session: None,
        }
    }
}

/// What a host says of itself, some time old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct LoadReport {
    pub position: Option<LogPosition>,
    pub role: Option<Role>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct AttemptResult {
    pub id: RequestId,
    pub attempt: u32,
    pub host: HostId,
    pub outcome: Outcome,
    pub latency: TimeDelta,
    pub request_closed: bool,
    pub position: Option<LogPosition>,
    pub role: Option<Role>,
    pub report: Option<LoadReport>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Event {
    EndpointList(EndpointUpdate, Vec<EndpointEntry>),
    RequestArrived(Request),
    AttemptEnded(AttemptResult),
    HealthChecked { host: HostId, outcome: Outcome, latency: TimeDelta, report: Option<LoadReport> },
    ClientDisconnected(RequestId),
    ResponseStarted { id: RequestId, attempt: u32 },
    Timer(u64),
    PeerMessage { from: u32, data: Vec<u8> },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Action {
    Forward {
        id: RequestId,
        host: HostId,
        timeout: Option<TimeDelta>,
        /// What its answer must be from, where answers are checked.
        requirement: ReadRequirement,
        /// It must be written by then or not at all: later nothing shows its host to be recent enough.
        write_by: Option<Timestamp>,
    },
    Reject {
        id: RequestId,
        retry_after: Option<TimeDelta>,
    },
    Fail {
        id: RequestId,
    },
    CancelAttempt {
        id: RequestId,
        attempt: u32,
    },
    HealthCheck {
        host: HostId,
    },
    SetTimer {
        at: Timestamp,
        token: u64,
    },
    /// Closes idle connections to a host.
    CloseIdleConnections {
        host: HostId,
    },
    WatchEndpoints(bool),
    FetchEndpoints,
    Log(String),
}
