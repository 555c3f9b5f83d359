//! Forwards large rows: an answer that is too long to be held in memory is passed from its host to its client
//! chunk by chunk. The host's connection is closed afterwards.

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

/// Time without bytes from the host after which the rest of its answer is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Limits the number of large answers that are forwarded at once, and accounts for their memory. Clones share
/// the limit.
#[derive(Clone, Debug)]
pub(crate) struct LargeAnswers {
    memory: Memory,
    slots: Arc<Semaphore>,
}

/// Permit to forward one large answer, with the memory reserved for it.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    _memory_reservation: Reservation,
}

impl LargeAnswers {
    /// Returns a limit of as many slots as the memory planned for large answers allows, but at least one.
    pub fn new(memory: Memory) -> Self {
        let bytes = usize::try_from(memory.max_large_answers_bytes()).unwrap_or(usize::MAX);
        let slots = (bytes / MAX_BUFFERED_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self { memory, slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Waits for a slot, in first-come, first-served order. Returns `None` if there is no memory for the
    /// answer.
    pub(super) async fn acquire(&self) -> Option<Slot> {
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        let memory_reservation = self.memory.reserve_large_answer(MAX_BUFFERED_BYTES).ok()?;
        Some(Slot { _permit: permit, _memory_reservation: memory_reservation })
    }
}

/// A row of which a part has been read from a connection, and which is too long to be held in memory.
#[derive(Debug)]
pub(super) struct LargeRow {
    pub connection: Connection,
    /// Length in bytes of the row's message.
    pub bytes: usize,
    pub slot: Slot,
}

impl LargeRow {
    /// Starts a task that forwards the row. Returns the part of the answer that has been read, with the
    /// stream of the remainder.
    pub fn forward(self, mut exchange: Exchange) -> Value {
        let Self { mut connection, bytes, slot } = self;
        let buffered = connection.take_buffered(bytes);
        let remaining = bytes - buffered.len();
        exchange.keep_message(&buffered);
        let (sender, remainder) = stream::channel(remaining);
        tokio::spawn(async move {
            if forward_remainder(connection, remaining, &sender).await.is_some() {
                sender.finish().await;
            }
            drop(slot);
        });
        let messages = Some(exchange.into_messages());
        Value { postgres_messages: messages, remainder: Some(remainder), ..Value::default() }
    }
}

/// Forwards the remaining bytes of the row and the end of the answer. Returns `None` if the host or the
/// client disconnects, or the host stops sending, before that is done.
async fn forward_remainder(
    mut connection: Connection,
    mut remaining: usize,
    sender: &ChunkSender,
) -> Option<()> {
    while remaining > 0 {
        let next_chunk = connection.read_chunk(remaining.min(CHUNK_BYTES));
        let chunk = timeout(READ_TIMEOUT, next_chunk).await.ok()?.ok()?;
        remaining = remaining.checked_sub(chunk.len()).filter(|_| !chunk.is_empty())?;
        if !sender.send(chunk).await {
            return None;
        }
    }
    let mut exchange = Exchange::after_row();
    timeout(READ_TIMEOUT, connection.read_remainder(&mut exchange)).await.ok()?;
    // An error after the row keeps no messages that could end the answer.
    let end = exchange.has_result().then(|| exchange.into_messages()).filter(|end| !end.is_empty())?;
    sender.send(end).await.then_some(())
}

#[cfg(test)]
pub(super) mod tests;
