//! One attempt: connects, writes the query, reads the answer and determines the outcome.

use super::connection::{Connection, ConnectionStatus};
use super::connector::Connector;
use super::dialect::Query;
use super::exchange::Exchange;
use super::host_actor::TaskResult;
use super::large::{LargeRow, Slot};
use super::Attempt;
use crate::interface::{HostId, Outcome, TimeDelta};
use crate::net::messages::{AttemptEnd, CoreEvent, Transfer};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

/// Stops an attempt by cancelling or withdrawing it. Each has an effect only the first time.
#[derive(Debug)]
pub(super) struct StopHandle {
    cancel: Option<oneshot::Sender<()>>,
    withdraw: Option<oneshot::Sender<()>>,
}

/// Receiving side of a [`StopHandle`], held by the attempt.
#[derive(Debug)]
pub(super) struct StopSignals {
    cancelled: oneshot::Receiver<()>,
    withdrawn: oneshot::Receiver<()>,
}

impl StopHandle {
    /// Returns a handle and its receiving side.
    pub fn new() -> (Self, StopSignals) {
        let (cancel, cancelled) = oneshot::channel();
        let (withdraw, withdrawn) = oneshot::channel();
        (Self { cancel: Some(cancel), withdraw: Some(withdraw) }, StopSignals { cancelled, withdrawn })
    }

    /// Stops the attempt, even if its query is running.
    pub fn cancel(&mut self) {
        signal(&mut self.cancel);
    }

    /// Stops the attempt unless its query is completely written.
    pub fn withdraw(&mut self) {
        signal(&mut self.withdraw);
    }
}

fn signal(sender: &mut Option<oneshot::Sender<()>>) {
    if let Some(sender) = sender.take() {
        // Fails only if the attempt has ended.
        let _ = sender.send(());
    }
}

/// Reason why work on an attempt ended.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// The answer ended, or the connection failed after writing the query began.
    Answered(ConnectionStatus),
    /// Writing the query did not begin: its client has disconnected, or its time to be written has passed.
    NotWritten,
    /// No connection could be opened, or the attempt was stopped or timed out.
    Stopped(Outcome),
}

/// Runs an attempt until it ends, is stopped or reaches its deadline.
pub(super) async fn run(
    host: HostId,
    attempt: Attempt,
    connector: Connector,
    signals: StopSignals,
) -> TaskResult {
    let StopSignals { cancelled, withdrawn } = signals;
    let deadline = attempt.deadline;
    let is_written = AtomicBool::new(false);
    let withdrawn_unwritten = async {
        // A completely written query may be running: only a cancellation stops it.
        if withdrawn.await.is_err() || is_written.load(Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    let mut work = AttemptWork::new(attempt, connector);
    let ending = tokio::select! {
        biased;
        Ok(()) = cancelled => Ending::Stopped(Outcome::Cancelled),
        () = withdrawn_unwritten => Ending::Stopped(Outcome::NotSent),
        ending = work.run(&is_written) => ending,
        () = sleep_until(deadline) => Ending::Stopped(Outcome::Timeout),
    };
    work.finish(host, ending)
}

/// An attempt in progress.
#[derive(Debug)]
struct AttemptWork {
    attempt: Attempt,
    connector: Connector,
    connection: Option<Connection>,
    exchange: Exchange,
    /// Slot for forwarding a large row, once it is acquired.
    slot: Option<Slot>,
}

impl AttemptWork {
    fn new(attempt: Attempt, connector: Connector) -> Self {
        // A write's answer reports the commit's position after the row, and the session's next read needs
        // that position.
        let may_stream = connector.context.may_stream && attempt.statement.value_range.is_none();
        let exchange = Exchange::new(may_stream, connector.context.answer_buffers.clone());
        Self { attempt, connector, connection: None, exchange, slot: None }
    }

    async fn run(&mut self, is_written: &AtomicBool) -> Ending {
        let Self { attempt, connector, connection, exchange, slot } = self;
        let connection = match connector.connect(attempt.deadline).await {
            Ok(opened) => connection.insert(opened),
            Err(outcome) => return Ending::Stopped(outcome),
        };
        let buffers = &connector.context.answer_buffers;
        // Awaited before the checks below, so that they hold when the query is written.
        let query_permit = match connection.needs_buffer(&attempt.statement) {
            true => buffers.acquire().await,
            false => None,
        };
        let is_late = attempt.write_by.is_some_and(|write_by| Instant::now() > write_by);
        // The client may have just disconnected, and the core's command to withdraw may not have arrived yet.
        if is_late || attempt.client_liveness.has_closed().await {
            return Ending::NotWritten;
        }
        let context = &connector.context;
        let on_written = || {
            is_written.store(true, Relaxed);
            context.counters.attempt_written();
            drop(query_permit);
        };
        let timeout = attempt.deadline.saturating_duration_since(Instant::now());
        let query = Query::Statement(&attempt.statement, timeout);
        let status = connection.query(&query, exchange, on_written).await;
        if exchange.large_row_bytes.is_some() {
            // Nothing is read while this waits, so the rest of the answer stays with the host.
            *slot = context.large_answers.acquire().await;
        }
        Ending::Answered(status)
    }

    fn finish(self, host: HostId, ending: Ending) -> TaskResult {
        let latency = TimeDelta::from(self.attempt.sent_at.elapsed());
        let Self { attempt, mut connection, exchange, slot, .. } = self;
        let (written_at, position, role) = (exchange.written_at, exchange.position, exchange.role);
        let write_started_at = exchange.write_started_at;
        let is_role_missing = exchange.is_role_missing();
        let transfer = Transfer {
            connection_id: connection.as_ref().map(Connection::id),
            bytes_read: exchange.bytes_read,
        };
        let large_row = match (exchange.large_row_bytes, slot, ending) {
            (Some(bytes), Some(slot), Ending::Answered(ConnectionStatus::Reusable)) => {
                connection.take().map(|connection| LargeRow { connection, bytes, slot })
            }
            _ => None,
        };
        let (outcome, status) = match &large_row {
            Some(_) => (Outcome::Ok, ConnectionStatus::Unusable),
            None => determine_outcome(ending, &exchange),
        };
        // The answer is not searched for the role after a large row.
        let answer_lost = is_role_missing && large_row.is_none();
        let value = match large_row {
            Some(row) => Some(row.forward(exchange)),
            None => (outcome == Outcome::Ok).then(|| exchange.into_value()),
        };
        let end = AttemptEnd {
            id: attempt.id,
            attempt: attempt.attempt,
            host,
            outcome,
            latency,
            write_started_at,
            written_at,
            position,
            role,
            answer_lost,
            value,
            transfer,
        };
        TaskResult {
            connection: connection.filter(|_| status == ConnectionStatus::Reusable),
            event: CoreEvent::AttemptEnded(Box::new(end)),
        }
    }
}

/// Returns the outcome of an attempt that forwards no large row, and whether its connection can be reused.
fn determine_outcome(ending: Ending, exchange: &Exchange) -> (Outcome, ConnectionStatus) {
    use ConnectionStatus::{Reusable, Unusable};
    match ending {
        // The query has run, but there is no memory to forward its large row.
        Ending::Answered(_) if exchange.large_row_bytes.is_some() => (Outcome::Error, Unusable),
        Ending::Answered(status) => (exchange.outcome(), status),
        Ending::NotWritten => (Outcome::NotSent, Reusable),
        // A complete result counts even if the end of the answer did not arrive in time.
        Ending::Stopped(Outcome::Timeout) if exchange.has_result() => (exchange.outcome(), Unusable),
        // A host never executes an incomplete query.
        Ending::Stopped(Outcome::Timeout) if exchange.written_at.is_none() => {
            (Outcome::ConnectFailed, Unusable)
        }
        Ending::Stopped(Outcome::Cancelled) if exchange.written_at.is_none() => (Outcome::NotSent, Unusable),
        Ending::Stopped(outcome) => (outcome, Unusable),
    }
}
