//! The requests of one client connection: from bytes into its pipeline, to the module, and back as answers in their turn.

use super::{Client, Over, ERROR_BACKOFF, ERROR_DUE, MAX_PROTOCOL_ERRORS};
use crate::interface::RequestId;
use crate::net::frontend::cancel::cancelled;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::{Conversation, Step};
use crate::net::frontend::fault::Fault;
use crate::net::frontend::request;
use crate::net::messages::{Answer, Arrival, CoreEvent, Request, Value};
use crate::net::socket::{is_ready, peer_closed};
use crate::net::stream::{Chunk, Chunks, Remainder};
use crate::pipeline::{Access, Demand, Started};
use crate::rejection_reason::RejectionReason;
use bytes::{Bytes, BytesMut};
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// Answers are written to the socket once so many bytes of them are there.
const WRITE_BYTES: usize = 64 * 1024;

/// A request that has been read and not been handed to the module.
pub(super) struct Pending {
    request: Request,
    /// When its last byte was read.
    arrived: Instant,
}

/// What is written to a client when its turn comes.
pub(super) enum Reply {
    /// What the protocol itself says.
    Bytes(BytesMut),
    /// Whether the proxy is ready: it is.
    Ready,
    /// A ledger host's value.
    Value(Value),
    /// There is no value.
    Fault(Fault),
}

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// Reads statements, starts those that may run and writes the answers whose turn it is, until nothing more can be done
    /// without an event.
    ///
    /// # Errors
    /// When the connection has broken, or the module has ended.
    pub(super) async fn advance(&mut self) -> Result<(), Over> {
        loop {
            self.read_statements();
            self.start_requests().await?;
            self.tighten().await?;
            let wrote = self.write_answers().await?;
            if !wrote || (self.read.is_empty() && self.pipeline.is_empty()) {
                return Ok(());
            }
        }
    }

    /// Whether a further statement would be looked at.
    pub(super) fn takes_statements(&self) -> bool {
        self.closing.is_none() && self.paused.is_none() && self.pipeline.has_room()
    }

    /// Ends the connection with a fault once all that was read is answered, and in time for the fault itself.
    pub(super) fn fail(&mut self, fault: Fault) {
        if self.closing.is_none() {
            self.closing = Some(Over::Fault(fault));
            self.push_reply(Reply::Bytes(BytesMut::new()));
        }
    }

    /// Nobody waits for the answers any more: what the module has of this client's is withdrawn.
    pub(super) async fn abandon(&mut self) {
        for id in self.pipeline.abandon(|| Reply::Fault(Fault::Left)) {
            self.withdraw(id).await;
        }
    }

    /// Calls off the request whose answer is next, as its client asked on another connection. The others go on.
    pub(super) async fn cancel_first(&mut self) {
        if let Some(id) = self.pipeline.cancel_first(Reply::Fault(Fault::Cancelled)) {
            self.withdraw(id).await;
        }
    }

    /// Where a request runs and the protocol lets a client call it off in the stream: looks whether it does.
    pub(super) async fn look_for_cancel(&mut self) {
        if self.conversation.pipelines() || self.pipeline.running() == 0 {
            return;
        }
        match self.conversation.gives_up(&mut self.read, &mut self.out) {
            Ok(false) => return,
            Ok(true) => {}
            Err(fault) => self.closing = Some(Over::Fault(fault)),
        }
        for id in self.pipeline.call_off_all() {
            self.withdraw(id).await;
        }
    }

    /// Keeps the answer to a request until its turn comes.
    pub(super) fn take_answer(&mut self, id: RequestId, answer: Answer) {
        let mut bytes = 0;
        let reply = match answer {
            Answer::Served(value) => {
                bytes = value.postgres_messages.as_ref().unwrap_or(&value.content).len();
                Reply::Value(value)
            }
            Answer::Rejected { retry_after } => Reply::Fault(Fault::Refused(retry_after)),
            Answer::Failed => Reply::Fault(Fault::Failed),
            Answer::Invalid(problem) => {
                let fault = Fault::Invalid(problem);
                self.record_protocol_error(&fault);
                Reply::Fault(fault)
            }
        };
        if self.pipeline.finish(id, reply) {
            if let Some(room) = self.answer_room.get_mut(&id) {
                // Less than was reserved: never refused.
                let _ = self.acceptor.memory.resize_reservation(room, room.account(), bytes as u64);
            }
        }
    }

    fn read_statements(&mut self) {
        while !self.read.is_empty() && self.takes_statements() {
            let mut reply = BytesMut::new();
            match self.conversation.next(&mut self.read, &mut reply) {
                Ok(Some(step)) => {
                    self.partial = None;
                    self.take_step(step, reply);
                }
                Ok(None) => return,
                Err(fault) => {
                    self.partial = None;
                    self.fail(fault);
                }
            }
        }
    }

    fn take_step(&mut self, step: Step, reply: BytesMut) {
        if !reply.is_empty() {
            self.push_reply(Reply::Bytes(reply));
        }
        match step {
            Step::Statement(text) => {
                self.asked = true;
                self.take_statement(text);
            }
            Step::Senseless(fault) => {
                self.asked = true;
                self.reject(fault);
            }
            Step::Ready => {
                self.asked = true;
                self.take_ready();
            }
            Step::Answered => self.asked = true,
            // It is owed the answers to what it has asked before.
            Step::Leaves => self.closing = Some(Over::Closed(CloseReason::ClientLeft)),
            Step::Passed | Step::Opened | Step::Cancels(_) => {}
        }
    }

    /// A drained proxy says no, so that the front sends new clients elsewhere.
    fn take_ready(&mut self) {
        let reply = if self.acceptor.desk.serving() {
            Reply::Ready
        } else {
            self.rejected(&Fault::NotReady);
            Reply::Fault(Fault::NotReady)
        };
        self.push_reply(reply);
    }

    fn take_statement(&mut self, text: Bytes) {
        let terms = Arc::clone(&self.acceptor.terms.borrow());
        match request::read(text, &terms.names) {
            Ok(request) => self.take_request(request),
            Err(fault) => self.reject(fault),
        }
    }

    fn take_request(&mut self, request: Request) {
        self.account = self.acceptor.memory.account(request.class, request.tenant);
        if self.ended {
            // It ended its side after sending this: it may be gone, or only have nothing more to say.
            return self.push_reply(Reply::Fault(Fault::Left));
        }
        if self.full() {
            // Without a time to come back at, a crowd would be back at once.
            self.acceptor.rejections.record(RejectionReason::Seat, "all seats are taken");
            return self.push_reply(Reply::Fault(Fault::Refused(self.acceptor.retry_after())));
        }
        let demand = Demand {
            id: (self.id)(),
            access: request.session.map(|key| Access { group: request.group, key, write: request.is_write }),
            deadline: self.acceptor.clock.timestamp(self.read_at + request.timeout),
            bytes: request.statement.text.len(),
        };
        self.pipeline.push(demand, Pending { request, arrived: self.read_at });
    }

    /// Hands the requests that may run to the module.
    async fn start_requests(&mut self) -> Result<(), Over> {
        if self.pipeline.waiting_bytes() == 0 {
            return Ok(());
        }
        // It may have gone while the answer before was on its way: nobody read then.
        if is_ready(peer_closed(&self.stream)).await {
            self.ended = true;
            self.abandon().await;
            return Ok(());
        }
        if self.pipeline.running() == 0 {
            // What was called off before this had ended already.
            is_ready(cancelled(self.registration.as_ref())).await;
        }
        if !self.conversation.pipelines() {
            match self.conversation.gives_up(&mut self.read, &mut self.out) {
                Ok(false) => {}
                // Given up in the same breath: it never went anywhere.
                Ok(true) => drop(self.pipeline.call_off_all()),
                Err(fault) => return Err(fault.into()),
            }
        }
        while let Some(started) = self.pipeline.start_next() {
            if !self.start(started).await? {
                break;
            }
        }
        Ok(())
    }

    /// Tells the module of answers that are due earlier than it knows.
    async fn tighten(&mut self) -> Result<(), Over> {
        for tightened in self.pipeline.tightened() {
            let due = self.acceptor.clock.instant(tightened.due);
            self.send(CoreEvent::DeadlineShortened { id: tightened.id, reply_due: due }).await?;
        }
        Ok(())
    }

    /// Hands one request to the module. Whether there was room for it.
    async fn start(&mut self, started: Started<Pending>) -> Result<bool, Over> {
        let Started { id, behind, due, request: Pending { mut request, arrived } } = started;
        if behind {
            match self.acceptor.memory.pending_answer(request.class, request.tenant) {
                Ok(room) => self.answer_room.insert(id, room),
                Err(_) => {
                    self.pipeline.put_back(id, Pending { request, arrived });
                    return Ok(false);
                }
            };
            self.acceptor.counters.pipelined();
        }
        if let Some(by) = self.acceptor.answers() {
            request.timeout = request.timeout.min(by.saturating_duration_since(arrived));
        }
        let due = self.acceptor.clock.instant(due);
        let (client, presence) = (self.address.clone(), self.stream.liveness());
        let arrival =
            Arrival { id, request, arrived_at: arrived, reply_due: due, client, client_liveness: presence };
        self.send(CoreEvent::RequestArrived(Box::new(arrival))).await?;
        Ok(true)
    }

    /// Writes the answers whose turn it is; whether there were any.
    async fn write_answers(&mut self) -> Result<bool, Over> {
        let mut any = false;
        while let Some(ready) = self.pipeline.pop_answer() {
            any = true;
            ready.id.map(|id| self.answer_room.remove(&id));
            if let Some(parts) = self.encode(ready.answer) {
                self.forward(parts).await?;
            }
            if self.out.len() >= WRITE_BYTES {
                self.flush().await?;
            }
        }
        self.flush().await?;
        if any {
            self.quiet = Instant::now();
        }
        Ok(any)
    }

    /// Puts an answer into the words of the protocol; what is still to come of a long one.
    fn encode(&mut self, reply: Reply) -> Option<Chunks> {
        let Self { conversation, out, .. } = self;
        match reply {
            Reply::Bytes(bytes) => out.extend_from_slice(&bytes),
            Reply::Ready => conversation.ready(out),
            Reply::Fault(fault) => conversation.fault(&fault, out),
            Reply::Value(value) => match value.remainder.as_ref().map(Remainder::take) {
                None => conversation.served(&value, out),
                Some(parts) if conversation.begin_value(&value, out) => return parts,
                Some(_) => conversation.fault(&Fault::Failed, out),
            },
        }
        None
    }

    /// Writes a long answer as it comes. If its host breaks off, the client can tell by the end of its connection.
    async fn forward(&mut self, mut parts: Chunks) -> io::Result<()> {
        self.flush().await?;
        loop {
            match parts.next().await {
                Chunk::Bytes(bytes) => self.write(&bytes).await?,
                Chunk::End => break,
                Chunk::Aborted => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        self.conversation.end_value(&mut self.out);
        Ok(())
    }

    /// Answers a statement that can be no request; the next one has to wait for it.
    fn reject(&mut self, fault: Fault) {
        self.record_protocol_error(&fault);
        self.push_reply(Reply::Fault(fault));
    }

    fn record_protocol_error(&mut self, fault: &Fault) {
        self.acceptor.counters.malformed();
        self.rejected(fault);
        self.protocol_errors += 1;
        self.paused = Some(Instant::now() + ERROR_BACKOFF * self.protocol_errors);
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS && self.closing.is_none() {
            self.closing = Some(Over::ProtocolErrors);
        }
    }

    fn push_reply(&mut self, reply: Reply) {
        let deadline = self.acceptor.clock.timestamp(Instant::now() + ERROR_DUE);
        self.pipeline.push_answer(reply, deadline);
    }

    async fn withdraw(&mut self, id: RequestId) {
        self.answer_room.remove(&id);
        // Fails only when the module has ended.
        let _ = self.send(CoreEvent::ClientDisconnected(id)).await;
    }

    async fn send(&self, event: CoreEvent) -> Result<(), Over> {
        self.acceptor.events.send(event).await.map_err(|_| Over::Closed(CloseReason::ModuleEnded))
    }
}
