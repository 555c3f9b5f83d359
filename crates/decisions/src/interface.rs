//! The router's input and output: settings, events and actions. Types, and what follows from the settings alone;
//! decisions are made elsewhere.

pub use crate::time::{TimeDelta, Timestamp};
use std::fmt;

/// A log position: the moment, in microseconds, up to which every commit is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position(pub i64);

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
pub enum Repeat {
    /// No harm.
    Safe,
    /// Dropped by the hosts that share the memory of its key.
    Keyed(KeyScope),
    /// A second effect.
    Unsafe,
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
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
    /// Answered, from data older than its request allows: it has run, and nobody is given that answer.
    Stale,
}

/// How recent the data behind an answer has to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Recent {
    /// Whatever there is.
    #[default]
    Any,
    /// All up to that position.
    From(Position),
    /// All up to so long before the request's last byte was written.
    Within(TimeDelta),
}

impl Recent {
    /// What a class asks for, where its session's last write stands at `token`.
    pub fn of(freshness: Freshness, token: Position) -> Self {
        match freshness {
            Freshness::Bounded(bound) => Self::Within(bound),
            _ if token.0 == i64::MIN => Self::Any,
            _ => Self::From(token),
        }
    }

    /// The position that is needed by a request written at that moment; the least of all where anything will do.
    pub fn need(self, written: Timestamp) -> Position {
        match self {
            Self::Any => Position(i64::MIN),
            Self::From(position) => position,
            Self::Within(bound) => Position(written.0 - bound.0),
        }
    }

    /// Whether an answer that tells this position is recent enough for a request written at that moment. One that tells
    /// none is not, but where anything will do.
    pub fn met(self, told: Option<Position>, written: Timestamp) -> bool {
        self == Self::Any || told.is_some_and(|told| told >= self.need(written))
    }

    /// Until when a request may be written to a host that is known to stand at that position; for good where nothing is
    /// said.
    pub fn until(self, known: Position) -> Option<Timestamp> {
        match self {
            Self::Within(bound) => Some(Timestamp(known.0.saturating_add(bound.0))),
            _ => None,
        }
    }
}

/// What a host does with a read it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenBehind {
    /// Answers from what it has.
    Off,
    /// Turns it away at once.
    Refuse,
    /// Waits this long for the log, then turns it away.
    Wait(TimeDelta),
}

/// Where load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Reports {
    Inline,
    OnProbe,
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
pub struct Class {
    pub aim: TimeDelta,
    pub deadline: TimeDelta,
    pub worth: f64,
    pub late_worth: f64,
    pub repeat: Repeat,
    pub key_window: TimeDelta,
    pub freshness: Freshness,
}

/// What a router is given when it starts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Settings {
    pub routers: u32,
    pub zone: u32,
    pub tick: TimeDelta,
    pub classes: Vec<Class>,
    pub quotas: Vec<f64>,
    pub over_share_worth: f64,
    pub goal_worst_class: f64,
    pub when_behind: WhenBehind,
    pub answers_stamped: bool,
    /// Whether an answer that tells too old a position is kept from its client: where hosts answer from what they have.
    pub answers_checked: bool,
    pub remembered: bool,
    pub list_role: ListRole,
    pub reports: Reports,
    pub on_request: bool,
    pub removal_not_binding: bool,
    pub answer_slack: TimeDelta,
    pub ask_within: TimeDelta,
    pub cold: TimeDelta,
    pub cold_from: f64,
    pub fall: TimeDelta,
    pub fall_multiple: f64,
    pub max_attempts: u32,
    pub max_retry_after: TimeDelta,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub price_cross_zone: f64,
    pub price_probe: f64,
    pub price_waste: f64,
    pub price_handshake: f64,
}

/// Up to so many routers each meet every host all the time: their own limits and probes hold for a fleet of them.
pub const FEW: u32 = 6;

impl Settings {
    /// How long a host that is too far behind for a read waits for the log, in microseconds, before it turns the
    /// read away; nothing where it answers from what it has.
    pub fn checks_reads(&self) -> Option<i64> {
        match self.when_behind {
            WhenBehind::Off => None,
            WhenBehind::Refuse => Some(0),
            WhenBehind::Wait(wait) => Some(wait.0),
        }
    }

    /// Part of its capacity, between 0 and 1, that a host has at the least so long after its start.
    pub fn warmth(&self, age: TimeDelta) -> f64 {
        let age = age.0 as f64 / self.cold.0.max(1) as f64;
        self.cold_from + (1.0 - self.cold_from) * age.clamp(0.0, 1.0)
    }

    /// Whether the routers are so many that one's own requests tell it little of a single host.
    pub fn is_many(&self) -> bool {
        self.routers > FEW
    }

    /// Whether hosts may be asked by probes. Many routers that each ask every host cost hosts more than their
    /// requests, and do not where these tell as much and a wrong guess does no harm.
    pub fn can_ask(&self) -> bool {
        let tells = self.answers_stamped && self.checks_reads().is_some();
        let harmless = self.classes.iter().all(|class| class.repeat != Repeat::Unsafe);
        self.may_probe && self.reports != Reports::Off && !(tells && harmless && self.is_many())
    }

    /// How many times more routers there are than a few: 1 at the least.
    pub fn crowding(&self) -> f64 {
        f64::from(self.routers.max(FEW)) / f64::from(FEW)
    }

    /// The shortest aim of all classes, in microseconds.
    pub fn shortest_aim(&self) -> i64 {
        self.classes.iter().map(|class| class.aim.0).min().unwrap_or(0)
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
    Stopping,
    #[default]
    Deleted,
}

/// One line of the host list.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct HostEntry {
    pub host: HostId,
    pub group: u32,
    pub zone: u32,
    pub weight: f64,
    pub leader: bool,
    pub state: HostState,
    pub online_since: Option<Timestamp>,
}

impl HostEntry {
    /// An entry with nothing but the necessary.
    pub fn new(host: HostId, group: u32, state: HostState) -> Self {
        Self { host, group, zone: 0, weight: 1.0, leader: false, state, online_since: None }
    }
}

/// What kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Update,
    /// All of it.
    Replace,
    /// All of it as last held; may be old.
    Restored,
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
    pub since_write: Option<TimeDelta>,
    pub again: bool,
    pub ttl: TimeDelta,
    pub session: Option<SessionId>,
}

impl Request {
    /// A request of a class to a group, with the time its client waits in microseconds.
    pub fn new(id: RequestId, class: usize, group: u32, ttl: i64) -> Self {
        let ttl = TimeDelta(ttl);
        Self { id, class, group, tenant: 0, since_write: None, again: false, ttl, session: None }
    }
}

/// What a host says of itself, some time old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Report {
    pub position: Option<Position>,
    pub role: Option<Role>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Reply {
    pub id: RequestId,
    pub attempt: u32,
    pub host: HostId,
    pub outcome: Outcome,
    pub latency: TimeDelta,
    pub closed: bool,
    pub position: Option<Position>,
    pub role: Option<Role>,
    pub report: Option<Report>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Event {
    Hosts(ListKind, Vec<HostEntry>),
    Arrival(Request),
    Reply(Reply),
    Probed { host: HostId, outcome: Outcome, latency: TimeDelta, report: Option<Report> },
    ClientLeft(RequestId),
    Begun { id: RequestId, attempt: u32 },
    Timer(u64),
    Peer { from: u32, data: Vec<u8> },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Action {
    Send {
        id: RequestId,
        host: HostId,
        timeout: Option<TimeDelta>,
        /// What its answer must be from, where answers are checked.
        recent: Recent,
        /// It must be written by then or not at all: later nothing shows its host to be recent enough.
        until: Option<Timestamp>,
    },
    Refuse {
        id: RequestId,
        retry_after: Option<TimeDelta>,
    },
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u32,
    },
    Probe {
        host: HostId,
    },
    Timer {
        at: Timestamp,
        token: u64,
    },
    /// Closes idle connections to a host.
    LetGo {
        host: HostId,
    },
    Watch(bool),
    FetchList,
    Log(String),
}
