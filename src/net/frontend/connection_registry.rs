//! The open client connections, for the log: what each is doing while a drain waits for its end, and why each was closed.

use super::close_reason::CloseReason;
use crate::protocol::Protocol;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// The most connections that are logged one by one, the oldest first; the others are only counted.
const MAX_LOGGED_CONNECTIONS: usize = 8;

/// What a connection's actor is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Activity {
    /// Waits for the startup to be complete.
    Startup,
    /// Waits for a request, and none has begun.
    Idle,
    /// Waits for the rest of a message.
    Receiving,
    /// Waits for answers to requests.
    Answering,
    /// Waits after a protocol error before it reads on.
    Paused,
    /// Writes to the client.
    Writing,
    /// Writes the reason for its end, or discards what still comes.
    Ending,
}

/// All activities, by their numbers.
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
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

/// One open connection, as its actor last described it.
#[derive(Debug)]
pub(crate) struct Status {
    id: u64,
    protocol: Protocol,
    peer: Option<SocketAddr>,
    accepted_at: Instant,
    activity: AtomicU8,
    /// Requests whose answers are not written yet.
    open_requests: AtomicUsize,
    /// Bytes read that are no complete message yet, or wait for capacity in the pipeline.
    buffered_bytes: AtomicUsize,
    /// When bytes were last read, in milliseconds from `accepted_at`.
    read_ms: AtomicU64,
}

impl Status {
    fn activity(&self) -> Activity {
        ACTIVITIES.get(usize::from(self.activity.load(Relaxed))).copied().unwrap_or(Activity::Startup)
    }

    /// Returns how long the connection has been open, in milliseconds.
    fn open_ms(&self) -> u64 {
        self.accepted_at.elapsed().as_millis() as u64
    }

    /// Returns how long ago bytes were last read, in milliseconds.
    fn last_read_ms(&self) -> u64 {
        self.open_ms().saturating_sub(self.read_ms.load(Relaxed))
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
            last_read_ms = $status.last_read_ms(),
            open_requests = $status.open_requests.load(Relaxed),
            buffered_bytes = $status.buffered_bytes.load(Relaxed),
            $($fields)*
        )
    };
}

#[derive(Debug, Default)]
struct State {
    /// The number of the latest connection.
    last_id: u64,
    /// The open connections by number, and so by age.
    open: BTreeMap<u64, Arc<Status>>,
}

/// All open client connections of this process; copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionRegistry(Arc<Mutex<State>>);

impl ConnectionRegistry {
    /// Adds a connection that was just accepted, until its entry is dropped.
    pub fn enter(&self, protocol: Protocol, peer: Option<SocketAddr>) -> ConnectionEntry {
        let mut state = self.state();
        state.last_id += 1;
        let status = Arc::new(Status {
            id: state.last_id,
            protocol,
            peer,
            accepted_at: Instant::now(),
            activity: AtomicU8::new(Activity::Startup as u8),
            open_requests: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
            read_ms: AtomicU64::new(0),
        });
        state.open.insert(status.id, Arc::clone(&status));
        ConnectionEntry { status, registry: self.clone() }
    }

    /// Logs which connections are still open since a drain of this kind began. Returns whether there are any.
    pub(super) fn log_open(&self, kind: &str, started_at: Instant) -> bool {
        let open: Vec<Arc<Status>> = self.state().open.values().cloned().collect();
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

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection's entry in the registry, removed on drop.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    status: Arc<Status>,
    registry: ConnectionRegistry,
}

impl ConnectionEntry {
    /// Records what the actor does now.
    pub fn set(&self, activity: Activity) {
        self.status.activity.store(activity as u8, Relaxed);
    }

    /// Records what the actor does now and what it holds.
    pub fn update(&self, activity: Activity, open_requests: usize, buffered_bytes: usize, read_at: Instant) {
        self.set(activity);
        self.status.open_requests.store(open_requests, Relaxed);
        self.status.buffered_bytes.store(buffered_bytes, Relaxed);
        let read = read_at.saturating_duration_since(self.status.accepted_at);
        self.status.read_ms.store(read.as_millis() as u64, Relaxed);
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
        self.registry.state().open.remove(&self.status.id);
    }
}
