//! Commands that the router returns to its caller.

use super::freshness::ReadRequirement;
use super::id::{HostId, RequestId};
use super::session_write::SessionWrite;
use crate::time::{TimeDelta, Timestamp};

/// A command to the caller, to be executed at the time of the event that caused it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forwards a request to a host: its next attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// Timeout of the attempt; `None` if only the client's deadline limits it.
        timeout: Option<TimeDelta>,
        /// Required freshness of the response, where the caller verifies responses.
        requirement: ReadRequirement,
        /// Latest time at which the request may be written: after it, nothing shows that the host's data is
        /// recent enough. `None` if there is no limit.
        write_by: Option<Timestamp>,
    },
    /// Ends a request whose client may safely retry it: it was not executed, or repeating it has no further
    /// effect.
    Reject {
        /// The request.
        id: RequestId,
        /// Time that the client should wait before it retries, if any is given.
        retry_after: Option<TimeDelta>,
    },
    /// Ends a request that may have been executed and is not safe to retry.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancels an attempt; the host may have executed its request.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Index of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Withdraws an attempt, unless its request has been written completely.
    WithdrawAttempt {
        /// The request.
        id: RequestId,
        /// Index of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Starts a health check, whose end [`Event::HealthChecked`](super::Event::HealthChecked) reports.
    HealthCheck {
        /// The host.
        host: HostId,
    },
    /// Sets a timer, which fires as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// When the timer fires.
        at: Timestamp,
        /// Token that the event carries.
        token: u64,
    },
    /// Closes idle connections to a host.
    CloseIdleConnections {
        /// The host.
        host: HostId,
    },
    /// Tells the other processes of the same proxy of a session's write, before any action that follows and
    /// before the write's client is answered.
    ShareWrite(SessionWrite),
    /// Starts (`true`) or stops (`false`) watching the endpoint list.
    WatchEndpoints(bool),
    /// Fetches the complete endpoint list once.
    FetchEndpoints,
    /// Writes a line to the log.
    Log(String),
}
