//! Events that the router handles.

use super::endpoint::{EndpointEntry, EndpointUpdate, Role};
use super::freshness::LogPosition;
use super::id::{HostId, RequestId, SessionId};
use super::outcome::Outcome;
use super::session_write::SessionWrite;
use crate::time::TimeDelta;

/// A client's request on its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The replication group that holds its data.
    pub group: u32,
    /// Index of its tenant in [`Settings::tenant_quotas`](super::Settings::tenant_quotas).
    pub tenant: usize,
    /// Time between the commit of the session's last write and the arrival of the request; `None` if the
    /// client gives none.
    pub time_since_write: Option<TimeDelta>,
    /// Whether the client marked the request as its own retry of an earlier one.
    pub is_client_retry: bool,
    /// Time from the arrival until the client stops waiting for its answer.
    pub timeout: TimeDelta,
    /// The client's session, if the class has sessions.
    pub session: Option<SessionId>,
}

impl Request {
    /// Returns a first request of tenant 0 without a session, whose client waits `timeout_us` microseconds.
    pub fn new(id: RequestId, class: usize, group: u32, timeout_us: i64) -> Self {
        let timeout = TimeDelta(timeout_us);
        Self {
            id,
            class,
            group,
            tenant: 0,
            time_since_write: None,
            is_client_retry: false,
            timeout,
            session: None,
        }
    }
}

/// A host's report about itself, possibly some time old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Log position that the host had applied, if reported.
    pub position: Option<LogPosition>,
    /// Role of the host, if reported.
    pub role: Option<Role>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: u32,
    /// The host that the attempt was sent to.
    pub host: HostId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the send to the end.
    pub latency: TimeDelta,
    /// Whether the request has ended, with this attempt or earlier.
    pub request_closed: bool,
    /// Applied position that the response carries; for a write, the position of its commit.
    pub position: Option<LogPosition>,
    /// The host's role, if the response carries it.
    pub role: Option<Role>,
    /// Whether the query was written, but the part of the response that carries the host's role did not
    /// arrive.
    pub answer_lost: bool,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

/// An event, passed to the router together with the time at which it happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event of the endpoint list, with its entries.
    EndpointList(EndpointUpdate, Vec<EndpointEntry>),
    /// A client's request arrived; the client has to get exactly one final reply.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: Outcome,
        /// Time from the send to the end.
        latency: TimeDelta,
        /// The load report that came with the response.
        report: Option<LoadReport>,
    },
    /// The client of a request disconnected; the request needs no final reply.
    ClientDisconnected(RequestId),
    /// The response to a streamed request started; the attempt's timeout and the request's deadline no longer
    /// apply.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Index of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) with this token fired.
    Timer(u64),
    /// Another process of the same proxy tells of a session's write
    /// ([`Action::ShareWrite`](super::Action::ShareWrite)).
    WriteShared(SessionWrite),
    /// Writes that other processes of the same proxy took were missed; all were committed by this position.
    SharedWritesMissed(LogPosition),
    /// For this span from now on, another process of the same proxy may take writes of sessions without telling
    /// of them.
    UnsharedWrites(TimeDelta),
    /// A message from another router arrived.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// The encoded message.
        data: Vec<u8>,
    },
}
