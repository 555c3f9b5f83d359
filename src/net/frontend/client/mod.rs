//! The actor of a client connection, whatever protocol the client speaks. It owns the connection's slot, its
//! timeouts and the requests that have no answer yet; the [`Conversation`] decodes and encodes messages.
//!
//! | file | content |
//! | --- | --- |
//! | `mod.rs` | the actor and its loop |
//! | `state.rs`, `limits.rs` | the connection's times and flags; constants of its timeouts and sizes |
//! | `startup.rs` | the startup, up to the open session |
//! | `statements.rs` | decoding of statements into the pipeline |
//! | `dispatch.rs` | start and withdrawal of requests at the core actor |
//! | `answers.rs` | answers to the client, in the order of requests |
//! | `waiting.rs` | the events that the actor waits for |
//! | `draining.rs` | effects of a drain on the connection |
//! | `buffers.rs`, `output.rs` | memory accounting of buffers; writes to the socket |
//! | `end.rs` | the end of the connection: its reason, the error for the client, the close |

mod answers;
mod buffers;
mod dispatch;
mod draining;
mod end;
mod limits;
mod output;
mod startup;
mod state;
mod statements;
mod waiting;

use super::acceptor::RequestIds;
use super::admission::ClientSlot;
use super::cancel::{CancelKey, Registration};
use super::close_reason::CloseReason;
use super::connection_registry::{Activity, ConnectionEntry};
use super::context::ClientContext;
use super::conversation::Conversation;
use super::fault::Fault;
use super::postgres::Postgres;
use super::tds::Tds;
use crate::budget::{AccountId, Reservation};
use crate::interface::RequestId;
use crate::net::memory::Reclaim;
use crate::net::messages::ClientMessage;
use crate::net::socket::Socket;
use crate::pipeline::{Pipeline, PipelineLimits};
use crate::protocol::Protocol;
use answers::QueuedAnswer;
use bytes::BytesMut;
use dispatch::PendingRequest;
use draining::DrainSignals;
use end::ConnectionEnd;
use limits::INITIAL_CAPACITY;
use state::ClientState;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;
use waiting::IdleSignals;

/// The resources and signals of an admitted connection.
#[derive(Debug)]
pub(super) struct AdmittedConnection {
    /// The connection's slot, freed when the connection ends.
    pub slot: ClientSlot,
    /// Notified if the connection is evicted during its startup; dropped afterwards.
    pub startup_eviction: Option<Arc<Notify>>,
    /// Notified if the connection is evicted before its first request; dropped afterwards.
    pub first_request_eviction: Option<Arc<Notify>>,
    /// The memory reservation of the connection itself.
    pub _connection: Reservation,
    /// The memory reservation of its buffers.
    pub buffers: Reservation,
    /// Its entry in the registry of open connections.
    pub entry: ConnectionEntry,
    /// Client buffers that have to be released.
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    /// Signalled under connection pressure, when idle connections are closed.
    pub connection_pressure: watch::Receiver<()>,
}

/// The actor of one client connection.
struct Client<C> {
    socket: Socket,
    conversation: C,
    context: ClientContext,
    request_ids: RequestIds,
    /// Receives answers from the core actor.
    mailbox: mpsc::Receiver<ClientMessage>,
    /// The sending half of `mailbox`, for the core actor.
    answer_sender: mpsc::Sender<ClientMessage>,
    read_buffer: BytesMut,
    write_buffer: BytesMut,
    /// Requests whose answers are not written yet.
    pipeline: Pipeline<PendingRequest, QueuedAnswer>,
    /// Memory reservations for the answers to requests that run behind others.
    answer_reservations: HashMap<RequestId, Reservation>,
    state: ClientState,
    admission: AdmittedConnection,
    /// The memory account of the buffers: the one of unidentified clients until the client sends a request,
    /// then the one of the latest request's class and tenant.
    account: AccountId,
    /// Notified when a drain begins or ends.
    drains: DrainSignals,
    /// The registration of the key with which requests can be cancelled from another connection.
    cancellation: Option<Registration>,
}

/// Serves a client until its connection ends.
pub(super) async fn serve(
    stream: TcpStream,
    protocol: Protocol,
    context: ClientContext,
    request_ids: RequestIds,
    admission: AdmittedConnection,
) {
    let _ = stream.set_nodelay(true);
    match protocol {
        Protocol::Postgres => {
            let cancellation = context.cancellations.register();
            let key = cancellation.as_ref().map_or(CancelKey::NONE, |registration| registration.key);
            let client = Client::new(stream, Postgres::new(key), context, request_ids, admission);
            Client { cancellation, ..client }.run().await;
        }
        Protocol::Tds => Client::new(stream, Tds::new(), context, request_ids, admission).run().await,
    }
}

impl<C: Conversation> Client<C> {
    fn new(
        stream: TcpStream,
        conversation: C,
        context: ClientContext,
        request_ids: RequestIds,
        admission: AdmittedConnection,
    ) -> Self {
        let limits =
            if conversation.is_pipelined() { context.pipeline_limits } else { PipelineLimits::SEQUENTIAL };
        // Capacity for an answer to each running request, and to each that was cancelled or withdrawn in the
        // meantime.
        let (answer_sender, mailbox) = mpsc::channel(2 * limits.max_running);
        let is_over_limit = admission.slot.taken() > context.max_clients;
        Self {
            socket: stream.into(),
            conversation,
            request_ids,
            mailbox,
            answer_sender,
            read_buffer: BytesMut::with_capacity(INITIAL_CAPACITY),
            write_buffer: BytesMut::with_capacity(INITIAL_CAPACITY),
            pipeline: Pipeline::new(limits),
            answer_reservations: HashMap::new(),
            state: ClientState::new(Instant::now(), is_over_limit),
            admission,
            account: context.memory.unidentified_clients(),
            drains: DrainSignals::of(&context),
            cancellation: None,
            context,
        }
    }

    /// Serves the client from its startup to its end.
    async fn run(mut self) {
        let end = match self.open_session().await {
            Ok(()) => self.serve_requests().await,
            Err(end) => end,
        };
        self.withdraw_requests().await;
        self.close(end).await;
    }

    /// Serves requests. Returns the reason why the connection ends.
    async fn serve_requests(&mut self) -> ConnectionEnd {
        let mut signals = IdleSignals::of(&mut self.admission);
        loop {
            if let Err(end) = self.serve_next(&mut signals).await {
                return end;
            }
        }
    }

    /// Handles everything that needs no waiting, then waits for one event.
    ///
    /// # Errors
    /// Returns an error if the connection ends. No connection is closed or evicted on purpose while requests
    /// are unanswered or bytes that the client has sent are unread.
    async fn serve_next(&mut self, signals: &mut IdleSignals) -> Result<(), ConnectionEnd> {
        self.advance().await?;
        if self.pipeline.is_empty() {
            if let Some(end) = self.state.closing.take() {
                return Err(end);
            }
        }
        if self.state.is_first_request_overdue(Instant::now()) {
            // What was read before is answered; a pause does not delay the end.
            self.state.closing = Some(ConnectionEnd::Closed(CloseReason::FirstStatementTimeout));
            return Ok(());
        }
        if !self.pipeline.is_empty() || self.state.paused_until.is_some() {
            return self.wait_for_answers().await;
        }
        if let Some(reason) = self.idle_close_reason() {
            return Err(ConnectionEnd::Closed(reason));
        }
        self.account_buffers()?;
        self.wait_for_request(signals).await
    }

    /// Returns the reason why a connection without open requests is closed, if it is.
    fn idle_close_reason(&self) -> Option<CloseReason> {
        if self.state.is_peer_closed {
            Some(CloseReason::ClientLeft)
        } else if self.is_rejected_over_limit() && self.state.has_sent_request {
            Some(CloseReason::OverLimit)
        } else if self.is_finishing() {
            // A client that sends without pause is never idle. Everything that was read is answered; the
            // client repeats the rest on another connection.
            Some(CloseReason::Drained)
        } else {
            None
        }
    }

    /// Decodes statements, starts the requests that may run and writes the answers that are next in order,
    /// until nothing more can be done without another event.
    ///
    /// # Errors
    /// Returns an error if the connection has failed, or the core actor has ended.
    async fn advance(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            self.decode_statements();
            self.start_requests().await?;
            self.report_shortened_deadlines().await?;
            let has_written = self.write_answers().await?;
            if !has_written || (self.read_buffer.is_empty() && self.pipeline.is_empty()) {
                return Ok(());
            }
        }
    }

    /// Returns whether requests are rejected: when the connection was accepted all slots were taken, and they
    /// still are.
    fn is_rejected_over_limit(&self) -> bool {
        self.state.is_over_limit && self.admission.slot.taken() > self.context.max_clients
    }

    /// Counts and logs a rejection that was decided by this actor.
    fn record_rejection(&self, fault: &Fault) {
        if let Some(reason) = fault.reason() {
            self.context.rejections.record(reason, fault.text());
        }
    }

    /// Records the current activity for the log.
    fn set_activity(&self, activity: Activity) {
        let (open_requests, buffered_bytes) = (self.pipeline.len(), self.read_buffer.len());
        self.admission.entry.update(activity, open_requests, buffered_bytes, self.state.last_read_at);
    }
}
