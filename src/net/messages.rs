//! Messages between the actors of the proxy, independent of the protocols that clients and hosts speak.

use crate::budget::Reservation;
use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::interface::{
    HostId, LoadReport, LogPosition, Outcome, RequestId, Role, SessionId, TimeDelta, Timestamp,
};
use crate::net::answer_buffers::AnswerPermit;
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
/// Length of `'`, which stands after the hexadecimal digits of a value.
const VALUE_SUFFIX_LENGTH: usize = 1;

/// A statement in its canonical form, with the ranges of the parts that the proxy replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The complete text, as clients of PostgreSQL's protocol send it.
    pub text: Bytes,
    /// Range in `text` of the client's timeout in milliseconds.
    pub timeout_range: Range<usize>,
    /// Range in `text` of a write's value in hexadecimal digits; `None` for a read.
    pub value_range: Option<Range<usize>>,
}

impl Statement {
    /// Returns the text with the client's timeout replaced by `timeout`, as the part before the new timeout,
    /// the new timeout, and the part after it.
    pub fn with_timeout(&self, timeout: Duration) -> (Bytes, String, Bytes) {
        let before = self.text.slice(..self.timeout_range.start);
        let after = self.text.slice(self.timeout_range.end..);
        (before, timeout_digits(timeout), after)
    }

    /// Returns a write's text with `timeout` in place of the client's timeout and the parameter `name` in
    /// place of the value, and the bytes of the value; `None` for a read.
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

/// Formats a timeout in whole milliseconds, at least one.
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
    /// Whether the statement writes.
    pub is_write: bool,
    /// The session, if the statement names one.
    pub session: Option<SessionId>,
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// The time of the session's last write on the hosts' clock, if the client gives it.
    pub last_write_at: Option<Timestamp>,
    /// Time for which the client waits for the answer.
    pub timeout: Duration,
    /// The id that the client gave the request, unique among the requests in flight.
    pub client_request_id: String,
    /// The statement that is forwarded to a host.
    pub statement: Statement,
}

/// The value that a host answered with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    /// The value itself.
    pub content: Bytes,
    /// The PostgreSQL messages in which the host sent the value, if it speaks that protocol: a client of the
    /// same protocol gets them unchanged.
    pub postgres_messages: Option<Bytes>,
    /// The rest of the answer after `postgres_messages`, if the value is too long to be held in memory.
    pub remainder: Option<Remainder>,
    /// The permit to hold the value in memory, if it is beyond the usual length. To be dropped once the value
    /// is written.
    pub(crate) permit: Option<AnswerPermit>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A host's value, as the host wrote it.
    Served(Value),
    /// The request had no effect; a retry is harmless.
    Rejected {
        /// Time that the client should wait before it retries.
        retry_after: Option<TimeDelta>,
    },
    /// No host answered in time; the request may have had an effect.
    Failed,
    /// The request contradicts the settings, the endpoint list or another request.
    Invalid(InvalidRequest),
}

/// Reason why a well-formed statement is not a valid request to this proxy. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no such class, or it accepts no more requests.
    #[error("there is no class `{0}`")]
    UnknownClass(String),
    /// The statement writes where its class reads, or the other way round.
    #[error("the class `{class}` {verb}, the statement does not")]
    ClassMismatch {
        /// The class.
        class: String,
        /// The operation of the class: `reads` or `writes`.
        verb: &'static str,
    },
    /// The endpoint list has no such group.
    #[error("there is no group {0}")]
    UnknownGroup(u32),
    /// Another request with the same id is open. Hosts identify requests by these ids, so their answers could
    /// be mixed up.
    #[error("a request with this id is open")]
    DuplicateId,
    /// The value of a parameter cannot be written as a literal in a statement.
    #[error("{0}")]
    Parameter(String),
}

impl InvalidRequest {
    /// Returns the reason under which counters and logs record it.
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
    /// The final answer to one of the client's requests.
    Answer(RequestId, Answer),
}

/// A message to the core actor.
#[derive(Debug)]
pub(crate) enum CoreEvent {
    /// A client has sent a request.
    RequestArrived(Box<Arrival>),
    /// A client has disconnected before its request was answered.
    ClientDisconnected(RequestId),
    /// The answer to a request is due earlier than [`Arrival::reply_due`], since a request that was read
    /// later waits behind it on the same connection.
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
    /// Returns the name of the event in log lines.
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

/// A request on its way from a client actor to the core actor.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// The proxy's own id for the request.
    pub id: RequestId,
    pub request: Request,
    /// Time at which the last byte of the request was read.
    pub arrived_at: Instant,
    /// Time at which the answer is due: early enough also for the requests that wait behind this one on the
    /// same connection.
    pub reply_due: Instant,
    /// Mailbox of the client actor, for the answer.
    pub client: mpsc::Sender<ClientMessage>,
    /// Tells whether the client's connection is still open.
    pub client_liveness: PeerLiveness,
    /// Accounts for the request's memory from here on, whether its client stays or not.
    pub memory_reservation: Reservation,
}

/// A log position as reported by a host, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReportedPosition(pub f64);

impl ReportedPosition {
    /// Returns the position rounded to whole milliseconds: up for a commit, so that no later read misses it;
    /// down for an applied position, which is a lower bound.
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
    /// Time from the core actor's command to the end of the attempt.
    pub latency: TimeDelta,
    /// Time at which writing the query began; `None` if it did not.
    pub write_started_at: Option<Instant>,
    /// Time at which the last byte of the query was written; `None` if it was not.
    pub written_at: Option<Instant>,
    /// The log position in the answer.
    pub position: Option<ReportedPosition>,
    /// The role in the answer.
    pub role: Option<Role>,
    /// Whether the query was or may have been written and the part of the answer that contains the role did
    /// not arrive.
    pub answer_lost: bool,
    /// The value; only with [`Outcome::Ok`].
    pub value: Option<Value>,
    /// Details of the transfer, for the log.
    pub transfer: Transfer,
}

/// Details of the transfer of an attempt's query and answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Transfer {
    /// The id of the connection in log lines; `None` if there was no connection.
    pub connection_id: Option<u64>,
    /// Number of bytes of the answer that were read.
    pub bytes_read: usize,
}

/// The end of a health check.
#[derive(Debug)]
pub(crate) struct HealthCheckResult {
    pub host: HostId,
    pub outcome: Outcome,
    /// Time from the core actor's command to the end of the health check.
    pub latency: TimeDelta,
    /// The load report; only with [`Outcome::Ok`], and only if the settings allow load reports.
    pub report: Option<LoadReport>,
}
