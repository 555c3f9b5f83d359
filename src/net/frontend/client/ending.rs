//! The end of a client connection: its last words, and what still comes meanwhile.

use super::{Activity, Client, Over, LINGER, MAX_LINGER_BYTES, RETAINED_CAPACITY};
use crate::drain::connection;
use crate::interface::RequestId;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::socket::{has_unread_bytes, peer_closed};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, Instant};

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// Says why the connection ends, if there is something to say, and closes it.
    pub(super) async fn end(&mut self, over: Over) {
        let (reason, last_words) = self.last_words(over);
        self.admission.entry.log_close(&reason, self.acceptor.is_draining());
        self.describe(Activity::Ending);
        let linger = last_words.as_ref().is_none_or(|(_, linger)| *linger);
        if let Some((fault, _)) = last_words {
            self.acceptor.counters.malformed();
            self.rejected(&fault);
            self.conversation.end(&fault, &mut self.out);
            // What it had begun is of no more use: others may be waiting for the room.
            self.read = BytesMut::new();
            let _ = self.hold();
            let _ = self.flush().await;
            let _ = self.stream.shutdown().await;
            if linger {
                let _ = timeout(self.linger(), self.drop_rest()).await;
                return;
            }
        }
        let _ = self.stream.shutdown().await;
        if linger && has_unread_bytes(&self.stream) {
            // To close on what is unread resets the connection, and takes with it the answers that the system has not
            // sent yet: the client sees the end behind them first, and goes.
            let _ = timeout(self.linger(), peer_closed(&self.stream)).await;
        }
    }

    /// Why the connection ends, and what its client is told, if anything: a fault, and whether what still comes is read
    /// after it.
    fn last_words(&self, over: Over) -> (CloseReason, Option<(Fault, bool)>) {
        match over {
            Over::Closed(reason) => (reason, None),
            Over::Fault(fault) => (CloseReason::Fault(fault.clone()), Some((fault, true))),
            Over::Seat(fault) => (CloseReason::Fault(fault.clone()), Some((fault, false))),
            // What was sent is answered: a further error would stand as a second answer to the last statement.
            Over::ProtocolErrors if self.read.is_empty() => (CloseReason::ProtocolErrors, None),
            Over::ProtocolErrors => {
                let fault = Fault::Broken("too many statements made no sense".to_owned());
                (CloseReason::ProtocolErrors, Some((fault, true)))
            }
        }
    }

    /// How long the connection is kept behind its last words, so that they arrive; not beyond the end of a drain.
    fn linger(&self) -> Duration {
        let cuts =
            connection::cuts(self.acceptor.active_drains()).map(|cuts| self.acceptor.clock.instant(cuts));
        let left = cuts.map(|cuts| cuts.saturating_duration_since(Instant::now()));
        LINGER.min(left.unwrap_or(LINGER))
    }

    /// Reads what still comes and drops it.
    async fn drop_rest(&mut self) -> io::Result<()> {
        let mut left = MAX_LINGER_BYTES;
        while left > 0 {
            self.read.clear();
            self.read.reserve(RETAINED_CAPACITY);
            match self.stream.read_buf(&mut self.read).await? {
                0 => break,
                read => left = left.saturating_sub(read),
            }
        }
        Ok(())
    }
}
