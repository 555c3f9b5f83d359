//! Answers that are longer than connections are sized for: they have begun when their row has, and the rest goes from the
//! host to the client part by part, on a connection of its own that is closed behind it.

use super::connection::Connection;
use super::exchange::Exchange;
use crate::budget::Reservation;
use crate::net::memory::Memory;
use crate::net::stream::{self, ChunkSender, Remainder, CHUNK_BYTES, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// A host that sends nothing of what it still owes for so long is given up.
const STALL: Duration = Duration::from_secs(3);

/// How many long answers may be under way, and the memory that they take; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct LargeAnswers {
    memory: Memory,
    slots: Arc<Semaphore>,
}

/// The right to pass on one long answer, and its memory.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    _ticket: Reservation,
}

impl LargeAnswers {
    /// As many slots as the account of memory has room for.
    pub fn new(memory: Memory) -> Self {
        let slots = usize::try_from(memory.large_answers_bytes()).unwrap_or(usize::MAX) / MAX_BUFFERED_BYTES;
        Self { memory, slots: Arc::new(Semaphore::new(slots.clamp(1, Semaphore::MAX_PERMITS))) }
    }

    /// Waits for a slot, first come first served; none where memory is short for other reasons.
    pub(super) async fn acquire(&self) -> Option<Slot> {
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok()?;
        let ticket = self.memory.large_answer(MAX_BUFFERED_BYTES).ok()?;
        Some(Slot { _permit: permit, _ticket: ticket })
    }
}

/// Starts to pass on the row of so many bytes that has begun on this connection; returns what has been read of the answer,
/// and the stream of the rest.
pub(super) fn forward(
    mut connection: Connection,
    mut exchange: Exchange,
    row: usize,
    slot: Slot,
) -> (Bytes, Remainder) {
    let buffered = connection.take_buffered(row);
    let left = row - buffered.len();
    exchange.keep(&buffered);
    let (sender, rest) = stream::channel();
    tokio::spawn(async move {
        if pump(connection, left, &sender).await.is_some() {
            sender.finish().await;
        }
        drop(slot);
    });
    (exchange.begun(), rest)
}

/// Passes on what is left of the row and what stands behind it; none if the host or the client leaves before.
async fn pump(mut connection: Connection, mut left: usize, sender: &ChunkSender) -> Option<()> {
    while left > 0 {
        let part = timeout(STALL, connection.read_part(left.min(CHUNK_BYTES))).await.ok()?.ok()?;
        left = left.checked_sub(part.len()).filter(|_| !part.is_empty())?;
        if !sender.send(part).await {
            return None;
        }
    }
    let mut exchange = Exchange::behind_row();
    timeout(STALL, connection.rest(&mut exchange)).await.ok()?;
    // An error behind the row brings nothing that could end it.
    let end = exchange.told().then(|| exchange.begun()).filter(|end| !end.is_empty())?;
    sender.send(end).await.then_some(())
}

#[cfg(test)]
pub(super) mod tests;
