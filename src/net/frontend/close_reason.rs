//! The reasons why client connections are closed, for the log.

use super::fault::Fault;
use std::{fmt, io};

/// Why a connection was closed. The comment on each reason names the side that caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Client: it has closed its side of the connection, or terminated the session.
    ClientLeft,
    /// Client: it has sent a cancel request, after which a connection always ends.
    CancelRequest,
    /// Network: the connection has failed, or the client does not read what is written.
    Io(io::ErrorKind),
    /// Client: the startup was not complete in time.
    StartupTimeout,
    /// Client: no complete statement arrived in time.
    FirstStatementTimeout,
    /// Proxy: a drain closed it.
    Drained,
    /// Proxy: the connection was idle, and few client connection slots were free.
    ConnectionPressure,
    /// Proxy: all client connection slots are taken.
    OverLimit,
    /// Client: it has sent too many invalid statements.
    ProtocolErrors,
    /// The client was sent this fault. Its variant determines the side.
    Fault(Fault),
    /// Proxy: the core actor has ended.
    CoreEnded,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ClientLeft => f.write_str("client left"),
            Self::CancelRequest => f.write_str("cancel request"),
            Self::Io(kind) => write!(f, "{kind}"),
            Self::StartupTimeout => f.write_str("startup timeout"),
            Self::FirstStatementTimeout => f.write_str("first statement timeout"),
            Self::Drained => f.write_str("drain"),
            Self::ConnectionPressure => f.write_str("connection pressure"),
            Self::OverLimit => f.write_str("over the connection limit"),
            Self::ProtocolErrors => f.write_str("too many protocol errors"),
            Self::Fault(fault) => write!(f, "{}", fault.text()),
            Self::CoreEnded => f.write_str("core actor ended"),
        }
    }
}
