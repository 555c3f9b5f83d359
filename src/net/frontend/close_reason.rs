//! The reasons why client connections are closed, for the log.

use super::fault::Fault;
use std::{fmt, io};

/// Reason why a connection was closed. The comment on each reason names the side that caused it.
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
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ClientLeft => formatter.write_str("client left"),
            Self::CancelRequest => formatter.write_str("cancel request"),
            Self::Io(kind) => write!(formatter, "{kind}"),
            Self::StartupTimeout => formatter.write_str("startup timeout"),
            Self::FirstStatementTimeout => formatter.write_str("first statement timeout"),
            Self::Drained => formatter.write_str("drain"),
            Self::ConnectionPressure => formatter.write_str("connection pressure"),
            Self::OverLimit => formatter.write_str("over the connection limit"),
            Self::ProtocolErrors => formatter.write_str("too many protocol errors"),
            Self::Fault(fault) => write!(formatter, "{}", fault.text()),
            Self::CoreEnded => formatter.write_str("core actor ended"),
        }
    }
}
