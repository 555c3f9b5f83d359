//! Answers to the client, in the order of its requests.

use super::limits::WRITE_BATCH_BYTES;
use super::{Client, ConnectionEnd};
use crate::interface::RequestId;
use crate::net::answer_buffers::MAX_UNBUFFERED_BYTES;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::messages::{Answer, Value};
use crate::net::socket::has_unread_bytes;
use crate::net::stream::{Chunk, Chunks, Remainder};
use bytes::BytesMut;
use std::io;
use tokio::time::Instant;

/// Bytes that stand for the missing part of a row.
static ROW_FILLER: [u8; 16 * 1024] = [0; 16 * 1024];

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
            Answer::Served(mut value) => {
                bytes = value.postgres_messages.as_ref().unwrap_or(&value.content).len();
                // An answer with a reservation of its own needs no buffer, for which others may wait.
                value.permit.take_if(|_| self.answer_reservations.contains_key(&id));
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
        // Held until the answers are written.
        let mut reservations = Vec::new();
        while let Some(ready) = self.pipeline.pop_answer() {
            has_written = true;
            reservations.extend(ready.id.and_then(|id| self.answer_reservations.remove(&id)));
            self.write_answer(ready.answer).await?;
            if self.write_buffer.len() >= WRITE_BATCH_BYTES {
                self.flush().await?;
                reservations.clear();
            }
        }
        self.flush().await?;
        if has_written {
            self.state.last_activity_at = Instant::now();
        }
        Ok(has_written)
    }

    /// Encodes an answer into the write buffer; one that is long is also written.
    ///
    /// # Errors
    /// Returns an error as [`Self::write_answers`] does.
    async fn write_answer(&mut self, answer: QueuedAnswer) -> io::Result<()> {
        let Self { conversation, write_buffer, .. } = self;
        match answer {
            QueuedAnswer::Bytes(bytes) => write_buffer.extend_from_slice(&bytes),
            QueuedAnswer::Ready => conversation.write_ready(write_buffer),
            QueuedAnswer::Fault(fault) => conversation.write_fault(&fault, write_buffer),
            QueuedAnswer::Value(value) => match value.remainder.as_ref().map(Remainder::take) {
                None => return self.write_value(value).await,
                Some(Some(chunks)) if conversation.begin_large_value(&value, write_buffer) => {
                    return self.write_chunks(chunks).await;
                }
                Some(_) => conversation.write_fault(&Fault::Failed, write_buffer),
            },
        }
        Ok(())
    }

    /// Encodes a value into the write buffer. One that is long and needs no encoding is written from its own
    /// memory.
    ///
    /// # Errors
    /// Returns the errors of [`Self::write`].
    async fn write_value(&mut self, value: Value) -> io::Result<()> {
        if value.content.len() <= MAX_UNBUFFERED_BYTES {
            self.conversation.write_value(&value, &mut self.write_buffer);
            return Ok(());
        }
        match self.conversation.encoded_value(&value) {
            Some(messages) => {
                self.flush().await?;
                self.write(&messages).await?;
                self.conversation.end_large_value(&mut self.write_buffer);
            }
            None => {
                self.conversation.write_value(&value, &mut self.write_buffer);
                self.flush().await?;
            }
        }
        Ok(())
    }

    /// Writes the chunks of a large answer as they arrive.
    ///
    /// # Errors
    /// Returns the errors of [`Self::write`] and of [`Self::fail_large_value`].
    async fn write_chunks(&mut self, mut chunks: Chunks) -> io::Result<()> {
        self.flush().await?;
        loop {
            match chunks.next().await {
                Chunk::Bytes(bytes) => self.write(&bytes).await?,
                Chunk::End => break,
                Chunk::Aborted => return self.fail_large_value(chunks.missing_row_bytes()).await,
            }
        }
        self.conversation.end_large_value(&mut self.write_buffer);
        Ok(())
    }

    /// Fails a large answer whose host has broken it off `missing_row_bytes` bytes before the end of the row.
    /// If the client awaits further answers, the row is filled up to its length and followed by an error in
    /// place of its completion: the client sees that the value is incomplete and reads on.
    ///
    /// # Errors
    /// Returns the errors of [`Self::write`], and an error if the client awaits nothing else: the end of the
    /// connection then shows at once that the value is incomplete.
    async fn fail_large_value(&mut self, mut missing_row_bytes: usize) -> io::Result<()> {
        if self.pipeline.is_empty() && self.read_buffer.is_empty() && !has_unread_bytes(&self.socket) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while missing_row_bytes > 0 {
            let length = missing_row_bytes.min(ROW_FILLER.len());
            self.write(&ROW_FILLER[..length]).await?;
            missing_row_bytes -= length;
        }
        self.conversation.write_fault(&Fault::Failed, &mut self.write_buffer);
        Ok(())
    }
}
