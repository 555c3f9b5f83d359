//! What memory is used for.

use std::fmt;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Client connections: their actors and sockets.
    Connections,
    /// Bytes received from clients that are not answered, and bytes for clients that they have not read.
    ClientBuffers,
    /// The request table.
    Requests,
    /// Requests and answers on their way to and from hosts.
    UpstreamBuffers,
    /// Sessions, hosts and the router's own tables.
    Routing,
    /// Attempts of a request beyond its first.
    Copies,
    /// Log lines and time series that are retained.
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
