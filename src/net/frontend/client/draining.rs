//! What a drain means for a client's actor: when one begins or ends, what the connection may do then, and how long a write
//! may take. The decisions are [`crate::drain::connection`]'s.

use super::{Client, CloseReason, Over, Reply, WRITE};
use crate::drain::connection::{self, ConnectionState, Permission, Verdict};
use crate::interface::RequestId;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::Acceptor;
use bytes::BytesMut;
use std::future::pending;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Past the end of a drain a client is given up that has taken nothing of what is written for so long.
const STALLED: Duration = Duration::from_secs(1);

/// Told when a drain begins or is taken back.
pub(super) struct DrainSignals(watch::Receiver<()>);

impl DrainSignals {
    pub fn of(acceptor: &Acceptor) -> Self {
        Self(acceptor.desk.drain_changes.subscribe())
    }

    /// Returns once a drain has begun, or has been taken back.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            pending().await
        }
    }

    /// Returns once a connection that has not said who it is has had its time under a drain.
    pub async fn startup_ends(&mut self, acceptor: &Acceptor) {
        loop {
            match acceptor.opens() {
                Some(by) => {
                    sleep_until(by).await;
                    if acceptor.is_draining() {
                        return;
                    }
                }
                None => self.changed().await,
            }
        }
    }
}

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// What the connection may do now; `begun` says whether part of a message is there.
    pub(super) fn verdict(&self, begun: bool) -> Verdict {
        if !self.acceptor.is_draining() {
            return Verdict::OPEN;
        }
        let clock = self.acceptor.clock;
        let state = ConnectionState { quiet: clock.timestamp(self.quiet), asked: self.asked, begun };
        connection::verdict(self.acceptor.active_drains(), state, clock.now())
    }

    /// Whether nothing further may be read.
    pub(super) fn is_finishing(&self) -> bool {
        self.verdict(false).permission >= Permission::Finishing
    }

    /// All that is owed is answered at once: the drain is past its end, and the client has sent more.
    pub(super) fn finish_now(&mut self) {
        if self.closing.is_none() {
            self.closing = Some(Over::Closed(CloseReason::Drained));
            let now = self.acceptor.clock.now();
            self.pipeline.push_answer(Reply::Bytes(BytesMut::new()), now);
        }
    }

    /// By when the client has to take something of what is written, which it last did at that moment.
    pub(super) fn write_ends(&self, last_taken: Instant) -> Instant {
        let clock = self.acceptor.clock;
        let drained =
            connection::write_ends(self.acceptor.active_drains(), clock.timestamp(last_taken), STALLED);
        let patient = last_taken + WRITE;
        drained.map_or(patient, |by| clock.instant(by).min(patient))
    }
}
