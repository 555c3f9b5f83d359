//! What the actors say to each other, whatever protocol a client or a ledger host speaks. Types only.

use crate::endpoint_list::EndpointList;
use crate::interface::{
    HostId, LoadReport, LogPosition, Outcome, RequestId, Role, SessionId, TimeDelta, Timestamp,
};
use crate::net::socket::Presence;
use crate::net::stream::Rest;
use crate::rejection_reason::RejectionReason;
use bytes::Bytes;
use std::ops::Range;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A statement in its one form, and where in it stands what matters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The whole text, as a client of protocol 3 writes it.
    pub text: Bytes,
    /// The place of the client's wait in milliseconds.
    pub wait_at: Range<usize>,
    /// The place of a write's value, in hexadecimal digits.
    pub value_at: Option<Range<usize>>,
}

impl Statement {
    /// The statement with another wait, all else unchanged.
    pub fn with_wait(&self, wait: Duration) -> Vec<u8> {
        let wait = wait.as_millis().max(1).to_string();
        [&self.text[..self.wait_at.start], wait.as_bytes(), &self.text[self.wait_at.end..]].concat()
    }

    /// A write with another wait and a parameter's name where its value stood, and the value; none for a read.
    pub fn with_parameter(&self, name: &str, wait: Duration) -> Option<(Vec<u8>, Vec<u8>)> {
        let value = self.value_at.clone()?;
        let digits = self.text.get(value.clone())?;
        let nibble = |digit: u8| char::from(digit).to_digit(16).unwrap_or_default() as u8;
        let bytes = digits.chunks_exact(2).map(|pair| nibble(pair[0]) << 4 | nibble(pair[1])).collect();
        // The literal begins with `'\x` and ends with `'`; the wait stands behind it.
        let (before, after) = (value.start.checked_sub(3)?, value.end + 1);
        let wait = wait.as_millis().max(1).to_string();
        let middle = self.text.get(after..self.wait_at.start)?;
        let parts =
            [&self.text[..before], name.as_bytes(), middle, wait.as_bytes(), &self.text[self.wait_at.end..]];
        Some((parts.concat(), bytes))
    }
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The class, by number.
    pub class: usize,
    /// The tenant, by number.
    pub tenant: usize,
    /// The group that holds the data.
    pub group: u32,
    /// Whether it writes.
    pub write: bool,
    /// The session, if the statement names one.
    pub session: Option<SessionId>,
    /// Whether the client marks it as a retry.
    pub is_client_retry: bool,
    /// When the session's last write was, on the hosts' clock, where the client tells.
    pub last_write_at: Option<Timestamp>,
    /// How long the client waits.
    pub timeout: Duration,
    /// The client's own name for it: none that is open may bear the same.
    pub name: String,
    /// What goes to the ledger host.
    pub statement: Statement,
}

/// What a ledger host answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    /// The value itself.
    pub content: Bytes,
    /// The messages of protocol 3 that brought it, if they did: a client of that protocol gets these to the
    /// letter.
    pub messages: Option<Bytes>,
    /// Where the value is so long that these have only begun: what is still to come of them.
    pub rest: Option<Rest>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A ledger host's value, as it wrote it.
    Served(Value),
    /// Refused: trying again is harmless, after that time if there is one.
    Rejected {
        /// How long the client should stay away.
        retry_after: Option<TimeDelta>,
    },
    /// No value could be had; it may have had an effect.
    Failed,
    /// The request itself makes no sense.
    Invalid(Invalid),
}

/// What of a well-formed statement does not fit to this installation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// No class is called so, or it takes no more requests.
    #[error("there is no class `{0}`")]
    Class(String),
    /// It writes where its class reads, or the other way round.
    #[error("the class `{class}` {does}, the statement does not")]
    Kind {
        /// The class.
        class: String,
        /// What statements of the class do.
        does: &'static str,
    },
    /// Discovery names no such group.
    #[error("there is no group {0}")]
    Group(u32),
    /// Ledger hosts know requests by their ids: of two with one id neither answer would be sure.
    #[error("a request with this id is open")]
    Id,
    /// A parameter's value cannot stand in a statement.
    #[error("{0}")]
    Parameter(String),
}

impl Invalid {
    /// As figures and logs name it.
    pub fn reason(&self) -> RejectionReason {
        match self {
            Self::Class(_) => RejectionReason::Class,
            Self::Kind { .. } => RejectionReason::Kind,
            Self::Group(_) => RejectionReason::Group,
            Self::Id => RejectionReason::Id,
            Self::Parameter(_) => RejectionReason::Value,
        }
    }
}

/// What a client's actor is sent.
#[derive(Debug)]
pub(crate) enum ClientMessage {
    /// The answer to its request.
    Answer(RequestId, Answer),
}

/// What the module's actor is told.
#[derive(Debug)]
pub(crate) enum CoreEvent {
    /// A client asks.
    RequestArrived(Box<Arrival>),
    /// A client has left before its answer.
    ClientDisconnected(RequestId),
    /// The answer to a request is due earlier than was said at its arrival: others behind it on its connection wait for it.
    DeadlineShortened { id: RequestId, due: Instant },
    /// An attempt has ended.
    AttemptEnded(Box<AttemptEnd>),
    /// A probe has ended.
    HealthChecked(HealthCheckResult),
    /// The list has changed.
    EndpointList(EndpointList),
    /// The configuration was read anew at SIGHUP: the module takes its settings.
    Reconfigured(Box<crate::config::Config>),
    /// A drain has begun: what is held is answered by then at the latest.
    DrainStarted(Instant),
}

/// A request that has come.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub id: RequestId,
    pub request: Request,
    pub arrived: Instant,
    /// By when it has to be answered, for those behind it on its connection too.
    pub due: Instant,
    pub client: mpsc::Sender<ClientMessage>,
    /// Whether its client is still there.
    pub presence: Presence,
}

/// A position as a host writes it, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedPosition(pub f64);

impl ReportedPosition {
    /// In whole milliseconds: a commit up, so that no read misses it; what is applied down, as a lower bound.
    pub fn rounded(self, commit: bool) -> LogPosition {
        let ms = if commit { self.0.ceil() } else { self.0.floor() };
        // A host may write anything.
        LogPosition((ms as i64).saturating_mul(1000))
    }
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub host: HostId,
    pub outcome: Outcome,
    pub latency: TimeDelta,
    /// When its last byte was written, if it was.
    pub written: Option<Instant>,
    pub position: Option<ReportedPosition>,
    pub role: Option<Role>,
    pub value: Option<Value>,
}

/// The end of a probe.
#[derive(Debug)]
pub(crate) struct HealthCheckResult {
    pub host: HostId,
    pub outcome: Outcome,
    pub latency: TimeDelta,
    pub report: Option<LoadReport>,
}
