//! How many descriptors each part of the process may hold.
//!
//! Invariant: all parts at their limits together never hold more than `limits.sockets`.

use crate::membership::DiscoveryRetry;
use crate::pgwire;

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The runtime's poller, its copy, its waker, and three sockets by which signals reach it.
const RUNTIME: usize = 6;
/// The first client listener and the console's.
const LISTENERS: usize = 2;
/// What is open within one turn only: a connection that is accepted and closed at once, or the file read at SIGHUP.
const TRANSIENT: usize = 1;
/// Calls to discovery, and the watch before them that is about to close.
const DISCOVERY: usize = DiscoveryRetry::MAX_CONCURRENT_CALLS + 1;
/// Client connections above their limit that are answered instead of being closed unread.
pub const MAX_OVERFLOW_CONNECTIONS: usize = 8;
/// A descriptor that was inherited from the parent process.
const INHERITED: usize = 1;
/// Descriptors that neither serve a client within its limit nor a host.
const RESERVED: usize = STANDARD_STREAMS
    + RUNTIME
    + LISTENERS
    + TRANSIENT
    + DISCOVERY
    + MAX_OVERFLOW_CONNECTIONS
    + MIN_CONSOLE_CALLERS
    + INHERITED;

/// Callers that the console serves at once where descriptors are few.
const MIN_CONSOLE_CALLERS: usize = 6;
/// Descriptors above which the console serves further callers.
const SOCKETS_FOR_MORE_CONSOLE_CALLERS: usize = 256;
/// Descriptors for each further caller of the console.
const SOCKETS_PER_CONSOLE_CALLER: usize = 32;
const MAX_FURTHER_CONSOLE_CALLERS: usize = 58;

/// Descriptors for each stream to a peer.
const SOCKETS_PER_PEER_STREAM: usize = 64;
const MIN_PEER_STREAMS: usize = 2;
const MAX_PEER_STREAMS: usize = 16;
/// The datagram socket and the stream listener for peers.
const PEER_LISTENERS: usize = 2;

/// Fraction of the connections that goes to hosts; each of these serves many clients in turn.
const UPSTREAM_FRACTION: f64 = 0.3;
/// Fraction of the memory for messages that client connections may use; each may hold a statement of the largest size.
const CLIENT_MEMORY_FRACTION: f64 = 0.8;
/// Fewest connections on either side that the proxy works with.
pub(super) const MIN_CONNECTIONS: usize = 8;
/// Fewest descriptors that the proxy works with.
pub(super) const MIN_SOCKETS: usize = 64;
/// Descriptors where the file gives no number.
pub(super) const DEFAULT_SOCKETS: usize = 1024;

/// Largest number of connections of each kind at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Client connections, without the [`MAX_OVERFLOW_CONNECTIONS`].
    pub clients: usize,
    /// Connections to hosts.
    pub upstream: usize,
    /// Callers of the console.
    pub console_callers: usize,
    /// Streams to peers; as many come from them.
    pub peer_streams: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors of a process without peers and with one client listener.
    pub(super) fn divide(sockets: usize) -> Self {
        let connections = sockets.saturating_sub(RESERVED) as f64;
        let further_callers =
            sockets.saturating_sub(SOCKETS_FOR_MORE_CONSOLE_CALLERS) / SOCKETS_PER_CONSOLE_CALLER;
        let further_callers = further_callers.min(MAX_FURTHER_CONSOLE_CALLERS);
        let clients = (connections * (1.0 - UPSTREAM_FRACTION)) as usize;
        Self {
            clients: clients.saturating_sub(further_callers),
            upstream: (connections * UPSTREAM_FRACTION) as usize,
            console_callers: MIN_CONSOLE_CALLERS + further_callers,
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
        let for_peers = PEER_LISTENERS + 2 * peer_streams;
        let clients = limits.clients.saturating_sub(further_listeners + for_peers);
        Self { clients, peer_streams, ..limits }
    }

    /// Returns the limits lowered to what the memory for messages allows, if it is bounded: each client connection may
    /// hold a statement of `max_statement_bytes`, each connection to a host an answer of the largest size.
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
