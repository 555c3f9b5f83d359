//! What a client's actor waits for, while requests are open and while none is.

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
use std::future::pending;
use std::io;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::sync::{watch, Notify};
use tokio::task::yield_now;
use tokio::time::Instant;

/// What a client's actor does about bytes that arrive while requests are open.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// It reads them.
    Read,
    /// It leaves them in the socket, and waits for the client to end its side.
    WatchClose,
    /// It leaves them in the socket, and waits until there are some.
    WatchBytes,
}

/// What may end a connection while it has no request open.
pub(super) struct IdleSignals {
    /// Idle clients are asked to leave.
    connection_pressure: watch::Receiver<()>,
    /// Buffers have to be released.
    reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    /// The connection is evicted, until its first request.
    first_request_eviction: Option<Arc<Notify>>,
}

impl IdleSignals {
    /// Returns the signals of a connection whose session was opened now: earlier reclaims don't concern it.
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

/// Reads bytes, or waits for what the mode says. Returns how many bytes there are; 0 if the client has ended its side.
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

/// Returns once this is notified; never if there is none.
pub(super) async fn notified(notify: Option<&Notify>) {
    match notify {
        Some(notify) => notify.notified().await,
        None => pending().await,
    }
}

impl<C: Conversation> Client<C> {
    /// Waits for one event while requests are open, or while statements have to wait after an error.
    ///
    /// # Errors
    /// When the connection has broken.
    pub(super) async fn wait_for_answers(&mut self) -> Result<(), ConnectionEnd> {
        if !self.read_buffer.is_empty() {
            self.account_buffers()?;
        }
        self.note_partial_message();
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
            read = read_or_watch(socket, read_buffer, mode), if !self.state.is_peer_closed => match read {
                Ok(1..) if mode == ReadMode::WatchBytes => self.answer_now(),
                read => self.handle_read(read).await?,
            },
            () = cancelled(cancellation.as_ref()) => self.cancel_first_request().await,
            () = sleep_until_some(paused_until), if paused_until.is_some() => self.state.paused_until = None,
            () = sleep_until_some(message_deadline), if message_deadline.is_some() => self.fail_partial_message(),
            // What may be read depends on the drain.
            () = sleep_until_some(reevaluate_at), if reevaluate_at.is_some() => {}
            () = drains.changed() => {}
        }
        Ok(())
    }

    /// Waits for one event while no request is open.
    ///
    /// # Errors
    /// When the connection has broken, or has to end.
    pub(super) async fn wait_for_request(&mut self, signals: &mut IdleSignals) -> Result<(), ConnectionEnd> {
        signals.first_request_eviction.take_if(|_| self.state.has_sent_request);
        let has_partial = self.note_partial_message();
        let statement_deadline = self.state.statement_deadline();
        self.set_activity(if has_partial { Activity::Receiving } else { Activity::Idle });
        // What arrives at the drain's end may still be its first request, or the rest of one.
        let close_idle_at = self.drain_decision(has_partial).close_idle_at;
        let close_idle_at = close_idle_at.map(|time| self.context.clock.instant(time));
        let Self { socket, read_buffer, drains, .. } = self;
        tokio::select! {
            biased;
            read = socket.read_buf(read_buffer) => self.handle_read(read).await?,
            () = sleep_until_some(statement_deadline), if statement_deadline.is_some() => {
                self.handle_statement_deadline().await?;
            }
            () = notified(signals.first_request_eviction.as_deref()) => return Err(self.evict()),
            () = sleep_until_some(close_idle_at), if close_idle_at.is_some() => {
                // The time of a message that has begun is over, however much of it still arrives.
                if has_partial || !self.has_bytes_to_read() {
                    return Err(ConnectionEnd::Closed(CloseReason::Drained));
                }
                yield_now().await;
            }
            () = drains.changed() => {}
            Ok(()) = signals.reclaims.changed() => self.release_if_reclaimed(&signals.reclaims.borrow_and_update())?,
            Ok(()) = signals.connection_pressure.changed() => {
                if !has_partial && self.state.last_activity_at.elapsed() >= PRESSURE_IDLE_TIMEOUT {
                    return Err(ConnectionEnd::Closed(CloseReason::ConnectionPressure));
                }
            }
        }
        Ok(())
    }

    /// Returns whether bytes have arrived that are about to be read, for a connection that would be closed otherwise. They
    /// keep it open for [`MAX_UNREAD_TURNS`] only: a socket that holds bytes and gives none would keep this task from
    /// waiting.
    pub(super) fn has_bytes_to_read(&mut self) -> bool {
        self.state.unread_turns += 1;
        self.state.unread_turns <= MAX_UNREAD_TURNS && has_unread_bytes(&self.socket)
    }

    /// Fails the message that is not complete in time, or closes a connection whose first request hasn't come.
    async fn handle_statement_deadline(&mut self) -> Result<(), ConnectionEnd> {
        if self.state.partial_since.is_some() {
            self.fail_partial_message();
        } else if !self.has_bytes_to_read() {
            return Err(ConnectionEnd::Closed(CloseReason::FirstStatementTimeout));
        } else {
            yield_now().await;
        }
        Ok(())
    }

    /// Records the eviction of a connection without a request. Returns what it ends with.
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

    /// Notes when a message began that is not complete yet. Returns whether there is one.
    fn note_partial_message(&mut self) -> bool {
        let has_partial = self.conversation.has_partial_message(&self.read_buffer);
        if has_partial && self.takes_statements() {
            self.state.partial_since.get_or_insert_with(Instant::now);
        }
        has_partial
    }

    fn fail_partial_message(&mut self) {
        self.state.partial_since = None;
        self.close_with_fault(Fault::ProtocolViolation("a message did not come to its end".to_owned()));
    }

    /// Returns what to do about bytes that arrive. While the pipeline is full some are read ahead, to see the client leave
    /// early; after an error, once the connection is to end, and late in a drain none are read.
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
    /// When the connection has broken.
    async fn handle_read(&mut self, read: io::Result<usize>) -> Result<(), ConnectionEnd> {
        if read? == 0 {
            self.state.record_peer_closed();
            self.abandon_requests().await;
        } else {
            self.state.record_read(Instant::now());
            self.cancel_if_asked().await;
        }
        Ok(())
    }
}
