//! Limits on the pipeline of one connection.

/// Maximum number of requests of one connection that run at the same time, so that one connection does not
/// use the capacity of all others at the hosts.
const MAX_RUNNING: usize = 16;
/// Entries that a pipeline may hold for each request that may run. The deadline of a request that waits in
/// the pipeline is enforced and the request is answered; neither holds for a request that is left unread in
/// the socket.
const ENTRIES_PER_RUNNING: usize = 4;

/// Limits on the pipeline of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Maximum number of requests and answers in the pipeline.
    pub max_entries: usize,
    /// Maximum number of requests that run at the same time.
    pub max_running: usize,
    /// Size of waiting requests in bytes at which no further request is read.
    pub max_waiting_bytes: usize,
}

impl PipelineLimits {
    /// Limits for a protocol that serves one request at a time.
    pub const SEQUENTIAL: Self = Self { max_entries: 1, max_running: 1, max_waiting_bytes: usize::MAX };

    /// Returns the limits for each of up to `max_connections` connections to a proxy that has at most
    /// `max_in_flight_requests` requests in flight.
    pub fn per_connection(
        max_in_flight_requests: usize,
        max_connections: usize,
        max_waiting_bytes: usize,
    ) -> Self {
        let max_running = (max_in_flight_requests / max_connections.max(1)).clamp(1, MAX_RUNNING);
        Self { max_entries: max_running * ENTRIES_PER_RUNNING, max_running, max_waiting_bytes }
    }
}
