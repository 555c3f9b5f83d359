//! The idle connections of a host.

use super::connection::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests after an answer before it is used again. Whatever a host wrote beyond that answer has
/// arrived by then and shows that the connection is unusable; it would be read as the next query's answer otherwise.
const REUSE_DELAY: Duration = Duration::from_millis(3);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections, the longest idle first. The most recently used are taken first, so that those beyond the need retire.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: VecDeque<IdleConnection>,
}

impl IdleConnections {
    /// Adds a connection whose answer has just ended.
    pub fn add(&mut self, connection: Connection) {
        self.connections.push_back(IdleConnection { connection, since: Instant::now() });
    }

    /// Takes a connection that is still open; none if there is none that has rested for [`REUSE_DELAY`]. Closes those that
    /// are found unusable.
    pub fn take(&mut self) -> Option<Connection> {
        let rested_since = Instant::now() - REUSE_DELAY;
        let rested = self.connections.partition_point(|idle| idle.since <= rested_since);
        for index in (0..rested).rev() {
            let idle = self.connections.remove(index)?;
            if idle.connection.is_open_and_silent() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns when the longest idle connection has been idle for `idle_timeout`; none if there is none.
    pub fn next_expiry(&self, idle_timeout: Duration) -> Option<Instant> {
        self.connections.front().map(|idle| idle.since + idle_timeout)
    }

    /// Closes the longest idle connection.
    pub fn close_oldest(&mut self) {
        self.connections.pop_front();
    }

    /// Closes all.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }
}
