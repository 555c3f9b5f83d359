//! Why a client connection is closed, for the log.

use super::fault::Fault;
use std::{fmt, io};

/// Why a connection was closed. Each says whose side ended it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Client: it has ended its side, or terminated the session.
    ClientLeft,
    /// Client: the connection carried a cancel request, which is all it may carry.
    CancelRequest,
    /// Network: the connection has broken, or the client takes nothing of what is written.
    Io(io::ErrorKind),
    /// Client: the startup was not complete in time.
    StartupTimeout,
    /// Client: no complete statement came in time.
    FirstStatementTimeout,
    /// Proxy: a drain closed it.
    Drained,
    /// Proxy: it was idle, and client connection slots had run short.
    ConnectionPressure,
    /// Proxy: all client connection slots are taken.
    OverLimit,
    /// Client: too many invalid statements.
    ProtocolErrors,
    /// The client got this fault, which says whose side failed.
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
