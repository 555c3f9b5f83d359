//! The end of a client connection: its reason, the error that the client is sent, and the close itself.

use super::limits::{LINGER_TIMEOUT, LONG_ANSWER_LINGER_TIMEOUT, MAX_LINGER_BYTES, MAX_RETAINED_CAPACITY};
use super::{Activity, Client};
use crate::drain::connection;
use crate::net::frontend::close_reason::CloseReason;
use crate::net::frontend::conversation::Conversation;
use crate::net::frontend::fault::Fault;
use crate::net::socket::{has_unread_bytes, peer_closed};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, Instant};

/// Reason why a connection ends.
#[derive(Debug)]
pub(super) enum ConnectionEnd {
    /// Without an error for the client.
    Closed(CloseReason),
    /// With this fault; bytes that the client still sends are read and discarded for a while.
    Fault(Fault),
    /// With this fault, and closed at once since the slot is needed.
    Evicted(Fault),
    /// After too many invalid statements. The statements that were read are answered up to the next invalid
    /// one; the client is sent an error only if it has sent more.
    ProtocolErrors {
        /// Whether a further invalid statement was read, which the error answers.
        has_further: bool,
    },
}

impl ConnectionEnd {
    /// Returns whether complete statements behind the cause of the end are still decoded and answered. After
    /// a termination there are none, and after a protocol violation the rest of the stream cannot be read.
    pub fn leaves_statements(&self) -> bool {
        match self {
            Self::Closed(reason) => {
                matches!(reason, CloseReason::Drained | CloseReason::FirstStatementTimeout)
            }
            Self::Fault(fault) => matches!(fault, Fault::Rejected(_)),
            Self::Evicted(_) => false,
            Self::ProtocolErrors { has_further } => !has_further,
        }
    }
}

impl From<io::Error> for ConnectionEnd {
    fn from(error: io::Error) -> Self {
        Self::Closed(CloseReason::Io(error.kind()))
    }
}

impl From<Fault> for ConnectionEnd {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

/// The error with which a connection ends.
struct FatalError {
    fault: Fault,
    /// Whether bytes that the client still sends are read and discarded for a while.
    lingers: bool,
}

impl<C: Conversation> Client<C> {
    /// Writes the error with which the connection ends, if any, and closes the connection.
    pub(super) async fn close(&mut self, end: ConnectionEnd) {
        let (reason, fatal_error) = self.fatal_error(end);
        self.admission.entry.log_close(&reason, self.context.is_draining());
        self.set_activity(Activity::Ending);
        let lingers = fatal_error.as_ref().is_none_or(|error| error.lingers);
        if let Some(error) = fatal_error {
            self.write_fatal_error(&error.fault).await;
            let _ = self.socket.shutdown().await;
            if lingers {
                let _ = timeout(self.linger_timeout(), self.discard_unread()).await;
                return;
            }
        }
        let _ = self.socket.shutdown().await;
        // Closing a socket with unread bytes resets the connection, and so do bytes that arrive afterwards.
        // That discards answers that the system has not sent yet. So the client is given time to see the end
        // of the stream and to close its side.
        if lingers && self.may_have_unsent_bytes() {
            let _ = timeout(self.limit_to_drain(LONG_ANSWER_LINGER_TIMEOUT), peer_closed(&self.socket)).await;
        } else if lingers && has_unread_bytes(&self.socket) {
            let _ = timeout(self.linger_timeout(), peer_closed(&self.socket)).await;
        }
    }

    /// Returns whether a part of a long answer may still be in the system's send buffer.
    fn may_have_unsent_bytes(&self) -> bool {
        let written_at = self.state.long_answer_written_at;
        written_at.is_some_and(|written_at| written_at.elapsed() < LONG_ANSWER_LINGER_TIMEOUT)
    }

    /// Returns the reason for the log and the error for the client, if there is one.
    fn fatal_error(&self, end: ConnectionEnd) -> (CloseReason, Option<FatalError>) {
        match end {
            ConnectionEnd::Closed(reason) => (reason, None),
            ConnectionEnd::Fault(fault) => {
                (CloseReason::Fault(fault.clone()), Some(FatalError { fault, lingers: true }))
            }
            ConnectionEnd::Evicted(fault) => {
                (CloseReason::Fault(fault.clone()), Some(FatalError { fault, lingers: false }))
            }
            // Everything was answered: another error would be a second answer to the last statement.
            ConnectionEnd::ProtocolErrors { has_further: false } if self.read_buffer.is_empty() => {
                (CloseReason::ProtocolErrors, None)
            }
            ConnectionEnd::ProtocolErrors { .. } => {
                let fault = Fault::ProtocolViolation("too many statements made no sense".to_owned());
                (CloseReason::ProtocolErrors, Some(FatalError { fault, lingers: true }))
            }
        }
    }

    /// Writes a fatal error. The read buffer is released first, since others may wait for its memory.
    async fn write_fatal_error(&mut self, fault: &Fault) {
        self.context.counters.statement_malformed();
        self.record_rejection(fault);
        self.conversation.write_fatal(fault, &mut self.write_buffer);
        self.read_buffer = BytesMut::new();
        let _ = self.reserve_buffers();
        let _ = self.flush().await;
    }

    /// Returns how long the connection stays open after its last bytes, so that they reach the client:
    /// [`LINGER_TIMEOUT`], but not beyond the time at which a drain closes connections by force.
    fn linger_timeout(&self) -> Duration {
        self.limit_to_drain(LINGER_TIMEOUT)
    }

    /// Returns `timeout`, but not beyond the time at which a drain closes connections by force.
    fn limit_to_drain(&self, timeout: Duration) -> Duration {
        let force_close_at = connection::force_close_at(self.context.active_drains());
        let remaining = force_close_at.map(|force_close_at| {
            self.context.clock.instant(force_close_at).saturating_duration_since(Instant::now())
        });
        timeout.min(remaining.unwrap_or(timeout))
    }

    /// Reads and discards bytes that the client still sends, up to [`MAX_LINGER_BYTES`].
    async fn discard_unread(&mut self) -> io::Result<()> {
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 {
            self.read_buffer.clear();
            self.read_buffer.reserve(MAX_RETAINED_CAPACITY);
            match self.socket.read_buf(&mut self.read_buffer).await? {
                0 => break,
                length => remaining = remaining.saturating_sub(length),
            }
        }
        Ok(())
    }
}
