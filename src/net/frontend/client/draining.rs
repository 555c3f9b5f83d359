//! Effects of drains on a client actor: the signal that one begins or ends, what the connection may do under
//! it, and how long a write may stall. The rules are in [`crate::drain::connection`].

use super::answers::QueuedAnswer;
use super::limits::{DRAIN_WRITE_STALL_TIMEOUT, WRITE_STALL_TIMEOUT};
use super::{Client, ConnectionEnd};
use crate::drain::connection::{self, ConnectionState, DrainDecision, Permission};
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::context::ClientContext;
use crate::net::frontend::conversation::Conversation;
use bytes::BytesMut;
use std::future::pending;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Notified when a drain begins, and when the console ends one.
pub(super) struct DrainSignals(watch::Receiver<()>);

impl DrainSignals {
    /// Returns the signals of drains that begin or end from now on.
    pub fn of(context: &ClientContext) -> Self {
        Self(context.admin.drain_changes.subscribe())
    }

    /// Returns once a drain has begun or ended. Cancel safe.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            pending().await
        }
    }

    /// Returns once a drain is in force and the time that it leaves for the startup of a connection is over.
    pub async fn startup_deadline(&mut self, context: &ClientContext) {
        loop {
            match context.startup_deadline() {
                Some(deadline) => {
                    sleep_until(deadline).await;
                    if context.is_draining() {
                        return;
                    }
                }
                None => self.changed().await,
            }
        }
    }
}

impl<C: Conversation> Client<C> {
    /// Returns what the connection may do under the drains in force. `has_partial_message` says whether a
    /// part of a message was read.
    pub(super) fn drain_decision(&self, has_partial_message: bool) -> DrainDecision {
        if !self.context.is_draining() {
            return DrainDecision::OPEN;
        }
        let clock = self.context.clock;
        let state = ConnectionState {
            last_activity_at: clock.timestamp(self.state.last_activity_at),
            has_sent_request: self.state.has_sent_request,
            has_partial_message,
        };
        connection::decide(self.context.active_drains(), state, clock.now())
    }

    /// Returns whether a drain forbids reading anything further.
    pub(super) fn is_finishing(&self) -> bool {
        self.drain_decision(false).permission >= Permission::Finishing
    }

    /// Makes all answers due at once and ends the connection after them; statements that were read and do not
    /// fit into the pipeline are rejected. Called when answers are overdue under a drain and the client has
    /// sent more.
    pub(super) fn answer_now(&mut self) {
        if self.state.closing.is_none() {
            self.state.closing = Some(ConnectionEnd::Closed(CloseReason::Drained));
            let now = self.context.clock.now();
            self.pipeline.push_answer(QueuedAnswer::Bytes(BytesMut::new()), now);
        }
    }

    /// Returns the time at which a stalled write fails, if the last bytes were written at `last_progress_at`.
    pub(super) fn write_deadline(&self, last_progress_at: Instant) -> Instant {
        let clock = self.context.clock;
        let undrained = last_progress_at + WRITE_STALL_TIMEOUT;
        let last_progress_at = clock.timestamp(last_progress_at);
        let drains = self.context.active_drains();
        let drained = connection::write_deadline(drains, last_progress_at, DRAIN_WRITE_STALL_TIMEOUT);
        drained.map_or(undrained, |deadline| clock.instant(deadline).min(undrained))
    }
}
