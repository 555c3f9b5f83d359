//! Purposes that memory is used for.

use std::fmt;

/// Purpose that memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Client connections: their actors and sockets.
    Connections,
    /// Bytes of requests that have not been answered, and bytes of answers that clients have not read.
    ClientBuffers,
    /// The request table.
    Requests,
    /// Requests that are sent to hosts, and responses that are received from them.
    UpstreamBuffers,
    /// The router's tables of sessions, hosts and other state.
    Routing,
    /// Further attempts of a request after its first.
    Copies,
    /// Retained log lines and time series.
    Logs,
}

/// All purposes, in the order of their discriminants.
pub const PURPOSES: [Purpose; 7] = [
    Purpose::Connections,
    Purpose::ClientBuffers,
    Purpose::Requests,
    Purpose::UpstreamBuffers,
    Purpose::Routing,
    Purpose::Copies,
    Purpose::Logs,
];

impl fmt::Display for Purpose {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connections => "connections",
            Self::ClientBuffers => "client-buffers",
            Self::Requests => "requests",
            Self::UpstreamBuffers => "upstream-buffers",
            Self::Routing => "routing",
            Self::Copies => "copies",
            Self::Logs => "logs",
        })
    }
}
