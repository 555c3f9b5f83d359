//! Decoding of statements into the pipeline, as requests or as answers that are known at once.

use super::answers::QueuedAnswer;
use super::dispatch::PendingRequest;
use super::limits::{ERROR_ANSWER_TIMEOUT, MAX_RETAINED_CAPACITY};
use super::{Client, ConnectionEnd};
use crate::counters::RequestEnd;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::{ClientEvent, Conversation};
use crate::net::frontend::fault::Fault;
use crate::net::frontend::request;
use crate::net::messages::Request;
use crate::pipeline::{Access, PipelinedRequest};
use crate::rejection_reason::RejectionReason;
use bytes::{Bytes, BytesMut};
use std::fmt::Display;
use std::sync::Arc;
use tokio::time::Instant;

impl<C: Conversation> Client<C> {
    /// Returns whether a further statement may be read.
    pub(super) fn takes_statements(&self) -> bool {
        self.state.takes_statements() && self.pipeline.has_capacity()
    }

    /// Returns whether a statement in the read buffer may be decoded: it can be read, or the connection is
    /// about to end and the statement is owed an answer.
    fn decodes_statements(&self) -> bool {
        let is_wanted = self.state.takes_statements() || self.state.rejects_statements();
        is_wanted && self.pipeline.has_capacity()
    }

    /// Decodes the complete statements in the read buffer, as far as the pipeline has capacity.
    pub(super) fn decode_statements(&mut self) {
        let unread_bytes = self.read_buffer.len();
        self.decode_next_statements();
        if unread_bytes - self.read_buffer.len() > MAX_RETAINED_CAPACITY {
            // The memory of what was decoded is not part of the buffer's capacity, and released only with it.
            self.read_buffer = BytesMut::from(&self.read_buffer[..]);
        }
    }

    fn decode_next_statements(&mut self) {
        while !self.read_buffer.is_empty() && self.decodes_statements() {
            let mut reply = BytesMut::new();
            match self.conversation.next_event(&mut self.read_buffer, &mut reply) {
                Ok(Some(event)) => {
                    self.state.partial_since = None;
                    self.handle_event(event, reply);
                }
                Ok(None) => return,
                Err(fault) => {
                    self.state.partial_since = None;
                    // Nothing behind the fault can be read, so it takes the place of an earlier end.
                    self.state.closing.take_if(|end| end.leaves_statements());
                    self.close_with_fault(fault);
                }
            }
        }
    }

    /// Ends the connection with a fault once all requests are answered, within [`ERROR_ANSWER_TIMEOUT`].
    pub(super) fn close_with_fault(&mut self, fault: Fault) {
        if self.state.closing.is_none() {
            self.state.closing = Some(ConnectionEnd::Fault(fault));
            self.push_answer(QueuedAnswer::Bytes(BytesMut::new()));
        }
    }

    /// Counts and logs an invalid statement, and delays the next one.
    pub(super) fn record_protocol_error(&mut self, fault: &Fault) {
        self.context.counters.statement_malformed();
        self.record_rejection(fault);
        self.state.record_protocol_error(Instant::now());
    }

    fn handle_event(&mut self, event: ClientEvent, reply: BytesMut) {
        if !reply.is_empty() {
            self.push_answer(QueuedAnswer::Bytes(reply));
        }
        // A connection that reads nothing further is not to end later for what it has read.
        if event.requests_nothing() && !self.is_finishing() {
            self.state.record_message_without_request(Instant::now());
        }
        match event {
            ClientEvent::Statement(text) => {
                self.state.has_sent_request = true;
                self.handle_statement(text);
            }
            ClientEvent::InvalidStatement(fault) => {
                self.state.has_sent_request = true;
                self.reject_statement(fault);
            }
            ClientEvent::ReadinessCheck => {
                self.state.has_sent_request = true;
                self.handle_readiness_check();
            }
            ClientEvent::Answered => self.state.has_sent_request = true,
            // Requests that were sent before are still answered.
            ClientEvent::Terminated => {
                self.state.closing = Some(ConnectionEnd::Closed(CloseReason::ClientLeft));
            }
            ClientEvent::NoRequest | ClientEvent::SessionOpened | ClientEvent::CancelRequest(_) => {}
        }
    }

    /// Answers whether the proxy is ready. A quiesced proxy is not, so that load balancers send new clients
    /// elsewhere.
    fn handle_readiness_check(&mut self) {
        let answer = if self.context.admin.is_serving() {
            QueuedAnswer::Ready
        } else {
            self.record_rejection(&Fault::NotReady);
            QueuedAnswer::Fault(Fault::NotReady)
        };
        self.push_answer(answer);
    }

    fn handle_statement(&mut self, text: Bytes) {
        let settings = Arc::clone(&self.context.settings.borrow());
        match request::parse(text, &settings.names) {
            Ok(request) => self.queue_request(request),
            Err(fault) => self.reject_statement(fault),
        }
    }

    fn queue_request(&mut self, request: Request) {
        self.account = self.context.memory.account(request.class, request.tenant);
        if self.state.is_peer_closed {
            // The client may be gone, or may only have nothing more to send: the request is not executed.
            return self.push_answer(QueuedAnswer::Fault(Fault::ClientLeft));
        }
        if self.state.rejects_statements() {
            return self.reject_request(
                &request,
                RejectionReason::NotReady,
                "the connection is about to end",
            );
        }
        if self.is_rejected_over_limit() {
            let cause = "all client connection slots are taken";
            return self.reject_request(&request, RejectionReason::NoConnectionSlot, cause);
        }
        let access =
            request.session.map(|key| Access { group: request.group, key, is_write: request.is_write });
        let pipelined = PipelinedRequest {
            id: self.request_ids.next(),
            access,
            deadline: self.context.clock.timestamp(self.state.last_read_at + request.timeout),
            bytes: request.statement.text.len(),
        };
        self.pipeline.push(pipelined, PendingRequest { request, arrived_at: self.state.last_read_at });
    }

    /// Rejects a request that is not executed. The retry-after time keeps rejected clients from returning all
    /// at once.
    fn reject_request(&mut self, request: &Request, reason: RejectionReason, cause: &str) {
        self.record_rejected_request(request.class, reason, cause);
        self.push_answer(QueuedAnswer::Fault(Fault::Rejected(self.context.retry_after())));
    }

    /// Counts and logs a request that this actor rejects.
    pub(super) fn record_rejected_request(&self, class: usize, reason: RejectionReason, cause: impl Display) {
        self.context.counters.request_accepted();
        self.context.counters.request_ended(RequestEnd::Rejected, class);
        self.context.rejections.record(reason, cause);
    }

    /// Answers an invalid statement; the next one is read after a pause.
    fn reject_statement(&mut self, fault: Fault) {
        if self.state.leaves_to_final_error() {
            return;
        }
        self.record_protocol_error(&fault);
        self.push_answer(QueuedAnswer::Fault(fault));
    }

    /// Queues an answer that is known at once.
    fn push_answer(&mut self, answer: QueuedAnswer) {
        let deadline = self.context.clock.timestamp(Instant::now() + ERROR_ANSWER_TIMEOUT);
        self.pipeline.push_answer(answer, deadline);
    }
}
