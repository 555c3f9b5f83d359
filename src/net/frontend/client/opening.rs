//! The opening of a client connection: until it has said who it is, for as long as that may take.

use super::waiting::notified;
use super::{Activity, Client, DrainSignals, Over, STARTUP};
use crate::interface::RequestId;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::{Conversation, Step};
use crate::net::socket::has_unread_bytes;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// Up to the open session, for as long as that may take.
    pub(super) async fn open_session(&mut self) -> Result<(), Over> {
        let acceptor = self.acceptor.clone();
        // Who stays silent must not hold up the end of a drain.
        let mut drains = DrainSignals::of(&acceptor);
        let last_call = drains.startup_ends(&acceptor);
        tokio::pin!(last_call);
        let unauthenticated = self.admission.unauthenticated.take();
        let mut drained_out = false;
        let by = self.came + STARTUP;
        loop {
            tokio::select! {
                // Whoever has said who it is by now stays.
                biased;
                opened = self.open() => return opened,
                () = notified(unauthenticated.as_deref()) => {}
                () = sleep_until(by) => {}
                () = &mut last_call, if !drained_out => drained_out = true,
            }
            if !self.read.is_empty() || !has_unread_bytes(&self.stream) {
                return Err(Over::Closed(CloseReason::StartupTimeout));
            }
            yield_now().await;
        }
    }

    /// Up to the open session.
    async fn open(&mut self) -> Result<(), Over> {
        loop {
            self.describe(Activity::Opening);
            while let Some(step) = self.conversation.next(&mut self.read, &mut self.out)? {
                self.flush().await?;
                match step {
                    Step::Opened => return Ok(()),
                    Step::Leaves => return Err(Over::Closed(CloseReason::ClientLeft)),
                    Step::Cancels(key) => {
                        self.acceptor.cancellations.cancel(key);
                        return Err(Over::Closed(CloseReason::CancelRequest));
                    }
                    _ => {}
                }
            }
            if self.stream.read_buf(&mut self.read).await? == 0 {
                return Err(Over::Closed(CloseReason::ClientLeft));
            }
            self.read_at = Instant::now();
            self.hold()?;
        }
    }
}
