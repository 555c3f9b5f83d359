//! Writes to the client.

use super::limits::{LONG_ANSWER_BYTES, MAX_RETAINED_CAPACITY};
use super::{Activity, Client};
use crate::net::frontend::conversation::Conversation;
use bytes::BytesMut;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep_until, Instant};

impl<C: Conversation> Client<C> {
    /// Writes the contents of the write buffer.
    ///
    /// # Errors
    /// Returns the errors of [`Self::write`].
    pub(super) async fn flush(&mut self) -> io::Result<()> {
        let bytes = self.write_buffer.split();
        if bytes.is_empty() {
            return Ok(());
        }
        if bytes.len() > MAX_RETAINED_CAPACITY {
            self.write_buffer = BytesMut::new();
        }
        self.write(&bytes).await
    }

    /// Writes bytes to the client.
    ///
    /// # Errors
    /// Returns an error if the connection has failed, or the client accepts no bytes for too long.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.set_activity(Activity::Writing);
        // Usually the socket buffer takes all bytes at once.
        let mut remaining = match self.socket.try_write(bytes) {
            Ok(written) => &bytes[written..],
            Err(_) => bytes,
        };
        let mut last_progress_at = Instant::now();
        while !remaining.is_empty() {
            let deadline = self.write_deadline(last_progress_at);
            tokio::select! {
                biased;
                written = self.socket.write(remaining) => {
                    remaining = &remaining[written?..];
                    last_progress_at = Instant::now();
                }
                () = sleep_until(deadline) => return Err(io::ErrorKind::TimedOut.into()),
                // The deadline depends on drains: compute it again.
                () = self.drains.changed() => {}
            }
        }
        if bytes.len() >= LONG_ANSWER_BYTES {
            self.state.long_answer_written_at = Some(Instant::now());
        }
        Ok(())
    }
}
