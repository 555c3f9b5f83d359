//! Memory accounting of a client's buffers.

use super::limits::{ACCOUNTING_STEP, MAX_RETAINED_CAPACITY};
use super::{Client, ConnectionEnd};
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use bytes::BytesMut;

impl<C: Conversation> Client<C> {
    /// Adjusts the reservation to the current size of the buffers. If the memory budget has too little left,
    /// the connection ends once all requests are answered.
    ///
    /// # Errors
    /// Returns an error if the memory budget has too little left and no request is open.
    pub(super) fn account_buffers(&mut self) -> Result<(), ConnectionEnd> {
        if self.read_buffer.is_empty() && self.read_buffer.capacity() > MAX_RETAINED_CAPACITY {
            // Releases the memory, since many connections stay idle after one long statement.
            self.read_buffer = BytesMut::new();
        }
        let Err(fault) = self.reserve_buffers() else { return Ok(()) };
        if self.pipeline.is_empty() {
            return Err(fault.into());
        }
        self.read_buffer = BytesMut::new();
        self.close_with_fault(fault);
        Ok(())
    }

    /// Reserves memory for the current size of the buffers.
    ///
    /// # Errors
    /// Returns [`Fault::Rejected`] if the memory budget has too little left.
    pub(super) fn reserve_buffers(&mut self) -> Result<(), Fault> {
        let capacity = self.read_buffer.capacity() + self.write_buffer.capacity();
        let bytes = capacity + self.conversation.buffered_bytes() + self.pipeline.waiting_bytes();
        // Buffers shrink a little with each message: rounding avoids an adjustment for each.
        let bytes = bytes.next_multiple_of(ACCOUNTING_STEP) as u64;
        let reservation = &mut self.admission.buffers;
        let resized = self.context.memory.resize_reservation(reservation, self.account, bytes);
        resized.map_err(|exceeded| Fault::Rejected(exceeded.rejection.retry_after))
    }
}
