//! What a client's actor waits for, while requests are open and while none is.

use super::{Activity, Client, Over, FIRST, IDLE, PARTIAL, READ_AHEAD};
use crate::drain::connection::Permission;
use crate::interface::RequestId;
use crate::net::frontend::cancel::cancelled;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::memory::Reclaim;
use crate::net::messages::ClientMessage;
use crate::net::socket::Socket;
use crate::net::socket::{has_unread_bytes, peer_closed};
use crate::rejection_reason::RejectionReason;
use bytes::BytesMut;
use std::io;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::sync::{watch, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// What a client's actor does about bytes that come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Intake {
    /// It reads them.
    Read,
    /// It leaves them in the socket, but sees its client leave.
    Watch,
    /// It leaves them in the socket, but sees that there are some.
    Notice,
}

/// What may end a connection, or what its end depends on, while it has no request open.
pub(super) struct Signals {
    pub connection_pressure: watch::Receiver<()>,
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    pub idle_new_connection: Option<Arc<Notify>>,
}

/// Reads what comes, or waits for the client to leave.
async fn take_in(stream: &mut Socket, read: &mut BytesMut, intake: Intake) -> io::Result<usize> {
    match intake {
        Intake::Read => stream.read_buf(read).await,
        Intake::Watch => {
            peer_closed(stream).await;
            Ok(0)
        }
        Intake::Notice => stream.peek(&mut [0]).await,
    }
}

/// Returns at that moment, and never where there is none. A timer is set only once this is waited for.
async fn reached(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

/// Returns once somebody is notified, and never where there is nobody to be.
pub(super) async fn notified(notify: Option<&Notify>) {
    match notify {
        Some(notify) => notify.notified().await,
        None => std::future::pending().await,
    }
}

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// Waits while requests are open, or while statements have to wait after an error.
    ///
    /// # Errors
    /// When the connection has broken.
    pub(super) async fn wait_for_answers(&mut self) -> Result<(), Over> {
        if !self.read.is_empty() {
            self.account_buffers()?;
        }
        self.note_partial();
        let late = self.partial.and(self.partial_by());
        let verdict = self.verdict(false);
        let until = verdict.until.map(|until| self.acceptor.clock.instant(until));
        let (intake, paused) = (self.intake(verdict.permission), self.paused);
        self.describe(if paused.is_some() { Activity::Paused } else { Activity::Answering });
        let Self { stream, read, mailbox, registration, drains, .. } = self;
        tokio::select! {
            biased;
            Some(ClientMessage::Answer(id, answer)) = mailbox.recv() => self.take_answer(id, answer),
            read = take_in(stream, read, intake), if !self.ended => match read {
                Ok(1..) if intake == Intake::Notice => self.finish_now(),
                read => self.take_bytes(read).await?,
            },
            () = cancelled(registration.as_ref()) => self.cancel_first().await,
            () = reached(paused), if paused.is_some() => self.paused = None,
            () = reached(late), if late.is_some() => self.fail_partial(),
            // What may be read depends on the drain.
            () = reached(until), if until.is_some() => {}
            () = drains.changed() => {}
        }
        Ok(())
    }

    /// Waits while no request is open.
    ///
    /// # Errors
    /// When the connection has broken, or has to end.
    pub(super) async fn wait_for_request(&mut self, signals: &mut Signals) -> Result<(), Over> {
        signals.idle_new_connection.take_if(|_| self.asked);
        let begun = self.note_partial();
        let late = self.partial_by();
        self.describe(if begun { Activity::Receiving } else { Activity::Idle });
        // What comes at the drain's end may still bring its first request, or the rest of one.
        let closes = self.verdict(begun).closes.map(|closes| self.acceptor.clock.instant(closes));
        let Self { stream, read, drains, .. } = self;
        tokio::select! {
            biased;
            read = stream.read_buf(read) => self.take_bytes(read).await?,
            () = reached(late), if late.is_some() => {
                if self.partial.is_some() {
                    self.fail_partial();
                } else if !has_unread_bytes(&self.stream) {
                    return Err(Over::Closed(CloseReason::FirstStatementTimeout));
                } else {
                    yield_now().await;
                }
            }
            () = notified(signals.idle_new_connection.as_deref()) => {
                self.acceptor.rejections.record(RejectionReason::Seat, "a new connection that asked for nothing made room");
                return Err(Over::Seat(Fault::Refused(self.acceptor.retry_after())));
            }
            () = reached(closes), if closes.is_some() => {
                // Once it has begun something its time is over, however much still comes.
                if begun || !has_unread_bytes(&self.stream) {
                    return Err(Over::Closed(CloseReason::Drained));
                }
                yield_now().await;
            }
            () = drains.changed() => {}
            Ok(()) = signals.reclaims.changed() => {
                let (account, held) = (self.account, self.admission.buffers.bytes());
                let reclaims = signals.reclaims.borrow_and_update();
                if reclaims.iter().any(|reclaim| reclaim.claims(account, held)) {
                    return Err(Fault::Refused(self.acceptor.retry_after()).into());
                }
            }
            Ok(()) = signals.connection_pressure.changed() => {
                if !begun && self.quiet.elapsed() >= IDLE {
                    return Err(Over::Closed(CloseReason::ConnectionPressure));
                }
            }
        }
        Ok(())
    }

    /// Notes when a message began that is not whole yet; whether there is one.
    fn note_partial(&mut self) -> bool {
        let begun = self.conversation.begun(&self.read);
        if begun && self.takes_statements() {
            self.partial.get_or_insert_with(Instant::now);
        }
        begun
    }

    fn fail_partial(&mut self) {
        self.partial = None;
        self.fail(Fault::Broken("a message did not come to its end".to_owned()));
    }

    /// Whether bytes are to be read. While the pipeline is full some are read ahead, to see the client leave early; after an
    /// error, once the connection is to end and late in a drain, none are.
    fn intake(&self, permission: Permission) -> Intake {
        if permission == Permission::Overdue && self.closing.is_none() {
            return Intake::Notice;
        }
        let is_open = permission == Permission::Open && self.closing.is_none();
        let may_read = is_open && self.paused.is_none();
        let is_wanted = self.pipeline.has_room() || self.read.len() < READ_AHEAD;
        if may_read && is_wanted {
            Intake::Read
        } else {
            Intake::Watch
        }
    }

    /// When the next whole statement has to have come, if it has to at all: one that has begun, or the first one.
    fn partial_by(&self) -> Option<Instant> {
        if self.closing.is_some() {
            return None;
        }
        match self.partial {
            Some(since) => Some(if self.asked { since } else { self.came } + PARTIAL),
            None => (!self.asked).then_some(self.came + FIRST),
        }
    }

    /// Takes in what a read has brought.
    ///
    /// # Errors
    /// When the connection has broken.
    async fn take_bytes(&mut self, read: io::Result<usize>) -> Result<(), Over> {
        match read? {
            0 => {
                self.ended = true;
                // Nothing more of it is held back.
                self.paused = None;
                self.abandon().await;
            }
            _ => {
                self.quiet = Instant::now();
                self.read_at = self.quiet;
                self.look_for_cancel().await;
            }
        }
        Ok(())
    }
}
