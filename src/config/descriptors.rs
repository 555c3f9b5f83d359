//! Divides the process's file descriptors between its parts.
//!
//! Invariant: with every part at its limit the process holds at most `limits.sockets` descriptors.

use crate::membership::DiscoveryRetry;
use crate::pgwire;

/// Descriptors of standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// Descriptors of the runtime: its poller, the poller's duplicate, its waker, and three sockets for signals.
const RUNTIME_DESCRIPTORS: usize = 6;
/// The first listener for clients, and the console's listener.
const LISTENERS: usize = 2;
/// Descriptors that are open only within one poll of a task: a connection that is closed as soon as it is
/// accepted, or the file that is read at SIGHUP.
const TRANSIENT_DESCRIPTORS: usize = 1;
/// The session log and the lock on its region.
const SESSION_LOG_DESCRIPTORS: usize = 2;
/// Connections to discovery: concurrent calls, and the previous watch while it closes.
const DISCOVERY_CONNECTIONS: usize = DiscoveryRetry::MAX_CONCURRENT_CALLS + 1;
/// Client connections beyond the limit that get an answer with the reason instead of being closed unread.
pub const MAX_OVERFLOW_CONNECTIONS: usize = 8;
/// Descriptors inherited from the parent process.
const INHERITED_DESCRIPTORS: usize = 1;
/// Descriptors that are not available for connections of clients, within their limit, and of hosts.
const RESERVED_DESCRIPTORS: usize = STANDARD_STREAMS
    + RUNTIME_DESCRIPTORS
    + LISTENERS
    + TRANSIENT_DESCRIPTORS
    + SESSION_LOG_DESCRIPTORS
    + DISCOVERY_CONNECTIONS
    + MAX_OVERFLOW_CONNECTIONS
    + MIN_CONSOLE_CONNECTIONS
    + INHERITED_DESCRIPTORS;

/// Number of console connections that are allowed even if descriptors are few.
const MIN_CONSOLE_CONNECTIONS: usize = 6;
/// Number of descriptors above which further console connections are allowed.
const MIN_SOCKETS_FOR_FURTHER_CONSOLE_CONNECTIONS: usize = 256;
/// Number of descriptors, above that threshold, for each further console connection.
const SOCKETS_PER_CONSOLE_CONNECTION: usize = 32;
/// Largest number of further console connections.
const MAX_FURTHER_CONSOLE_CONNECTIONS: usize = 58;

/// Number of descriptors of the process for each stream to a peer.
const SOCKETS_PER_PEER_STREAM: usize = 64;
const MIN_PEER_STREAMS: usize = 2;
const MAX_PEER_STREAMS: usize = 16;
/// The datagram socket and the stream listener for peers.
const PEER_LISTENERS: usize = 2;

/// Fraction of the connections that is used for hosts. Each of these connections serves many clients in turn.
const UPSTREAM_FRACTION: f64 = 0.3;
/// Fraction of the memory for messages that client connections may use. Each may hold a statement of the
/// largest size.
const CLIENT_MEMORY_FRACTION: f64 = 0.8;
/// Smallest limit of connections, to clients or to hosts, with which the proxy works.
pub(super) const MIN_CONNECTIONS: usize = 8;
/// Smallest number of descriptors with which the proxy works.
pub(super) const MIN_SOCKETS: usize = 64;
/// Number of descriptors if the file does not set it.
pub(super) const DEFAULT_SOCKETS: usize = 1024;

/// Largest number of concurrent connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Client connections, not counting up to [`MAX_OVERFLOW_CONNECTIONS`] more that are only rejected.
    pub clients: usize,
    /// Connections to hosts.
    pub upstream: usize,
    /// Connections to the console.
    pub console_connections: usize,
    /// Streams to peers. The same number is allowed from peers.
    pub peer_streams: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors of a process without peers and with one client listener.
    pub(super) fn divide(sockets: usize) -> Self {
        let connections = sockets.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let further_console_connections = sockets.saturating_sub(MIN_SOCKETS_FOR_FURTHER_CONSOLE_CONNECTIONS)
            / SOCKETS_PER_CONSOLE_CONNECTION;
        let further_console_connections = further_console_connections.min(MAX_FURTHER_CONSOLE_CONNECTIONS);
        let clients = (connections * (1.0 - UPSTREAM_FRACTION)) as usize;
        Self {
            clients: clients.saturating_sub(further_console_connections),
            upstream: (connections * UPSTREAM_FRACTION) as usize,
            console_connections: MIN_CONSOLE_CONNECTIONS + further_console_connections,
            peer_streams: 0,
        }
    }

    /// Divides the descriptors of a process with further client listeners and, possibly, peers.
    pub(super) fn divide_with(sockets: usize, further_listeners: usize, has_peers: bool) -> Self {
        let limits = Self::divide(sockets);
        if !has_peers {
            return Self { clients: limits.clients.saturating_sub(further_listeners), ..limits };
        }
        let peer_streams = (sockets / SOCKETS_PER_PEER_STREAM).clamp(MIN_PEER_STREAMS, MAX_PEER_STREAMS);
        let peer_descriptors = PEER_LISTENERS + 2 * peer_streams;
        let clients = limits.clients.saturating_sub(further_listeners + peer_descriptors);
        Self { clients, peer_streams, ..limits }
    }

    /// Lowers the limits to fit the memory for messages; `None` means that it is not bounded. Each client
    /// connection may hold a statement of `max_statement_bytes`, and each connection to a host an answer of
    /// the largest size.
    pub(super) fn within_memory(self, memory_bytes: Option<f64>, max_statement_bytes: usize) -> Self {
        let Some(memory_bytes) = memory_bytes else { return self };
        let connections = |fraction: f64, message_bytes: usize| {
            ((memory_bytes * fraction / message_bytes as f64) as usize).max(MIN_CONNECTIONS)
        };
        Self {
            clients: self.clients.min(connections(CLIENT_MEMORY_FRACTION, max_statement_bytes)),
            upstream: self
                .upstream
                .min(connections(1.0 - CLIENT_MEMORY_FRACTION, pgwire::MAX_HOST_MESSAGE_BYTES)),
            ..self
        }
    }
}
