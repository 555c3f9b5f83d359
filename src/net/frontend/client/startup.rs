//! The startup of a client connection, up to the open session.

use super::waiting::notified;
use super::{Activity, Client, ConnectionEnd, DrainSignals};
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::{ClientEvent, Conversation};
use crate::net::socket::is_ready;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

impl<C: Conversation> Client<C> {
    /// Serves the startup until the session is open.
    ///
    /// # Errors
    /// Returns an error if the connection has failed or carries only a cancel request, if the startup takes
    /// too long, and if the connection is evicted. First bytes that are unread at that time are still read.
    pub(super) async fn open_session(&mut self) -> Result<(), ConnectionEnd> {
        let context = self.context.clone();
        // A silent client must not delay the end of a drain.
        let mut drains = DrainSignals::of(&context);
        let drain_deadline = drains.startup_deadline(&context);
        tokio::pin!(drain_deadline);
        let eviction = self.admission.startup_eviction.take();
        let mut is_past_drain_deadline = false;
        let deadline = self.state.startup_deadline();
        loop {
            tokio::select! {
                // Polled first: a session that is open by now is kept.
                biased;
                opened = self.read_startup(eviction.as_deref()) => return opened,
                () = notified(eviction.as_deref()) => {}
                () = sleep_until(deadline) => {}
                () = &mut drain_deadline, if !is_past_drain_deadline => is_past_drain_deadline = true,
            }
            if !self.read_buffer.is_empty() || !self.has_bytes_to_read() {
                return Err(ConnectionEnd::Closed(CloseReason::StartupTimeout));
            }
            yield_now().await;
        }
    }

    /// Reads messages until the session is open. Cancel safe: bytes that were read stay in the read buffer.
    ///
    /// # Errors
    /// Returns an error as [`Self::open_session`] does; for the end of the startup only after a read that
    /// opened no session, since the timers are not polled while bytes keep arriving.
    async fn read_startup(&mut self, eviction: Option<&Notify>) -> Result<(), ConnectionEnd> {
        let mut has_read = false;
        loop {
            self.set_activity(Activity::Startup);
            while let Some(event) =
                self.conversation.next_event(&mut self.read_buffer, &mut self.write_buffer)?
            {
                self.flush().await?;
                match event {
                    ClientEvent::SessionOpened => return Ok(()),
                    ClientEvent::Terminated => return Err(ConnectionEnd::Closed(CloseReason::ClientLeft)),
                    ClientEvent::CancelRequest(key) => {
                        self.context.cancellations.cancel(key);
                        return Err(ConnectionEnd::Closed(CloseReason::CancelRequest));
                    }
                    _ => {}
                }
            }
            if has_read && self.is_startup_over(eviction).await {
                return Err(ConnectionEnd::Closed(CloseReason::StartupTimeout));
            }
            has_read = true;
            if self.socket.read_buf(&mut self.read_buffer).await? == 0 {
                return Err(ConnectionEnd::Closed(CloseReason::ClientLeft));
            }
            self.state.last_read_at = Instant::now();
            self.reserve_buffers()?;
        }
    }

    /// Returns whether the latest bytes of the startup arrived when it was due to end: its time was over, a
    /// drain left no more time, or the connection was evicted.
    async fn is_startup_over(&self, eviction: Option<&Notify>) -> bool {
        let deadline = self.state.startup_deadline();
        let deadline = self.context.startup_deadline().map_or(deadline, |drain| drain.min(deadline));
        self.state.last_read_at >= deadline || is_ready(notified(eviction)).await
    }
}
