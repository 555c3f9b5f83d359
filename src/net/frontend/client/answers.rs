//! Answers to the client, in the order of its requests.

use super::limits::WRITE_BATCH_BYTES;
use super::{Client, ConnectionEnd};
use crate::interface::RequestId;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::messages::{Answer, Value};
use crate::net::stream::{Chunk, Chunks, Remainder};
use bytes::BytesMut;
use std::io;
use tokio::time::Instant;

/// An answer in the pipeline, written in the order of requests.
pub(super) enum QueuedAnswer {
    /// An encoded answer of the conversation itself.
    Bytes(BytesMut),
    /// The proxy is ready.
    Ready,
    /// A host's value.
    Value(Value),
    /// An error.
    Fault(Fault),
}

impl<C: Conversation> Client<C> {
    /// Queues the answer to a request until the answers ahead of it are written.
    pub(super) fn queue_answer(&mut self, id: RequestId, answer: Answer) {
        let mut bytes = 0;
        let answer = match answer {
            Answer::Served(value) => {
                bytes = value.postgres_messages.as_ref().unwrap_or(&value.content).len();
                QueuedAnswer::Value(value)
            }
            Answer::Rejected { retry_after } => QueuedAnswer::Fault(Fault::Rejected(retry_after)),
            Answer::Failed => QueuedAnswer::Fault(Fault::Failed),
            Answer::Invalid(problem) => {
                let fault = Fault::Invalid(problem);
                self.record_protocol_error(&fault);
                QueuedAnswer::Fault(fault)
            }
        };
        if self.pipeline.finish(id, answer) {
            if let Some(reservation) = self.answer_reservations.get_mut(&id) {
                let account = reservation.account();
                // Never rejected: the answer is not longer than reserved.
                let _ = self.context.memory.resize_reservation(reservation, account, bytes as u64);
            }
        }
    }

    /// Writes the answers that are next in order. Returns whether there were any.
    ///
    /// # Errors
    /// Returns an error if the connection has failed, or a large answer was aborted.
    pub(super) async fn write_answers(&mut self) -> Result<bool, ConnectionEnd> {
        let mut has_written = false;
        while let Some(ready) = self.pipeline.pop_answer() {
            has_written = true;
            ready.id.map(|id| self.answer_reservations.remove(&id));
            if let Some(chunks) = self.encode(ready.answer) {
                self.write_chunks(chunks).await?;
            }
            if self.write_buffer.len() >= WRITE_BATCH_BYTES {
                self.flush().await?;
            }
        }
        self.flush().await?;
        if has_written {
            self.state.last_activity_at = Instant::now();
        }
        Ok(has_written)
    }

    /// Encodes an answer into the write buffer. Returns the remaining chunks of a large one.
    fn encode(&mut self, answer: QueuedAnswer) -> Option<Chunks> {
        let Self { conversation, write_buffer, .. } = self;
        match answer {
            QueuedAnswer::Bytes(bytes) => write_buffer.extend_from_slice(&bytes),
            QueuedAnswer::Ready => conversation.write_ready(write_buffer),
            QueuedAnswer::Fault(fault) => conversation.write_fault(&fault, write_buffer),
            QueuedAnswer::Value(value) => match value.remainder.as_ref().map(Remainder::take) {
                None => conversation.write_value(&value, write_buffer),
                Some(chunks) if conversation.begin_large_value(&value, write_buffer) => return chunks,
                Some(_) => conversation.write_fault(&Fault::Failed, write_buffer),
            },
        }
        None
    }

    /// Writes the chunks of a large answer as they arrive.
    ///
    /// # Errors
    /// Returns the errors of [`Self::write`], and an error if the answer is aborted: the end of the
    /// connection shows the client that it is incomplete.
    async fn write_chunks(&mut self, mut chunks: Chunks) -> io::Result<()> {
        self.flush().await?;
        loop {
            match chunks.next().await {
                Chunk::Bytes(bytes) => self.write(&bytes).await?,
                Chunk::End => break,
                Chunk::Aborted => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        self.conversation.end_large_value(&mut self.write_buffer);
        Ok(())
    }
}
