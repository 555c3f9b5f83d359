//! The events that a client actor waits for, while requests are open and while none is.

use super::limits::{MAX_UNREAD_TURNS, PRESSURE_IDLE_TIMEOUT, READ_AHEAD_BYTES};
use super::{Activity, AdmittedConnection, Client, ConnectionEnd};
use crate::drain::connection::Permission;
use crate::net::clock::sleep_until_some;
use crate::net::frontend::cancel::cancelled;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::memory::Reclaim;
use crate::net::messages::ClientMessage;
use crate::net::socket::{has_unread_bytes, peer_closed, Socket};
use crate::rejection_reason::RejectionReason;
use bytes::BytesMut;
use std::future::{pending, ready};
use std::io;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::sync::{watch, Notify};
use tokio::task::yield_now;
use tokio::time::Instant;

/// Treatment of bytes that arrive while requests are open.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// Reads them.
    Read,
    /// Leaves them in the socket, and waits until the client closes its side.
    WatchClose,
    /// Leaves them in the socket, and waits until some arrive.
    WatchBytes,
}

/// The signals that may end a connection while no request is open.
pub(super) struct IdleSignals {
    /// Signals connection pressure: idle connections are closed.
    connection_pressure: watch::Receiver<()>,
    /// Client buffers that have to be released.
    reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    /// Signals the eviction of the connection; `None` after its first request.
    first_request_eviction: Option<Arc<Notify>>,
}

impl IdleSignals {
    /// Returns the signals for a session that was just opened. Reclaims that were published earlier don't
    /// concern it.
    pub fn of(admission: &mut AdmittedConnection) -> Self {
        let mut reclaims = admission.reclaims.clone();
        reclaims.mark_unchanged();
        Self {
            connection_pressure: admission.connection_pressure.clone(),
            reclaims,
            first_request_eviction: admission.first_request_eviction.take(),
        }
    }
}

/// Reads bytes, or waits, according to `mode`. Returns the number of bytes read or seen; 0 if the client has
/// closed its side.
async fn read_or_watch(socket: &mut Socket, read_buffer: &mut BytesMut, mode: ReadMode) -> io::Result<usize> {
    match mode {
        ReadMode::Read => socket.read_buf(read_buffer).await,
        ReadMode::WatchClose => {
            peer_closed(socket).await;
            Ok(0)
        }
        ReadMode::WatchBytes => socket.peek(&mut [0]).await,
    }
}

/// Returns once `notify` is notified; never if it is `None`.
pub(super) async fn notified(notify: Option<&Notify>) {
    match notify {
        Some(notify) => notify.notified().await,
        None => pending().await,
    }
}

impl<C: Conversation> Client<C> {
    /// Waits for one event while requests are open, or during the pause after an invalid statement.
    ///
    /// # Errors
    /// Returns an error if the connection has failed, or the memory budget has too little left.
    pub(super) async fn wait_for_answers(&mut self) -> Result<(), ConnectionEnd> {
        if !self.read_buffer.is_empty() {
            self.account_buffers()?;
        }
        self.record_partial_message();
        let message_deadline = self.state.partial_since.and(self.state.statement_deadline());
        let decision = self.drain_decision(false);
        let reevaluate_at = decision.reevaluate_at.map(|time| self.context.clock.instant(time));
        let mode = self.read_mode(decision.permission);
        let paused_until = self.state.paused_until;
        self.set_activity(if paused_until.is_some() { Activity::Paused } else { Activity::Answering });
        let Self { socket, read_buffer, mailbox, cancellation, drains, .. } = self;
        tokio::select! {
            biased;
            Some(ClientMessage::Answer(id, answer)) = mailbox.recv() => self.queue_answer(id, answer),
            result = read_or_watch(socket, read_buffer, mode), if !self.state.is_peer_closed => match result {
                Ok(1..) if mode == ReadMode::WatchBytes => self.answer_now(),
                result => self.handle_read(result).await?,
            },
            () = cancelled(cancellation.as_ref()) => self.cancel_first_request().await,
            () = sleep_until_some(paused_until), if paused_until.is_some() => self.state.paused_until = None,
            () = sleep_until_some(message_deadline), if message_deadline.is_some() => {
                self.fail_partial_message();
            }
            // The next call decides again what the drain permits.
            () = sleep_until_some(reevaluate_at), if reevaluate_at.is_some() => {}
            () = drains.changed() => {}
        }
        Ok(())
    }

    /// Waits for one event while no request is open.
    ///
    /// # Errors
    /// Returns an error if the connection has failed, or has to end.
    pub(super) async fn wait_for_request(&mut self, signals: &mut IdleSignals) -> Result<(), ConnectionEnd> {
        signals.first_request_eviction.take_if(|_| self.state.has_sent_request);
        let has_partial = self.record_partial_message();
        let statement_deadline = self.state.statement_deadline();
        if statement_deadline.is_some_and(|deadline| self.state.last_read_at >= deadline) {
            return self.handle_overdue_statement();
        }
        let may_read = !self.state.take_signal_turn();
        self.set_activity(if has_partial { Activity::Receiving } else { Activity::Idle });
        // The first request, or the rest of a message, may still arrive until this time.
        let close_idle_at = self.drain_decision(has_partial).close_idle_at;
        let close_idle_at = close_idle_at.map(|time| self.context.clock.instant(time));
        let Self { socket, read_buffer, drains, .. } = self;
        tokio::select! {
            biased;
            result = socket.read_buf(read_buffer), if may_read => self.handle_read(result).await?,
            () = sleep_until_some(statement_deadline), if statement_deadline.is_some() => {
                self.handle_statement_deadline().await?;
            }
            () = notified(signals.first_request_eviction.as_deref()) => return Err(self.evict()),
            () = sleep_until_some(close_idle_at), if close_idle_at.is_some() => {
                // An incomplete message is not waited for any longer, even if more bytes of it have arrived.
                if has_partial || !self.has_bytes_to_read() {
                    return Err(ConnectionEnd::Closed(CloseReason::Drained));
                }
                yield_now().await;
            }
            () = drains.changed() => {}
            Ok(()) = signals.reclaims.changed() => {
                self.release_if_reclaimed(&signals.reclaims.borrow_and_update())?;
            }
            Ok(()) = signals.connection_pressure.changed() => {
                if !has_partial && self.state.last_activity_at.elapsed() >= PRESSURE_IDLE_TIMEOUT {
                    return Err(ConnectionEnd::Closed(CloseReason::ConnectionPressure));
                }
            }
            () = ready(()), if !may_read => {}
        }
        Ok(())
    }

    /// Returns whether a connection that is due to be closed stays open because the socket has unread bytes.
    /// It stays open for [`MAX_UNREAD_TURNS`] turns only: a socket that reports bytes and returns none would
    /// otherwise keep this task busy forever.
    pub(super) fn has_bytes_to_read(&mut self) -> bool {
        self.state.unread_turns += 1;
        self.state.unread_turns <= MAX_UNREAD_TURNS && has_unread_bytes(&self.socket)
    }

    /// Handles a statement that is not complete in time, unless the socket has bytes that may complete it.
    async fn handle_statement_deadline(&mut self) -> Result<(), ConnectionEnd> {
        if self.state.partial_since.is_none() && self.has_bytes_to_read() {
            yield_now().await;
            return Ok(());
        }
        self.handle_overdue_statement()
    }

    /// Fails a message that is not complete in time, or closes a connection that has sent no request in time.
    fn handle_overdue_statement(&mut self) -> Result<(), ConnectionEnd> {
        if self.state.partial_since.is_none() {
            return Err(ConnectionEnd::Closed(CloseReason::FirstStatementTimeout));
        }
        self.fail_partial_message();
        Ok(())
    }

    /// Records the eviction of a connection without a request. Returns how the connection ends.
    fn evict(&self) -> ConnectionEnd {
        self.context
            .rejections
            .record(RejectionReason::NoConnectionSlot, "a new connection without a request was evicted");
        ConnectionEnd::Evicted(Fault::Rejected(self.context.retry_after()))
    }

    /// Ends the connection if it has to release its buffers.
    fn release_if_reclaimed(&self, reclaims: &[Arc<Reclaim>]) -> Result<(), ConnectionEnd> {
        let bytes = self.admission.buffers.bytes();
        if reclaims.iter().any(|reclaim| reclaim.claim(self.account, bytes)) {
            return Err(Fault::Rejected(self.context.retry_after()).into());
        }
        Ok(())
    }

    /// Records when an incomplete message began. Returns whether there is one.
    fn record_partial_message(&mut self) -> bool {
        let has_partial = self.conversation.has_partial_message(&self.read_buffer);
        if has_partial && self.takes_statements() {
            self.state.partial_since.get_or_insert_with(Instant::now);
        }
        has_partial
    }

    /// Ends the connection with an error for a message that was not complete in time.
    fn fail_partial_message(&mut self) {
        self.state.partial_since = None;
        self.close_with_fault(Fault::ProtocolViolation("a message did not come to its end".to_owned()));
    }

    /// Returns how bytes that arrive are treated. While the pipeline is full, up to [`READ_AHEAD_BYTES`] are
    /// read ahead, so that the end of the client's side is seen early. None are read during a pause after an
    /// invalid statement, once the connection is about to end, and late in a drain.
    fn read_mode(&self, permission: Permission) -> ReadMode {
        if permission == Permission::Overdue && self.state.closing.is_none() {
            return ReadMode::WatchBytes;
        }
        let may_read = permission == Permission::Open && self.state.takes_statements();
        let has_capacity = self.pipeline.has_capacity() || self.read_buffer.len() < READ_AHEAD_BYTES;
        if may_read && has_capacity {
            ReadMode::Read
        } else {
            ReadMode::WatchClose
        }
    }

    /// Handles the result of a read: more bytes, or the end of the client's side.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    async fn handle_read(&mut self, result: io::Result<usize>) -> Result<(), ConnectionEnd> {
        if result? == 0 {
            self.state.record_peer_closed();
            self.withdraw_requests().await;
        } else {
            self.state.record_read(Instant::now());
            self.cancel_if_requested().await;
        }
        Ok(())
    }
}
