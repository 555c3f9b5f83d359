//! Start of requests at the core actor, shortened deadlines, and withdrawal.

use super::answers::QueuedAnswer;
use super::limits::MEMORY_BACKOFF;
use super::{Client, ConnectionEnd};
use crate::budget::{BudgetExceeded, Reservation};
use crate::interface::RequestId;
use crate::net::frontend::cancel::cancelled;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::messages::{Arrival, CoreEvent, Request};
use crate::net::socket::{is_ready, peer_closed};
use crate::pipeline::StartedRequest;
use crate::rejection_reason::RejectionReason;
use tokio::time::Instant;

/// A request that was read and has not been sent to the core actor.
pub(super) struct PendingRequest {
    pub request: Request,
    /// Time at which the last byte of the request was read.
    pub arrived_at: Instant,
}

impl<C: Conversation> Client<C> {
    /// Sends the requests that may run to the core actor.
    ///
    /// # Errors
    /// Returns an error if the core actor has ended, or the client violates the protocol.
    pub(super) async fn start_requests(&mut self) -> Result<(), ConnectionEnd> {
        if self.pipeline.waiting_bytes() == 0 {
            return Ok(());
        }
        // The client may have closed its side while the previous answer was written, when nothing was read.
        if is_ready(peer_closed(&self.socket)).await {
            self.state.is_peer_closed = true;
            self.withdraw_requests().await;
            return Ok(());
        }
        if self.pipeline.running() == 0 {
            // Discards a cancellation that arrived after the end of the request that it was meant for.
            is_ready(cancelled(self.cancellation.as_ref())).await;
        }
        if !self.conversation.is_pipelined()
            && self.conversation.take_cancellation(&mut self.read_buffer, &mut self.write_buffer)?
        {
            // No request is running, so none has to be withdrawn.
            drop(self.pipeline.cancel_all());
        }
        while let Some(started) = self.pipeline.start_next() {
            if !self.start_request(started).await? {
                break;
            }
        }
        Ok(())
    }

    /// Sends one request to the core actor, or requeues it if the memory budget has too little left for it
    /// while it is behind others. Returns whether it was sent or answered.
    async fn start_request(
        &mut self,
        started: StartedRequest<PendingRequest>,
    ) -> Result<bool, ConnectionEnd> {
        let StartedRequest { id, is_behind_others, effective_deadline, request: pending } = started;
        let PendingRequest { mut request, arrived_at } = pending;
        let memory_reservation = match self.reserve_request(id, &request, is_behind_others) {
            Ok(reservation) => reservation,
            Err(_) if is_behind_others => {
                self.pipeline.requeue(id, PendingRequest { request, arrived_at });
                return Ok(false);
            }
            Err(exceeded) => {
                self.reject_started_request(id, request.class, &exceeded);
                return Ok(true);
            }
        };
        if is_behind_others {
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
            client: self.answer_sender.clone(),
            client_liveness: self.socket.liveness(),
            memory_reservation,
        };
        self.send(CoreEvent::RequestArrived(Box::new(arrival))).await?;
        Ok(true)
    }

    /// Reserves the memory of a request, and of its answer if that has to wait for others.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left for one of them; neither is reserved then.
    fn reserve_request(
        &mut self,
        id: RequestId,
        request: &Request,
        is_behind_others: bool,
    ) -> Result<Reservation, BudgetExceeded> {
        let memory = &self.context.memory;
        let statement_bytes = request.statement.text.len();
        let reservation = memory.reserve_request(request.class, request.tenant, statement_bytes)?;
        if is_behind_others {
            let answer = memory.reserve_pending_answer(request.class, request.tenant)?;
            self.answer_reservations.insert(id, answer);
        }
        Ok(reservation)
    }

    /// Rejects a started request for which no memory is left.
    fn reject_started_request(&mut self, id: RequestId, class: usize, exceeded: &BudgetExceeded) {
        let cause = format_args!("no memory is left for a request: {exceeded}");
        self.record_rejected_request(class, RejectionReason::MemoryExceeded, cause);
        self.state.paused_until = Some(Instant::now() + MEMORY_BACKOFF);
        let retry_after = self.context.retry_after().and(exceeded.rejection.retry_after);
        self.pipeline.finish(id, QueuedAnswer::Fault(Fault::Rejected(retry_after)));
    }

    /// Sends the core actor the deadlines that have become earlier since their requests were started.
    ///
    /// # Errors
    /// Returns an error if the core actor has ended.
    pub(super) async fn report_shortened_deadlines(&mut self) -> Result<(), ConnectionEnd> {
        for shortened in self.pipeline.take_shortened_deadlines() {
            let reply_due = self.context.clock.instant(shortened.effective_deadline);
            self.send(CoreEvent::DeadlineShortened { id: shortened.id, reply_due }).await?;
        }
        Ok(())
    }

    /// Withdraws all requests after the client has closed its side.
    pub(super) async fn withdraw_requests(&mut self) {
        for id in self.pipeline.abandon(|| QueuedAnswer::Fault(Fault::ClientLeft)) {
            self.withdraw(id).await;
        }
    }

    /// Cancels the first request without an answer, after a cancel request on another connection. Other
    /// requests continue.
    pub(super) async fn cancel_first_request(&mut self) {
        if let Some(id) = self.pipeline.cancel_first(QueuedAnswer::Fault(Fault::Cancelled)) {
            self.withdraw(id).await;
        }
    }

    /// Cancels the running request if the client has sent a cancellation on this connection and its protocol
    /// supports that.
    pub(super) async fn cancel_if_requested(&mut self) {
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

    /// Tells the core actor that the client no longer waits for a request.
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
