//! How much one connection may have in its pipeline.

/// The most requests of one connection that run at the same time, so that one connection doesn't take the capacity of all
/// others at the hosts.
const MAX_RUNNING: usize = 16;
/// Requests that may be read ahead for each one that may run. A request that waits in the pipeline has its deadline and its
/// answer; one that is left in the socket has neither.
const ENTRIES_PER_RUNNING: usize = 4;

/// Bounds of one connection's pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineLimits {
    /// The most requests and answers in the pipeline.
    pub max_entries: usize,
    /// The most requests that run at the same time.
    pub max_running: usize,
    /// Bytes of requests that wait to run: once they are reached no further request is read.
    pub max_waiting_bytes: usize,
}

impl PipelineLimits {
    /// The limits of a protocol that takes one request at a time.
    pub const SEQUENTIAL: Self = Self { max_entries: 1, max_running: 1, max_waiting_bytes: usize::MAX };

    /// Returns the limits of one of `max_connections` connections to a proxy that has at most `max_in_flight_requests`
    /// requests at once.
    pub fn per_connection(
        max_in_flight_requests: usize,
        max_connections: usize,
        max_waiting_bytes: usize,
    ) -> Self {
        let max_running = (max_in_flight_requests / max_connections.max(1)).clamp(1, MAX_RUNNING);
        Self { max_entries: max_running * ENTRIES_PER_RUNNING, max_running, max_waiting_bytes }
    }
}
