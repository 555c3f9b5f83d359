//! The idle connections of a host.

use super::connection::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a connection stays idle after an answer before it is reused. Bytes that a host wrote beyond
/// that answer have arrived by then and show that the connection is unusable; otherwise they would be read as
/// the next query's answer.
const REUSE_DELAY: Duration = Duration::from_millis(3);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections, the longest idle first. The most recently used one is reused first, so that surplus
/// connections reach the idle timeout.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: VecDeque<IdleConnection>,
}

impl IdleConnections {
    /// Adds a connection whose answer has just ended.
    pub fn add(&mut self, connection: Connection) {
        self.connections.push_back(IdleConnection { connection, since: Instant::now() });
    }

    /// Removes and returns a connection that is still open and has been idle for [`REUSE_DELAY`]; `None` if
    /// there is none. Closes connections that it finds unusable.
    pub fn take(&mut self) -> Option<Connection> {
        let idle_since = Instant::now() - REUSE_DELAY;
        let reusable = self.connections.partition_point(|idle| idle.since <= idle_since);
        for index in (0..reusable).rev() {
            let idle = self.connections.remove(index)?;
            if idle.connection.is_open_and_silent() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns the time at which the longest idle connection reaches `idle_timeout`; `None` if no connection
    /// is idle.
    pub fn next_expiry(&self, idle_timeout: Duration) -> Option<Instant> {
        self.connections.front().map(|idle| idle.since + idle_timeout)
    }

    /// Closes the longest idle connection.
    pub fn close_oldest(&mut self) {
        self.connections.pop_front();
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }
}
