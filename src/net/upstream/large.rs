//! Forwards large rows: an answer that is too long to be held in memory goes from its host to its client chunk by chunk, on
//! a connection that is closed behind it.

use super::connection::Connection;
use super::exchange::Exchange;
use crate::budget::Reservation;
use crate::net::memory::Memory;
use crate::net::messages::Value;
use crate::net::stream::{self, ChunkSender, CHUNK_BYTES, MAX_BUFFERED_BYTES};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// How long a host may send nothing before the rest of its answer is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Limits how many large answers are forwarded at once, and accounts for their memory. Copies share the limit.
#[derive(Clone, Debug)]
pub(crate) struct LargeAnswers {
    memory: Memory,
    slots: Arc<Semaphore>,
}

/// The right to forward one large answer, and its memory.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    _memory_reservation: Reservation,
}

impl LargeAnswers {
    /// Provides as many slots as the memory planned for large answers allows, at least one.
    pub fn new(memory: Memory) -> Self {
        let bytes = usize::try_from(memory.max_large_answers_bytes()).unwrap_or(usize::MAX);
        let slots = (bytes / MAX_BUFFERED_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self { memory, slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Waits for a slot, first come first served. Returns none where memory is used up otherwise.
    pub(super) async fn acquire(&self) -> Option<Slot> {
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        let memory_reservation = self.memory.reserve_large_answer(MAX_BUFFERED_BYTES).ok()?;
        Some(Slot { _permit: permit, _memory_reservation: memory_reservation })
    }
}

/// A row that has begun on a connection and is too long to be held in memory.
#[derive(Debug)]
pub(super) struct LargeRow {
    pub connection: Connection,
    /// Length of the row's message.
    pub bytes: usize,
    pub slot: Slot,
}

impl LargeRow {
    /// Starts to forward the row in a task of its own. Returns what has been read of the answer, with the stream of what is
    /// to come.
    pub fn forward(self, mut exchange: Exchange) -> Value {
        let Self { mut connection, bytes, slot } = self;
        let buffered = connection.take_buffered(bytes);
        let remaining = bytes - buffered.len();
        exchange.keep_message(&buffered);
        let (sender, remainder) = stream::channel();
        tokio::spawn(async move {
            if forward_remainder(connection, remaining, &sender).await.is_some() {
                sender.finish().await;
            }
            drop(slot);
        });
        let begun = Some(exchange.into_messages());
        Value { postgres_messages: begun, remainder: Some(remainder), ..Value::default() }
    }
}

/// Forwards the remaining bytes of the row and what follows it. Returns none if the host or the client disconnects before.
async fn forward_remainder(
    mut connection: Connection,
    mut remaining: usize,
    sender: &ChunkSender,
) -> Option<()> {
    while remaining > 0 {
        let read = connection.read_chunk(remaining.min(CHUNK_BYTES));
        let chunk = timeout(READ_TIMEOUT, read).await.ok()?.ok()?;
        remaining = remaining.checked_sub(chunk.len()).filter(|_| !chunk.is_empty())?;
        if !sender.send(chunk).await {
            return None;
        }
    }
    let mut exchange = Exchange::after_row();
    timeout(READ_TIMEOUT, connection.read_remainder(&mut exchange)).await.ok()?;
    // An error behind the row brings no messages that could end the answer.
    let end = exchange.has_result().then(|| exchange.into_messages()).filter(|end| !end.is_empty())?;
    sender.send(end).await.then_some(())
}

#[cfg(test)]
pub(super) mod tests;
