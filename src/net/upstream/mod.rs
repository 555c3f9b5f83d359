//! Actors of the hosts. Each owns the connections, attempts and health checks of one host.
//!
//! - `host_actor`: the actor, its mailbox and its tasks
//! - `attempt`, `health_check`: the work of the tasks
//! - `connector`: an idle connection or a new one
//! - `idle`: idle connections
//! - `connection`: one connection, for any protocol
//! - `exchange`: one query and its answer
//! - `dialect`, `postgres`, `tds`: the protocols
//! - `load_report`: parsing of a host's load report
//! - `large`: answers that are too long to be held in memory

mod attempt;
mod connection;
mod connector;
mod dialect;
mod exchange;
mod health_check;
mod host_actor;
mod idle;
mod large;
mod load_report;
mod postgres;
mod tds;

use super::answer_buffers::AnswerBuffers;
use super::memory::Memory;
use super::messages::Statement;
use super::rejections::Rejections;
use super::socket::PeerLiveness;
use crate::config::Config;
use crate::counters::Counters;
use crate::interface::{HostState, LoadReports, RequestId};
use crate::protocol::Protocol;
pub(crate) use host_actor::HostActor;
use large::LargeAnswers;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

/// The address that a host listens on, and the protocol that it speaks there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostAddress {
    pub address: SocketAddr,
    pub protocol: Protocol,
}

/// A message to a host's actor.
#[derive(Debug)]
pub(crate) enum Command {
    /// The endpoint list names the host.
    Listed { address: HostAddress, state: HostState },
    /// The endpoint list no longer names the host.
    Unlisted,
    /// Forwards a request.
    Attempt(Attempt),
    /// Cancels an attempt, even if its query is running. Ignored if the attempt has ended.
    Cancel { id: RequestId, attempt: u32 },
    /// Ends an attempt unless its query is completely written, so that the query never runs. Ignored if the
    /// attempt has ended.
    Withdraw { id: RequestId, attempt: u32 },
    /// Starts a health check.
    HealthCheck { sent_at: Instant },
    /// Closes the idle connections.
    CloseIdleConnections,
}

/// An attempt to make.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub id: RequestId,
    /// Index of the attempt among those of its request.
    pub attempt: u32,
    pub statement: Statement,
    /// The query is not written once the client has disconnected.
    pub client_liveness: PeerLiveness,
    /// Time at which the core actor sent it.
    pub sent_at: Instant,
    pub deadline: Instant,
    /// Time after which the query must not be written.
    pub write_by: Option<Instant>,
}

/// State that the actors of all hosts share: the limit of connections, settings and counters.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamContext {
    /// Permits for connections, one each.
    permits: Arc<Semaphore>,
    /// Signals all hosts to close their idle connections when permits are used up.
    release_idle: Arc<watch::Sender<()>>,
    connect_timeout: Duration,
    /// Time for which a connection may be idle.
    idle_timeout: Duration,
    /// Whether a health check asks for the load report.
    load_reports: bool,
    counters: Arc<Counters>,
    rejections: Rejections,
    large_answers: LargeAnswers,
    answer_buffers: AnswerBuffers,
    /// Whether an answer may be forwarded to its client before it is complete. False if the proxy checks
    /// answers for staleness, since the position that decides comes after the row.
    may_stream: bool,
}

impl UpstreamContext {
    /// Returns the context for these settings.
    pub fn new(config: &Config, counters: Arc<Counters>, rejections: Rejections, memory: &Memory) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(config.limits.upstream)),
            release_idle: Arc::new(watch::channel(()).0),
            connect_timeout: config.connect_timeout,
            idle_timeout: config.upstream_idle_timeout,
            load_reports: config.settings.load_reports != LoadReports::Off,
            counters,
            rejections,
            large_answers: LargeAnswers::new(memory.clone()),
            answer_buffers: AnswerBuffers::new(memory),
            may_stream: !config.settings.responses_verified,
        }
    }
}
