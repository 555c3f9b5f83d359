//! Requests to the core actor: their start, shortened deadlines, and their withdrawal.

use super::answers::QueuedAnswer;
use super::{Client, ConnectionEnd};
use crate::interface::RequestId;
use crate::net::frontend::cancel::cancelled;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::messages::{Arrival, CoreEvent, Request};
use crate::net::socket::{is_ready, peer_closed};
use crate::pipeline::StartedRequest;
use tokio::time::Instant;

/// A request that was read and not sent to the core actor.
pub(super) struct PendingRequest {
    /// The request itself.
    pub request: Request,
    /// When its last byte was read.
    pub arrived_at: Instant,
}

impl<C: Conversation> Client<C> {
    /// Sends the requests that may run to the core actor.
    ///
    /// # Errors
    /// When the core actor has ended, or the client breaks the protocol.
    pub(super) async fn start_requests(&mut self) -> Result<(), ConnectionEnd> {
        if self.pipeline.waiting_bytes() == 0 {
            return Ok(());
        }
        // The client may have left while the previous answer was written, when nothing was read.
        if is_ready(peer_closed(&self.socket)).await {
            self.state.is_peer_closed = true;
            self.abandon_requests().await;
            return Ok(());
        }
        if self.pipeline.running() == 0 {
            // Consumes a cancellation that came after the end of the request it was meant for.
            is_ready(cancelled(self.cancellation.as_ref())).await;
        }
        if !self.conversation.is_pipelined()
            && self.conversation.take_cancellation(&mut self.read_buffer, &mut self.write_buffer)?
        {
            // Cancelled before it was started: no request is running.
            drop(self.pipeline.cancel_all());
        }
        while let Some(started) = self.pipeline.start_next() {
            if !self.start_request(started).await? {
                break;
            }
        }
        Ok(())
    }

    /// Sends one request to the core actor. Returns whether there was memory for its answer.
    async fn start_request(
        &mut self,
        started: StartedRequest<PendingRequest>,
    ) -> Result<bool, ConnectionEnd> {
        let StartedRequest { id, is_behind_others, effective_deadline, request: pending } = started;
        let PendingRequest { mut request, arrived_at } = pending;
        if is_behind_others {
            match self.context.memory.reserve_pending_answer(request.class, request.tenant) {
                Ok(reservation) => self.answer_reservations.insert(id, reservation),
                Err(_) => {
                    self.pipeline.requeue(id, PendingRequest { request, arrived_at });
                    return Ok(false);
                }
            };
            self.context.counters.request_pipelined();
        }
        if let Some(due_at) = self.context.answers_due_at() {
            request.timeout = request.timeout.min(due_at.saturating_duration_since(arrived_at));
        }
        let arrival = Arrival {
            id,
            request,
            arrived_at,
            reply_due: self.context.clock.instant(effective_deadline),
            client: self.address.clone(),
            client_liveness: self.socket.liveness(),
        };
        self.send(CoreEvent::RequestArrived(Box::new(arrival))).await?;
        Ok(true)
    }

    /// Tells the core actor of answers that are due earlier than it knows.
    ///
    /// # Errors
    /// When the core actor has ended.
    pub(super) async fn report_shortened_deadlines(&mut self) -> Result<(), ConnectionEnd> {
        for shortened in self.pipeline.take_shortened_deadlines() {
            let reply_due = self.context.clock.instant(shortened.effective_deadline);
            self.send(CoreEvent::DeadlineShortened { id: shortened.id, reply_due }).await?;
        }
        Ok(())
    }

    /// Withdraws all requests, since the client has left.
    pub(super) async fn abandon_requests(&mut self) {
        for id in self.pipeline.abandon(|| QueuedAnswer::Fault(Fault::ClientLeft)) {
            self.withdraw(id).await;
        }
    }

    /// Cancels the request whose answer is next, as the client has asked on another connection. The others go on.
    pub(super) async fn cancel_first_request(&mut self) {
        if let Some(id) = self.pipeline.cancel_first(QueuedAnswer::Fault(Fault::Cancelled)) {
            self.withdraw(id).await;
        }
    }

    /// Cancels the running request if the client has asked for it on this connection, where its protocol allows that.
    pub(super) async fn cancel_if_asked(&mut self) {
        if self.conversation.is_pipelined() || self.pipeline.running() == 0 {
            return;
        }
        match self.conversation.take_cancellation(&mut self.read_buffer, &mut self.write_buffer) {
            Ok(false) => return,
            Ok(true) => {}
            Err(fault) => self.state.closing = Some(ConnectionEnd::Fault(fault)),
        }
        for id in self.pipeline.cancel_all() {
            self.withdraw(id).await;
        }
    }

    async fn withdraw(&mut self, id: RequestId) {
        self.answer_reservations.remove(&id);
        // Fails only if the core actor has ended.
        let _ = self.send(CoreEvent::ClientDisconnected(id)).await;
    }

    async fn send(&self, event: CoreEvent) -> Result<(), ConnectionEnd> {
        let sent = self.context.events.send(event).await;
        sent.map_err(|_| ConnectionEnd::Closed(CloseReason::CoreEnded))
    }
}
