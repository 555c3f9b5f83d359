//! Passes the remainder of a large answer from its host to its client chunk by chunk.
//!
//! The host's side waits for the client's: an answer holds at most [`MAX_BUFFERED_BYTES`], however long it is and
//! however slowly its client reads.

use bytes::Bytes;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;

/// The longest chunk, in bytes.
pub(crate) const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks that may wait for the client.
const MAX_QUEUED_CHUNKS: usize = 1;
/// The most memory that one answer takes: a chunk being read, those that wait, and one being written.
pub(crate) const MAX_BUFFERED_BYTES: usize = (MAX_QUEUED_CHUNKS + 2) * CHUNK_BYTES;

/// A chunk, or none to say that the answer is complete.
type Item = Option<Bytes>;

/// The receiving half. Copies share it; [`Remainder::take`] gives it to the first that asks.
#[derive(Clone, Debug)]
pub struct Remainder(Arc<Mutex<Option<Chunks>>>);

/// Two remainders are equal if they are copies of one another.
impl PartialEq for Remainder {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for Remainder {}

impl Remainder {
    /// Takes the chunks; none if another copy has taken them.
    pub(crate) fn take(&self) -> Option<Chunks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// The chunks, in order.
#[derive(Debug)]
pub(crate) struct Chunks(mpsc::Receiver<Item>);

/// What [`Chunks::next`] returns.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Chunk {
    /// The next bytes.
    Bytes(Bytes),
    /// The answer is complete.
    End,
    /// The answer broke off before its end.
    Aborted,
}

impl Chunks {
    /// Waits for the next chunk.
    pub async fn next(&mut self) -> Chunk {
        match self.0.recv().await {
            Some(Some(bytes)) => Chunk::Bytes(bytes),
            Some(None) => Chunk::End,
            None => Chunk::Aborted,
        }
    }
}

/// The sending half. Dropping it without [`ChunkSender::finish`] aborts the answer.
#[derive(Debug)]
pub(crate) struct ChunkSender(mpsc::Sender<Item>);

impl ChunkSender {
    /// Sends a chunk once there is capacity. Returns whether the client still takes chunks.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Some(bytes)).await.is_ok()
    }

    /// Marks the answer as complete.
    pub async fn finish(self) {
        // Fails only when the client has disconnected.
        let _ = self.0.send(None).await;
    }
}

/// Returns both halves of a new stream.
pub(crate) fn channel() -> (ChunkSender, Remainder) {
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (ChunkSender(sender), Remainder(Arc::new(Mutex::new(Some(Chunks(chunks))))))
}

#[cfg(test)]
mod tests;
