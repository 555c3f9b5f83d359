//! The stream that carries the remainder of a large answer, chunk by chunk, from its host's connection to its
//! client actor.
//!
//! The sender waits for the receiver: at most [`MAX_BUFFERED_BYTES`] of an answer are in memory, however long
//! it is and however slowly its client reads.

use bytes::Bytes;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;

/// The maximum length of a chunk, in bytes.
pub(crate) const CHUNK_BYTES: usize = 64 * 1024;
/// Number of chunks that may wait for the receiver.
const MAX_QUEUED_CHUNKS: usize = 1;
/// Maximum memory that one answer takes, in bytes: a chunk being read, those that wait, and one being
/// written.
pub(crate) const MAX_BUFFERED_BYTES: usize = (MAX_QUEUED_CHUNKS + 2) * CHUNK_BYTES;

/// A chunk, or `None` when the answer is complete.
type Item = Option<Bytes>;

/// A handle on the receiving half of a stream. Copies share it; only the first [`Remainder::take`] obtains
/// it.
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
    /// Takes the receiving half; `None` if it was taken already.
    pub(crate) fn take(&self) -> Option<Chunks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// The receiving half of a stream: the chunks in order.
#[derive(Debug)]
pub(crate) struct Chunks {
    receiver: mpsc::Receiver<Item>,
    /// Number of bytes of the row that were not received yet.
    missing_row_bytes: usize,
}

/// The next chunk of a stream, or its end.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Chunk {
    /// The next bytes.
    Bytes(Bytes),
    /// The answer is complete.
    End,
    /// The sender was dropped before the answer was complete.
    Aborted,
}

impl Chunks {
    /// Waits for the next chunk.
    pub async fn next(&mut self) -> Chunk {
        match self.receiver.recv().await {
            Some(Some(bytes)) => {
                // The end of the answer follows the row.
                self.missing_row_bytes = self.missing_row_bytes.saturating_sub(bytes.len());
                Chunk::Bytes(bytes)
            }
            Some(None) => Chunk::End,
            None => Chunk::Aborted,
        }
    }

    /// Returns the number of bytes of the row that were not received yet.
    pub fn missing_row_bytes(&self) -> usize {
        self.missing_row_bytes
    }
}

/// The sending half of a stream. Dropping it without [`ChunkSender::finish`] aborts the answer.
#[derive(Debug)]
pub(crate) struct ChunkSender(mpsc::Sender<Item>);

impl ChunkSender {
    /// Sends a chunk once there is capacity. Returns whether the receiver still exists.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Some(bytes)).await.is_ok()
    }

    /// Marks the answer as complete.
    pub async fn finish(self) {
        // Fails only when the client has disconnected.
        let _ = self.0.send(None).await;
    }
}

/// Returns both halves of a new stream for the remaining `row_bytes` bytes of a row and the end of its answer.
pub(crate) fn channel(row_bytes: usize) -> (ChunkSender, Remainder) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let chunks = Chunks { receiver, missing_row_bytes: row_bytes };
    (ChunkSender(sender), Remainder(Arc::new(Mutex::new(Some(chunks)))))
}

#[cfg(test)]
mod tests;
