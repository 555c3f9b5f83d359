//! The state of a client connection apart from its buffers and its pipeline: the client's progress, times,
//! and whether the connection is about to end. Without I/O and without a clock: the actor passes the current
//! time.

use super::end::ConnectionEnd;
use super::limits::{
    ERROR_BACKOFF, FIRST_REQUEST_TIMEOUT, MAX_PROTOCOL_ERRORS, MESSAGE_BURST, MESSAGE_INTERVAL,
    MESSAGE_TIMEOUT, READS_PER_SIGNAL_TURN, STARTUP_TIMEOUT,
};
use tokio::time::Instant;

/// The state of a client connection.
pub(super) struct ClientState {
    /// Time at which the connection was accepted.
    pub accepted_at: Instant,
    /// Time at which bytes were last read.
    pub last_read_at: Instant,
    /// Time at which bytes were last read, or an answer was last written.
    pub last_activity_at: Instant,
    /// Time at which the latest long answer, or a part of it, was written.
    pub long_answer_written_at: Option<Instant>,
    /// Time at which the current incomplete message began; `None` if there is none.
    pub partial_since: Option<Instant>,
    /// The end of the pause after an invalid statement, a rejection for lack of memory, or too many messages
    /// that requested nothing; no further statement is read in it.
    pub paused_until: Option<Instant>,
    /// Time at which the messages so far that requested nothing would have been handled at their interval.
    message_share_used_until: Instant,
    /// Number of turns for which the connection was kept open because of unread bytes.
    pub unread_turns: u32,
    /// Number of reads since the last turn that was left to other events.
    reads_since_signal_turn: u32,
    /// Number of invalid statements so far.
    pub protocol_errors: u32,
    /// Whether the client has sent a request.
    pub has_sent_request: bool,
    /// Whether the client has closed its side.
    pub is_peer_closed: bool,
    /// Whether all slots were taken when the connection was accepted. Its requests are rejected for as long
    /// as they are.
    pub is_over_limit: bool,
    /// Reason why the connection ends once all requests are answered; nothing further is read if set.
    pub closing: Option<ConnectionEnd>,
}

impl ClientState {
    /// Returns the state of a connection that was just accepted.
    pub fn new(accepted_at: Instant, is_over_limit: bool) -> Self {
        Self {
            accepted_at,
            last_read_at: accepted_at,
            last_activity_at: accepted_at,
            long_answer_written_at: None,
            partial_since: None,
            paused_until: None,
            message_share_used_until: accepted_at,
            unread_turns: 0,
            reads_since_signal_turn: 0,
            protocol_errors: 0,
            has_sent_request: false,
            is_peer_closed: false,
            is_over_limit,
            closing: None,
        }
    }

    /// Returns whether a further statement may be read, provided that the pipeline has capacity.
    pub fn takes_statements(&self) -> bool {
        self.closing.is_none() && self.paused_until.is_none()
    }

    /// Returns whether the connection is about to end and complete statements that were read before are
    /// answered without being executed.
    pub fn rejects_statements(&self) -> bool {
        self.closing.as_ref().is_some_and(ConnectionEnd::leaves_statements)
    }

    /// Returns the time at which the startup has to be complete.
    pub fn startup_deadline(&self) -> Instant {
        self.accepted_at + STARTUP_TIMEOUT
    }

    /// Returns the time at which the incomplete message or the first statement has to be complete; `None` if
    /// neither is awaited.
    pub fn statement_deadline(&self) -> Option<Instant> {
        if self.closing.is_some() {
            return None;
        }
        match self.partial_since {
            Some(since) if self.has_sent_request => Some(since + MESSAGE_TIMEOUT),
            Some(_) => Some(self.accepted_at + MESSAGE_TIMEOUT),
            None => (!self.has_sent_request).then_some(self.accepted_at + FIRST_REQUEST_TIMEOUT),
        }
    }

    /// Returns whether the first request is overdue while a pause keeps what was read from being decoded.
    pub fn is_first_request_overdue(&self, now: Instant) -> bool {
        let is_awaited = !self.has_sent_request && self.paused_until.is_some() && self.closing.is_none();
        is_awaited && now >= self.accepted_at + FIRST_REQUEST_TIMEOUT
    }

    /// Records that bytes were read.
    pub fn record_read(&mut self, now: Instant) {
        self.last_activity_at = now;
        self.last_read_at = now;
        self.unread_turns = 0;
        self.reads_since_signal_turn += 1;
    }

    /// Returns whether the next turn has to be left to events other than bytes of the client, as every
    /// [`READS_PER_SIGNAL_TURN`] reads: a client that sends without a pause would keep them waiting for ever.
    pub fn take_signal_turn(&mut self) -> bool {
        let is_due = self.reads_since_signal_turn >= READS_PER_SIGNAL_TURN;
        if is_due {
            self.reads_since_signal_turn = 0;
        }
        is_due
    }

    /// Records a message that requested nothing of a host. Beyond [`MESSAGE_BURST`] the next message is delayed,
    /// so that a client that sends without a pause leaves the processor to others.
    pub fn record_message_without_request(&mut self, now: Instant) {
        let used_until = self.message_share_used_until.max(now) + MESSAGE_INTERVAL;
        self.message_share_used_until = used_until;
        if used_until >= now + MESSAGE_INTERVAL * MESSAGE_BURST {
            self.paused_until = Some(now + MESSAGE_INTERVAL * (MESSAGE_BURST / 2));
        }
    }

    /// Records that the client has closed its side. Statements that it sent before are no longer delayed by a
    /// pause.
    pub fn record_peer_closed(&mut self) {
        self.is_peer_closed = true;
        self.paused_until = None;
    }

    /// Records an invalid statement. The next one is delayed; after [`MAX_PROTOCOL_ERRORS`] the connection
    /// ends.
    pub fn record_protocol_error(&mut self, now: Instant) {
        self.protocol_errors += 1;
        self.paused_until = Some(now + ERROR_BACKOFF * self.protocol_errors);
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS && self.closing.is_none() {
            self.closing = Some(ConnectionEnd::ProtocolErrors { has_further: false });
        }
    }

    /// Leaves an invalid statement to the error with which the connection ends, if it ends for too many of
    /// them. Returns whether it does.
    pub fn leaves_to_final_error(&mut self) -> bool {
        let Some(ConnectionEnd::ProtocolErrors { has_further }) = &mut self.closing else { return false };
        *has_further = true;
        true
    }
}

#[cfg(test)]
mod tests;
