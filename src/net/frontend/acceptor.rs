//! The accept loop: accepts connections, starts an actor for each, and ends after SIGTERM once all clients
//! have disconnected.

mod handover;

use super::admission::AdmissionControl;
use super::client;
use super::context::ClientContext;
use super::listeners::Listeners;
use crate::interface::RequestId;
use crate::net::clock::sleep_until_some;
use crate::net::local_faults;
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

pub(super) use handover::Redirection;

/// Pause in accepting after this machine has run out of file descriptors or buffers.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// A generator of request ids. Copies share the counter, so that no id is used twice.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestIds(Arc<AtomicU64>);

impl RequestIds {
    /// Returns an id that was not used before.
    pub fn next(&self) -> RequestId {
        RequestId(self.0.fetch_add(1, Relaxed))
    }
}

/// An event of the accept loop.
enum AcceptorEvent {
    /// A connection was accepted, or accepting has failed.
    Accepted(io::Result<(Protocol, TcpStream)>),
    /// The pause after a failed accept is over.
    BackoffElapsed,
    /// SIGTERM was received.
    ShutdownStarted,
    /// The next step of the listeners' handover is due.
    HandoverDue,
    /// The process may exit, and no client is connected.
    ExitDue,
}

/// Returns once the process may exit at `exit_at` and no client is connected; never if it is `None`.
async fn exit_due(exit_at: Option<Instant>, clients: &TaskTracker) {
    sleep_until_some(exit_at).await;
    clients.wait().await;
}

/// The accept loop and its state.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listeners: Listeners,
    context: ClientContext,
    admission: AdmissionControl,
    request_ids: RequestIds,
    /// The actors of clients. The memory of an actor's task is freed at its end: a task that had to be
    /// collected first would be kept for as long as connections come faster than the loop collects.
    clients: TaskTracker,
    /// Changes once, at SIGTERM.
    draining: watch::Receiver<Option<Instant>>,
    /// The end of a pause in accepting, after this machine has run out of file descriptors or buffers.
    backoff_until: Option<Instant>,
    /// The earliest exit, as the time after SIGTERM; `None` before SIGTERM.
    exit_after: Option<Duration>,
    /// Time at which the next step of the listeners' handover is due; `None` before SIGTERM, and once no
    /// listener is open.
    handover_due: Option<Instant>,
    /// Whether the listeners were polled once more after the exit became due.
    has_polled_before_exit: bool,
}

impl Acceptor {
    /// Returns an acceptor for `listeners`.
    pub fn new(listeners: Listeners, context: ClientContext) -> Self {
        let clients = TaskTracker::new();
        // Lets `wait` return as soon as no actor runs; actors can be started all the same.
        clients.close();
        Self {
            listeners,
            admission: AdmissionControl::new(context.clone()),
            request_ids: RequestIds::default(),
            clients,
            draining: context.draining.clone(),
            backoff_until: None,
            exit_after: None,
            handover_due: None,
            has_polled_before_exit: false,
            context,
        }
    }

    /// Accepts connections. Returns after SIGTERM, once all clients have disconnected and no new ones
    /// connect.
    pub async fn run(mut self) {
        loop {
            match self.next_event().await {
                AcceptorEvent::Accepted(Ok((protocol, stream))) => self.start_client(protocol, stream).await,
                AcceptorEvent::Accepted(Err(error)) => self.handle_accept_error(&error),
                AcceptorEvent::BackoffElapsed => self.backoff_until = None,
                AcceptorEvent::ShutdownStarted => {
                    self.exit_after =
                        self.context.shutdown().map(|(_, schedule)| schedule.earliest_exit_after);
                    self.handover_due = Some(Instant::now());
                }
                AcceptorEvent::HandoverDue => self.advance_handover().await,
                AcceptorEvent::ExitDue if self.has_polled_before_exit => {
                    self.advance_handover().await;
                    // A connection that was accepted during the handover has to be served.
                    if self.has_polled_before_exit && self.handover_continues_at().is_none() {
                        return;
                    }
                }
                AcceptorEvent::ExitDue => {
                    // The runtime may not have polled the listeners since the timer fired: yield, so that it
                    // does and connections that wait in their queues are accepted first.
                    self.has_polled_before_exit = true;
                    yield_now().await;
                }
            }
        }
    }

    /// Waits for the next event. Connections are accepted before the process exits, unless they keep coming
    /// when every connection has to be closed.
    ///
    /// Connections may come without a pause, so that accepting is always possible and uses up the task's
    /// cooperative budget in each poll. The events before it are therefore such as come once or after a pause;
    /// only the exit has to wait.
    async fn next_event(&mut self) -> AcceptorEvent {
        let exit_at = self.exit_at();
        let accepts = self.backoff_until.is_none() && !self.is_past_force_close();
        let Self { listeners, clients, draining, backoff_until, exit_after, handover_due, .. } = self;
        tokio::select! {
            biased;
            Ok(()) = draining.changed(), if exit_after.is_none() => AcceptorEvent::ShutdownStarted,
            () = sleep_until_some(*handover_due) => AcceptorEvent::HandoverDue,
            () = sleep_until_some(*backoff_until), if backoff_until.is_some() => {
                AcceptorEvent::BackoffElapsed
            }
            accepted = listeners.accept(), if accepts => AcceptorEvent::Accepted(accepted),
            () = exit_due(exit_at, clients) => AcceptorEvent::ExitDue,
        }
    }

    /// Returns whether a shutdown has reached the time by which every connection is closed.
    fn is_past_force_close(&self) -> bool {
        self.context
            .shutdown()
            .is_some_and(|(started_at, schedule)| started_at.elapsed() >= schedule.force_close_after)
    }

    /// Returns the time of the earliest exit, which is not before the next step of a handover in progress;
    /// `None` before SIGTERM.
    fn exit_at(&self) -> Option<Instant> {
        let exit_after = self.exit_after?;
        let (started_at, _) = self.context.shutdown()?;
        let exit_at = started_at + exit_after;
        Some(self.handover_continues_at().map_or(exit_at, |continues_at| exit_at.max(continues_at)))
    }

    /// Starts the actor of an accepted connection, if the connection is admitted.
    async fn start_client(&mut self, protocol: Protocol, stream: TcpStream) {
        self.has_polled_before_exit = false;
        self.context.counters.client_connected();
        self.delay_exit();
        let is_full = self.admission.is_full();
        self.admission.evict_if_few_slots_free();
        if let Some(admission) = self.admission.admit(protocol, stream.peer_addr().ok()) {
            let (context, request_ids) = (self.context.clone(), self.request_ids.clone());
            self.clients.spawn(client::serve(stream, protocol, context, request_ids, admission));
        }
        if is_full {
            // Evicted clients free their slots before the next connection is admitted.
            yield_now().await;
        }
    }

    /// Delays the exit after a connection was accepted, since further clients may follow.
    fn delay_exit(&mut self) {
        if let (Some(exit_after), Some((started_at, schedule))) =
            (&mut self.exit_after, self.context.shutdown())
        {
            *exit_after = schedule.exit_after_accept(*exit_after, started_at.elapsed());
        }
    }

    /// Pauses accepting if this machine has run out of file descriptors or buffers. Other errors concern a
    /// connection that failed before it was accepted: further connections may wait behind it (accept(2),
    /// "Error handling").
    fn handle_accept_error(&mut self, error: &io::Error) {
        if local_faults::is_exhausted(error) {
            self.context.rejections.record(RejectionReason::LocalResources, format_args!("accept: {error}"));
            self.admission.signal_pressure();
            self.backoff_until = Some(Instant::now() + ACCEPT_BACKOFF);
        } else {
            tracing::debug!(error = %error, "accept failed");
        }
    }
}
