//! The errors that clients are sent in place of a value, encoded for each protocol. The texts are part of the
//! interface.

use crate::interface::TimeDelta;
use crate::net::messages::InvalidRequest;
use crate::pgwire::{self, StatementError, WireError};
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use bytes::{BufMut, BytesMut};
use wheelpier_tds::{
    numbers, put_done, put_error, put_message, Done, DoneKind, Notice, PacketType, Status,
    INITIAL_PACKET_BYTES,
};

/// The fatal TLS alert `protocol_version` (RFC 8446, section 6), the only answer that a client which begins
/// with TLS can read.
const TLS_ALERT: [u8; 7] = [0x15, 0x03, 0x01, 0x00, 0x02, 0x02, 0x46];
/// The TDS error class of an error that the user can correct.
const USER_ERROR_CLASS: u8 = 16;
/// The TDS error class of a syntax error.
const SYNTAX_ERROR_CLASS: u8 = 15;
/// The lowest TDS error class that ends the connection.
const FATAL_ERROR_CLASS: u8 = 20;

/// Reason why a client gets no value, or why its connection ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The request was rejected and had no effect; a retry is harmless, after this time if one is given.
    /// Caused by the proxy.
    Rejected(Option<TimeDelta>),
    /// There is no endpoint list yet, or the proxy is quiesced. Caused by the proxy.
    NotReady,
    /// No host answered in time; the request may have had an effect. Caused by the hosts.
    Failed,
    /// The client has closed its side of the connection.
    ClientLeft,
    /// The client has cancelled the request.
    Cancelled,
    /// The statement is not UTF-8. Caused by the client, as all variants below.
    Encoding,
    /// The statement has an unsupported form, or a field is missing, repeated or invalid.
    Statement(StatementError),
    /// The procedure call that carries the statement is malformed.
    Syntax(String),
    /// The statement is well-formed, but not a valid request to this proxy.
    Invalid(InvalidRequest),
    /// The client uses a feature of the protocol that is not supported.
    Unsupported(String),
    /// A message exceeds the length limit.
    TooLong,
    /// The stream violates the protocol.
    ProtocolViolation(String),
    /// The login is rejected.
    Login(String),
    /// The client speaks another protocol than the port, and is answered in the client's protocol.
    WrongProtocol(ForeignProtocol),
}

/// Whether a fault ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Severity {
    /// The connection stays open.
    Error,
    /// The connection ends.
    Fatal,
}

impl Severity {
    /// Returns the name of the severity in PostgreSQL's protocol.
    fn name(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// A protocol that a client speaks on the wrong port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ForeignProtocol {
    /// The first protocol, on a port of the second.
    Protocol(Protocol, Protocol),
    /// TLS from the first byte on, as TDS 8.0 does.
    Tls,
}

impl From<WireError> for Fault {
    fn from(problem: WireError) -> Self {
        match problem {
            WireError::TooLong => Self::TooLong,
            WireError::Malformed => Self::ProtocolViolation(problem.to_string()),
        }
    }
}

impl From<wheelpier_tds::WireError> for Fault {
    fn from(problem: wheelpier_tds::WireError) -> Self {
        match problem {
            wheelpier_tds::WireError::TooLong => Self::TooLong,
            _ => Self::ProtocolViolation(problem.to_string()),
        }
    }
}

impl Fault {
    /// Returns the text that the client is sent.
    pub fn text(&self) -> String {
        match self {
            Self::Rejected(_) => "not now: trying again is harmless".to_owned(),
            Self::NotReady => "the list of ledger hosts has not come yet".to_owned(),
            Self::Failed => "no ledger host answered in time".to_owned(),
            Self::ClientLeft => "the client has ended the connection".to_owned(),
            Self::Cancelled => "called off on the client's request".to_owned(),
            Self::Encoding => "the statement is not UTF-8".to_owned(),
            Self::TooLong => "a message is longer than is taken here".to_owned(),
            Self::Statement(problem) => problem.to_string(),
            Self::Invalid(problem) => problem.to_string(),
            Self::Syntax(text)
            | Self::Unsupported(text)
            | Self::ProtocolViolation(text)
            | Self::Login(text) => text.clone(),
            Self::WrongProtocol(ForeignProtocol::Protocol(spoken, port)) => {
                format!("this port speaks {port}, not {spoken}")
            }
            Self::WrongProtocol(ForeignProtocol::Tls) => "encryption is not had here".to_owned(),
        }
    }

    /// Returns the reason under which counters and logs record the fault; `None` if nothing was rejected, or
    /// if the core actor has recorded the rejection.
    pub fn reason(&self) -> Option<RejectionReason> {
        Some(match self {
            Self::Rejected(_) | Self::Failed | Self::ClientLeft | Self::Cancelled => return None,
            Self::NotReady => RejectionReason::NotReady,
            Self::Encoding => RejectionReason::InvalidEncoding,
            Self::Statement(StatementError::Form) | Self::Syntax(_) => RejectionReason::UnsupportedStatement,
            Self::Statement(StatementError::Missing(_)) => RejectionReason::MissingField,
            Self::Statement(StatementError::Duplicate(_)) => RejectionReason::DuplicateField,
            Self::Statement(StatementError::Value(_)) => RejectionReason::InvalidValue,
            Self::Invalid(problem) => problem.reason(),
            Self::Unsupported(_) | Self::WrongProtocol(_) => RejectionReason::UnsupportedFeature,
            Self::TooLong => RejectionReason::MessageTooLong,
            Self::ProtocolViolation(_) => RejectionReason::ProtocolViolation,
            Self::Login(_) => RejectionReason::InvalidLogin,
        })
    }

    /// Returns the time after which the client may retry, in milliseconds; `None` if it is not given one.
    fn retry_after_ms(&self) -> Option<i64> {
        match self {
            Self::Rejected(retry_after) => retry_after.map(|retry_after| (retry_after.0 / 1000).max(1)),
            _ => None,
        }
    }

    /// Returns the SQLSTATE.
    fn sqlstate(&self) -> &'static str {
        match self {
            Self::Rejected(_) => "53300",
            Self::NotReady => "57P03",
            Self::Failed => "58000",
            Self::ClientLeft | Self::Cancelled => "57014",
            Self::Encoding => "22021",
            Self::Statement(_) | Self::Syntax(_) => "42601",
            Self::Invalid(_) => "22023",
            Self::Unsupported(_) | Self::WrongProtocol(_) => "0A000",
            Self::TooLong => "54000",
            Self::ProtocolViolation(_) => "08P01",
            Self::Login(_) => "28000",
        }
    }

    /// Returns the TDS error number.
    fn number(&self) -> i32 {
        match self {
            Self::Rejected(_) => numbers::BUSY,
            Self::NotReady => numbers::UNAVAILABLE,
            Self::Failed => numbers::FAILED,
            Self::ClientLeft | Self::Cancelled => numbers::CLIENT_LEFT,
            Self::Encoding | Self::Statement(_) | Self::Syntax(_) => numbers::SYNTAX,
            Self::Invalid(_) => numbers::INVALID,
            Self::Unsupported(_) | Self::WrongProtocol(_) => numbers::UNSUPPORTED,
            Self::TooLong | Self::ProtocolViolation(_) => numbers::PROTOCOL,
            Self::Login(_) => numbers::LOGIN,
        }
    }

    /// Encodes the fault as an ErrorResponse of PostgreSQL's protocol.
    pub fn put_postgres(&self, severity: Severity, output: &mut BytesMut) {
        let retry_after = self.retry_after_ms().map(|ms| ms.to_string());
        pgwire::error(output, severity.name(), self.sqlstate(), &self.text(), retry_after.as_deref());
    }

    /// Encodes the fault as the tokens ERROR and DONE of TDS.
    pub fn put_tds(&self, kind: DoneKind, severity: Severity, output: &mut BytesMut) {
        let class = match self {
            _ if severity == Severity::Fatal => FATAL_ERROR_CLASS,
            Self::Encoding | Self::Statement(_) | Self::Syntax(_) => SYNTAX_ERROR_CLASS,
            _ => USER_ERROR_CLASS,
        };
        let message = match self.retry_after_ms() {
            Some(ms) => format!("{}. Come again after {ms} ms.", self.text()),
            None => self.text(),
        };
        put_error(output, &Notice { number: self.number(), state: 1, class, message });
        put_done(output, kind, Done { error: true, ..Done::default() });
    }

    /// Encodes the fault for a client that speaks another protocol than the port, whose connection ends with
    /// it.
    pub fn put_foreign(&self, foreign: ForeignProtocol, output: &mut BytesMut) {
        match foreign {
            ForeignProtocol::Tls => output.put_slice(&TLS_ALERT),
            ForeignProtocol::Protocol(Protocol::Postgres, _) => self.put_postgres(Severity::Fatal, output),
            ForeignProtocol::Protocol(Protocol::Tds, _) => {
                let mut payload = BytesMut::new();
                self.put_tds(DoneKind::Batch, Severity::Fatal, &mut payload);
                put_message(output, PacketType::Result, Status::default(), &payload, INITIAL_PACKET_BYTES);
            }
        }
    }
}
