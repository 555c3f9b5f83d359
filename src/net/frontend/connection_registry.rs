//! The open client connections, for the log: what each of them is doing while a drain waits for it, and why
//! it was closed.

use super::close_reason::CloseReason;
use crate::protocol::Protocol;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Maximum number of connections that are logged one by one, the oldest first; the others are only counted.
const MAX_LOGGED_CONNECTIONS: usize = 8;

/// The current activity of a connection's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Activity {
    /// Waits for the startup to be complete.
    Startup,
    /// Waits for a request of which no byte has arrived.
    Idle,
    /// Waits for the rest of a message.
    Receiving,
    /// Waits for answers to requests.
    Answering,
    /// Waits after a protocol error before it reads on.
    Paused,
    /// Writes to the client.
    Writing,
    /// Writes the error with which the connection ends, or discards what the client still sends.
    Ending,
}

/// All activities, indexed by their discriminants.
const ACTIVITIES: [Activity; 7] = [
    Activity::Startup,
    Activity::Idle,
    Activity::Receiving,
    Activity::Answering,
    Activity::Paused,
    Activity::Writing,
    Activity::Ending,
];

impl fmt::Display for Activity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Startup => "startup",
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Answering => "answering",
            Self::Paused => "paused",
            Self::Writing => "writing",
            Self::Ending => "ending",
        })
    }
}

/// The state of an open connection, as last reported by its actor.
#[derive(Debug)]
pub(crate) struct ConnectionStatus {
    id: u64,
    protocol: Protocol,
    peer: Option<SocketAddr>,
    accepted_at: Instant,
    activity: AtomicU8,
    /// Number of requests whose answers are not written yet.
    open_requests: AtomicUsize,
    /// Number of bytes in the read buffer: an incomplete message, or messages that wait for capacity in the
    /// pipeline.
    buffered_bytes: AtomicUsize,
    /// Time at which bytes were last read, in milliseconds after `accepted_at`.
    last_read_ms: AtomicU64,
}

impl ConnectionStatus {
    /// Returns the activity that the actor last reported.
    fn activity(&self) -> Activity {
        ACTIVITIES.get(usize::from(self.activity.load(Relaxed))).copied().unwrap_or(Activity::Startup)
    }

    /// Returns the time for which the connection has been open, in milliseconds.
    fn open_ms(&self) -> u64 {
        self.accepted_at.elapsed().as_millis() as u64
    }

    /// Returns the time since bytes were last read, in milliseconds.
    fn last_read_ago_ms(&self) -> u64 {
        self.open_ms().saturating_sub(self.last_read_ms.load(Relaxed))
    }
}

/// Logs a message with the state of a connection: `log_connection!(level, status, fields.., "message")`.
macro_rules! log_connection {
    ($level:ident, $status:expr, $($fields:tt)*) => {
        tracing::$level!(
            connection_id = $status.id,
            protocol = %$status.protocol,
            peer = $status.peer.map(tracing::field::display),
            activity = %$status.activity(),
            open_ms = $status.open_ms(),
            last_read_ago_ms = $status.last_read_ago_ms(),
            open_requests = $status.open_requests.load(Relaxed),
            buffered_bytes = $status.buffered_bytes.load(Relaxed),
            $($fields)*
        )
    };
}

/// The registry's state.
#[derive(Debug, Default)]
struct OpenConnections {
    /// The id of the latest connection.
    last_id: u64,
    /// The open connections by id, and so the oldest first.
    open: BTreeMap<u64, Arc<ConnectionStatus>>,
}

/// All open client connections of this process; copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionRegistry(Arc<Mutex<OpenConnections>>);

impl ConnectionRegistry {
    /// Adds a connection that was just accepted. It is removed when the returned entry is dropped.
    pub fn register(&self, protocol: Protocol, peer: Option<SocketAddr>) -> ConnectionEntry {
        let mut connections = self.connections();
        connections.last_id += 1;
        let status = Arc::new(ConnectionStatus {
            id: connections.last_id,
            protocol,
            peer,
            accepted_at: Instant::now(),
            activity: AtomicU8::new(Activity::Startup as u8),
            open_requests: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
            last_read_ms: AtomicU64::new(0),
        });
        connections.open.insert(status.id, Arc::clone(&status));
        ConnectionEntry { status, registry: self.clone() }
    }

    /// Logs the connections that are still open while a drain waits for them. `kind` is the drain's kind in
    /// the log. Returns whether there are any.
    pub(super) fn log_open(&self, kind: &str, started_at: Instant) -> bool {
        let open: Vec<Arc<ConnectionStatus>> = self.connections().open.values().cloned().collect();
        let mut counts: BTreeMap<Activity, usize> = BTreeMap::new();
        for status in &open {
            *counts.entry(status.activity()).or_default() += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(activity, count)| format!("{activity} {count}")).collect();
        let elapsed_ms = started_at.elapsed().as_millis() as u64;
        tracing::info!(
            kind,
            elapsed_ms,
            connections = open.len(),
            activities = counts.join(", "),
            "drain waits for client connections"
        );
        for status in open.iter().take(MAX_LOGGED_CONNECTIONS) {
            log_connection!(info, status, kind, elapsed_ms, "client connection still open");
        }
        !open.is_empty()
    }

    fn connections(&self) -> MutexGuard<'_, OpenConnections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The entry of a connection in the registry, removed on drop.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    status: Arc<ConnectionStatus>,
    registry: ConnectionRegistry,
}

impl ConnectionEntry {
    /// Records the actor's current activity, its open requests, its buffered bytes and the time of the last
    /// read.
    pub fn update(
        &self,
        activity: Activity,
        open_requests: usize,
        buffered_bytes: usize,
        last_read_at: Instant,
    ) {
        self.status.activity.store(activity as u8, Relaxed);
        self.status.open_requests.store(open_requests, Relaxed);
        self.status.buffered_bytes.store(buffered_bytes, Relaxed);
        let last_read = last_read_at.saturating_duration_since(self.status.accepted_at);
        self.status.last_read_ms.store(last_read.as_millis() as u64, Relaxed);
    }

    /// Logs why the connection is closed: at level info during a drain, else at debug.
    pub(super) fn log_close(&self, reason: &CloseReason, is_draining: bool) {
        let status = &self.status;
        if is_draining {
            log_connection!(info, status, reason = %reason, "client connection closed");
        } else {
            log_connection!(debug, status, reason = %reason, "client connection closed");
        }
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.registry.connections().open.remove(&self.status.id);
    }
}
