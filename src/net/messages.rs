//! Messages between the actors of the proxy, independent of the protocol that a client or a host speaks. Types only.

use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::interface::{
    HostId, LoadReport, LogPosition, Outcome, RequestId, Role, SessionId, TimeDelta, Timestamp,
};
use crate::net::socket::PeerLiveness;
use crate::net::stream::Remainder;
use crate::rejection_reason::RejectionReason;
use bytes::Bytes;
use std::ops::Range;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Length of `'\x`, which stands before the hexadecimal digits of a value.
const VALUE_PREFIX_LENGTH: usize = 3;
/// Length of `'`, which stands behind the hexadecimal digits of a value.
const VALUE_SUFFIX_LENGTH: usize = 1;

/// A statement in its canonical form, with the ranges of the parts that the proxy replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The complete text, as a client of PostgreSQL's protocol writes it.
    pub text: Bytes,
    /// Range in `text` of the client's timeout in milliseconds.
    pub timeout_range: Range<usize>,
    /// Range in `text` of a write's value in hexadecimal digits; none for a read.
    pub value_range: Option<Range<usize>>,
}

impl Statement {
    /// Returns the text with this timeout, all else unchanged.
    pub fn with_timeout(&self, timeout: Duration) -> Vec<u8> {
        let timeout = timeout_digits(timeout);
        let (before, after) = (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..]);
        [before, timeout.as_bytes(), after].concat()
    }

    /// Returns a write's text with this timeout and the parameter's name in place of the value, and the value's bytes;
    /// none for a read.
    pub fn with_value_parameter(&self, name: &str, timeout: Duration) -> Option<(Vec<u8>, Vec<u8>)> {
        let digits = self.value_range.clone()?;
        let value = decode_hex(self.text.get(digits.clone())?);
        let literal_start = digits.start.checked_sub(VALUE_PREFIX_LENGTH)?;
        let literal_end = digits.end + VALUE_SUFFIX_LENGTH;
        let timeout = timeout_digits(timeout);
        let text = [
            &self.text[..literal_start],
            name.as_bytes(),
            self.text.get(literal_end..self.timeout_range.start)?,
            timeout.as_bytes(),
            &self.text[self.timeout_range.end..],
        ];
        Some((text.concat(), value))
    }
}

/// Returns the timeout in whole milliseconds, at least one.
fn timeout_digits(timeout: Duration) -> String {
    timeout.as_millis().max(1).to_string()
}

/// Decodes pairs of hexadecimal digits. The digits were checked when the statement was parsed.
fn decode_hex(digits: &[u8]) -> Vec<u8> {
    let nibble = |digit: u8| char::from(digit).to_digit(16).unwrap_or_default() as u8;
    digits.chunks_exact(2).map(|pair| nibble(pair[0]) << 4 | nibble(pair[1])).collect()
}

/// A request that a client has sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Index of the request class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The group of hosts that holds the data.
    pub group: u32,
    /// Whether it writes.
    pub is_write: bool,
    /// The session, if the statement names one.
    pub session: Option<SessionId>,
    /// Whether the client marks it as a retry.
    pub is_client_retry: bool,
    /// When the session's last write was, on the hosts' clock, if the client says so.
    pub last_write_at: Option<Timestamp>,
    /// How long the client waits.
    pub timeout: Duration,
    /// The id that the client gave it, unique among the requests in flight.
    pub client_request_id: String,
    /// What is forwarded to the host.
    pub statement: Statement,
}

/// The value that a host answered with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    /// The value itself.
    pub content: Bytes,
    /// The PostgreSQL messages that brought it, if the host speaks that protocol: a client of the same protocol gets
    /// them unchanged.
    pub postgres_messages: Option<Bytes>,
    /// What follows `postgres_messages`, if the value is too long to be held in memory.
    pub remainder: Option<Remainder>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A host's value, as the host wrote it.
    Served(Value),
    /// Nothing was done; a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Option<TimeDelta>,
    },
    /// No value could be had; the request may have had an effect.
    Failed,
    /// The request does not fit this installation.
    Invalid(InvalidRequest),
}

/// Why a well-formed statement does not fit this installation. The text goes to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no such class, or it accepts no more requests.
    #[error("there is no class `{0}`")]
    UnknownClass(String),
    /// The statement writes where its class reads, or the other way round.
    #[error("the class `{class}` {does}, the statement does not")]
    ClassMismatch {
        /// The class.
        class: String,
        /// What statements of the class do.
        does: &'static str,
    },
    /// Discovery lists no such group.
    #[error("there is no group {0}")]
    UnknownGroup(u32),
    /// Hosts identify requests by their ids: with two of one id neither answer would be certain.
    #[error("a request with this id is open")]
    DuplicateId,
    /// A parameter's value cannot stand in a statement.
    #[error("{0}")]
    Parameter(String),
}

impl InvalidRequest {
    /// Returns the reason that counters and logs give for it.
    pub fn reason(&self) -> RejectionReason {
        match self {
            Self::UnknownClass(_) => RejectionReason::UnknownClass,
            Self::ClassMismatch { .. } => RejectionReason::ReadWriteMismatch,
            Self::UnknownGroup(_) => RejectionReason::UnknownGroup,
            Self::DuplicateId => RejectionReason::DuplicateId,
            Self::Parameter(_) => RejectionReason::InvalidValue,
        }
    }
}

/// A message to a client's actor.
#[derive(Debug)]
pub(crate) enum ClientMessage {
    /// The final answer to one of its requests.
    Answer(RequestId, Answer),
}

/// A message to the core actor.
#[derive(Debug)]
pub(crate) enum CoreEvent {
    /// A client has sent a request.
    RequestArrived(Box<Arrival>),
    /// A client has disconnected before its request was answered.
    ClientDisconnected(RequestId),
    /// The answer is due earlier than was said at the arrival: requests behind it on its connection wait for it.
    DeadlineShortened { id: RequestId, reply_due: Instant },
    /// An attempt has ended.
    AttemptEnded(Box<AttemptEnd>),
    /// A health check has ended.
    HealthChecked(HealthCheckResult),
    /// Discovery has sent an endpoint list.
    EndpointList(EndpointList),
    /// The configuration was reloaded.
    Reconfigured(Box<Config>),
    /// A graceful shutdown has begun: each request in flight is answered by this time.
    DrainStarted(Instant),
}

impl CoreEvent {
    /// Returns its name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::RequestArrived(_) => "request arrived",
            Self::ClientDisconnected(_) => "client disconnected",
            Self::DeadlineShortened { .. } => "deadline shortened",
            Self::AttemptEnded(_) => "attempt ended",
            Self::HealthChecked(_) => "health checked",
            Self::EndpointList(_) => "endpoint list",
            Self::Reconfigured(_) => "reconfigured",
            Self::DrainStarted(_) => "drain started",
        }
    }
}

/// A request as it reaches the core actor.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// The proxy's own id for the request.
    pub id: RequestId,
    pub request: Request,
    /// When its last byte was read.
    pub arrived_at: Instant,
    /// When its answer is due, also for the sake of the requests behind it on its connection.
    pub reply_due: Instant,
    /// Mailbox of the client's actor.
    pub client: mpsc::Sender<ClientMessage>,
    /// Whether the client's connection is still open.
    pub client_liveness: PeerLiveness,
}

/// A log position as a host writes it, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedPosition(pub f64);

impl ReportedPosition {
    /// Returns the position in whole milliseconds: a commit's rounded up, so that no later read misses it; an applied
    /// position rounded down, as a lower bound.
    pub fn rounded(self, is_commit: bool) -> LogPosition {
        let milliseconds = if is_commit { self.0.ceil() } else { self.0.floor() };
        // Saturates: a host may report any number.
        LogPosition((milliseconds as i64).saturating_mul(1000))
    }
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub id: RequestId,
    /// Index of the attempt among those of its request.
    pub attempt: u32,
    pub host: HostId,
    pub outcome: Outcome,
    /// From the core actor's command to the end.
    pub latency: TimeDelta,
    /// When writing the query began; none if it did not.
    pub write_started_at: Option<Instant>,
    /// When the query's last byte was written; none if it was not.
    pub written_at: Option<Instant>,
    /// The log position that the answer reported.
    pub position: Option<ReportedPosition>,
    /// The role that the answer reported.
    pub role: Option<Role>,
    /// Whether the query was, or may have been, written, and the part of its answer that tells the role did not arrive.
    pub answer_lost: bool,
    /// The value; only with [`Outcome::Ok`].
    pub value: Option<Value>,
    /// How it was transferred, for the log.
    pub transfer: Transfer,
}

/// How an attempt's query and answer were transferred.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Transfer {
    /// The connection's number in log lines; none if there was no connection.
    pub connection_id: Option<u64>,
    /// Bytes that were read of the answer.
    pub bytes_read: usize,
}

/// The end of a health check.
#[derive(Debug)]
pub(crate) struct HealthCheckResult {
    pub host: HostId,
    pub outcome: Outcome,
    /// From the core actor's command to the end.
    pub latency: TimeDelta,
    /// The load report; only with [`Outcome::Ok`], and only where the settings have load reports.
    pub report: Option<LoadReport>,
}
