//! What clients are told when there is no value, in each protocol's own terms.

use crate::interface::TimeDelta;
use crate::net::messages::InvalidRequest;
use crate::pgwire::{self, StatementError, WireError};
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use bytes::{BufMut, BytesMut};
use wheelpier_tds::{
    numbers, put_done, put_error, put_message, Done, DoneKind, Notice, PacketType, Status, PACKET_SIZE,
};

/// A TLS alert: fatal, protocol version (RFC 8446, 6). A client that begins with TLS can read nothing else.
const TLS_ALERT: [u8; 7] = [0x15, 0x03, 0x01, 0x00, 0x02, 0x02, 0x46];
const USERS_ERROR: u8 = 16;
const SYNTAX_ERROR: u8 = 15;
/// From here on the connection ends.
const FATAL: u8 = 20;

/// Why there is no value, or why a connection ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Refused: trying again is harmless, after that time if there is one.
    Refused(Option<TimeDelta>),
    /// The list of ledger hosts has not come yet.
    NotReady,
    /// No ledger host answered; it may have had an effect.
    Failed,
    /// The client has ended its side.
    Left,
    /// The client has called the request off.
    Cancelled,
    /// The statement is no text.
    Encoding,
    /// The statement has another form, or says too little or too much.
    Statement(StatementError),
    /// The call that brings the statement has another form.
    Syntax(String),
    /// The statement names what is not there, or does not fit its class.
    Invalid(InvalidRequest),
    /// A part of the protocol that is not served.
    Unsupported(String),
    /// A message is longer than is taken.
    TooLong,
    /// The stream breaks the protocol.
    Broken(String),
    /// The login cannot be accepted.
    Login(String),
    /// Another protocol than this port's: to be told in that one.
    Foreign(Foreign),
}

/// What else a client may speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Foreign {
    /// Another protocol of the proxy's, on the port of the one that is named second.
    Protocol(Protocol, Protocol),
    /// TLS from the first byte on, as TDS 8.0 does.
    Tls,
}

impl From<WireError> for Fault {
    fn from(problem: WireError) -> Self {
        match problem {
            WireError::TooLong => Self::TooLong,
            WireError::Malformed => Self::Broken(problem.to_string()),
        }
    }
}

impl From<wheelpier_tds::WireError> for Fault {
    fn from(problem: wheelpier_tds::WireError) -> Self {
        match problem {
            wheelpier_tds::WireError::TooLong => Self::TooLong,
            _ => Self::Broken(problem.to_string()),
        }
    }
}

impl Fault {
    /// In words.
    pub fn text(&self) -> String {
        match self {
            Self::Refused(_) => "not now: trying again is harmless".to_owned(),
            Self::NotReady => "the list of ledger hosts has not come yet".to_owned(),
            Self::Failed => "no ledger host answered in time".to_owned(),
            Self::Left => "the client has ended the connection".to_owned(),
            Self::Cancelled => "called off on the client's request".to_owned(),
            Self::Encoding => "the statement is not UTF-8".to_owned(),
            Self::TooLong => "a message is longer than is taken here".to_owned(),
            Self::Statement(problem) => problem.to_string(),
            Self::Invalid(problem) => problem.to_string(),
            Self::Syntax(text) | Self::Unsupported(text) | Self::Broken(text) | Self::Login(text) => {
                text.clone()
            }
            Self::Foreign(Foreign::Protocol(spoken, port)) => {
                format!("this port speaks {port}, not {spoken}")
            }
            Self::Foreign(Foreign::Tls) => "encryption is not had here".to_owned(),
        }
    }

    /// As figures and logs name it; none where nothing is turned away, or where whoever did so has told.
    pub fn reason(&self) -> Option<RejectionReason> {
        Some(match self {
            Self::Refused(_) | Self::Failed | Self::Left | Self::Cancelled => return None,
            Self::NotReady => RejectionReason::NotReady,
            Self::Encoding => RejectionReason::Encoding,
            Self::Statement(StatementError::Form) | Self::Syntax(_) => RejectionReason::Form,
            Self::Statement(StatementError::Lacks(_)) => RejectionReason::Lacks,
            Self::Statement(StatementError::Twice(_)) => RejectionReason::Twice,
            Self::Statement(StatementError::Value(_)) => RejectionReason::Value,
            Self::Invalid(problem) => problem.reason(),
            Self::Unsupported(_) | Self::Foreign(_) => RejectionReason::Unsupported,
            Self::TooLong => RejectionReason::TooLong,
            Self::Broken(_) => RejectionReason::Broken,
            Self::Login(_) => RejectionReason::Login,
        })
    }

    /// Milliseconds to stay away, where they are told.
    fn wait(&self) -> Option<i64> {
        match self {
            Self::Refused(wait) => wait.map(|wait| (wait.0 / 1000).max(1)),
            _ => None,
        }
    }

    /// SQLSTATE.
    fn state(&self) -> &'static str {
        match self {
            Self::Refused(_) => "53300",
            Self::NotReady => "57P03",
            Self::Failed => "58000",
            Self::Left | Self::Cancelled => "57014",
            Self::Encoding => "22021",
            Self::Statement(_) | Self::Syntax(_) => "42601",
            Self::Invalid(_) => "22023",
            Self::Unsupported(_) | Self::Foreign(_) => "0A000",
            Self::TooLong => "54000",
            Self::Broken(_) => "08P01",
            Self::Login(_) => "28000",
        }
    }

    fn number(&self) -> i32 {
        match self {
            Self::Refused(_) => numbers::BUSY,
            Self::NotReady => numbers::UNAVAILABLE,
            Self::Failed => numbers::FAILED,
            Self::Left | Self::Cancelled => numbers::LEFT,
            Self::Encoding | Self::Statement(_) | Self::Syntax(_) => numbers::SYNTAX,
            Self::Invalid(_) => numbers::INVALID,
            Self::Unsupported(_) | Self::Foreign(_) => numbers::UNSUPPORTED,
            Self::TooLong | Self::Broken(_) => numbers::PROTOCOL,
            Self::Login(_) => numbers::LOGIN,
        }
    }

    /// As ErrorResponse.
    pub fn put_postgres(&self, severity: &str, out: &mut BytesMut) {
        let wait = self.wait().map(|ms| ms.to_string());
        pgwire::error(out, severity, self.state(), &self.text(), wait.as_deref());
    }

    /// As ERROR and the end that follows it.
    pub fn put_tds(&self, kind: DoneKind, fatal: bool, out: &mut BytesMut) {
        let class = match self {
            _ if fatal => FATAL,
            Self::Encoding | Self::Statement(_) | Self::Syntax(_) => SYNTAX_ERROR,
            _ => USERS_ERROR,
        };
        let message = match self.wait() {
            Some(ms) => format!("{}. Come again after {ms} ms.", self.text()),
            None => self.text(),
        };
        put_error(out, &Notice { number: self.number(), state: 1, class, message });
        put_done(out, kind, Done { error: true, ..Done::default() });
    }

    /// As the last that a client hears which speaks another protocol.
    pub fn put_foreign(&self, foreign: Foreign, out: &mut BytesMut) {
        match foreign {
            Foreign::Tls => out.put_slice(&TLS_ALERT),
            Foreign::Protocol(Protocol::Postgres, _) => self.put_postgres("FATAL", out),
            Foreign::Protocol(Protocol::Tds, _) => {
                let mut payload = BytesMut::new();
                self.put_tds(DoneKind::Batch, true, &mut payload);
                put_message(out, PacketType::Result, Status::default(), &payload, PACKET_SIZE);
            }
        }
    }
}
