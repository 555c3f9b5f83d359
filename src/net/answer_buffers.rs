//! Memory for answers beyond the usual length, from their first byte read from a host to their last byte
//! written to a client.
//!
//! A host decides how much it answers, so this memory cannot be refused once a query was sent. It is set
//! aside at the start and handed out in buffers, in first-come, first-served order; until there is one the
//! rest of an answer stays in its host's connection. Answers that wait behind others on their client's
//! connection have reservations of their own ([`Memory::reserve_pending_answer`]) and hold no buffer, so
//! every buffer is released once its client has read.

use super::memory::Memory;
use crate::budget::{Purpose, Reservation};
use crate::pgwire;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length in bytes up to which an answer needs no buffer: the memory of connections covers it.
pub(crate) const MAX_UNBUFFERED_BYTES: usize = 4 * 1024;
/// Size of a buffer in bytes: the longest message of a host that is held in memory, and the messages around
/// it.
pub(crate) const ANSWER_BUFFER_BYTES: usize = pgwire::MAX_HOST_MESSAGE_BYTES + 2 * MAX_UNBUFFERED_BYTES;

/// The buffers for answers. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct AnswerBuffers {
    permits: Arc<Semaphore>,
    /// The memory of all buffers; `None` if the budget has too little for one.
    _reservation: Arc<Option<Reservation>>,
}

/// Permit to hold one answer in memory. Clones share it.
#[derive(Clone, Debug)]
pub struct AnswerPermit(#[allow(dead_code)] Arc<OwnedSemaphorePermit>);

/// Two permits are equal if they are clones of one another.
impl PartialEq for AnswerPermit {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for AnswerPermit {}

impl AnswerBuffers {
    /// Returns as many buffers as fit into the reserve of the purpose of upstream buffers, but at least one.
    pub fn new(memory: &Memory) -> Self {
        let reserve = usize::try_from(memory.reserve_of(Purpose::UpstreamBuffers)).unwrap_or(usize::MAX);
        let count = (reserve / ANSWER_BUFFER_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        let reservation = memory.reserve_answer_buffers(count * ANSWER_BUFFER_BYTES).ok();
        Self { permits: Arc::new(Semaphore::new(count)), _reservation: Arc::new(reservation) }
    }

    /// Waits for a buffer. Cancel safe, but the place in the queue is lost.
    pub async fn acquire(&self) -> Option<AnswerPermit> {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok()?;
        Some(AnswerPermit(Arc::new(permit)))
    }
}

#[cfg(test)]
mod tests;
