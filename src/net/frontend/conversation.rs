//! The client's side of a protocol: bytes in, typed events and bytes out, no sockets and no clock.
//!
//! The client's actor owns times, the connection slot and the requests; a conversation owns what bytes mean. It is asked for
//! one event at a time, so that what it answers itself is written in the order of requests.

use super::cancel::CancelKey;
use super::fault::Fault;
use crate::net::messages::Value;
use bytes::{Bytes, BytesMut};

/// What a client has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClientEvent {
    /// A message that needs nothing from the actor: a part of the startup, or one that is skipped.
    NoRequest,
    /// The startup is complete.
    SessionOpened,
    /// A request that was answered by the protocol itself and has no effect.
    Answered,
    /// The question whether the proxy is ready, to be answered by [`Conversation::write_ready`] or as a fault.
    ReadinessCheck,
    /// A statement, in the form of PostgreSQL's protocol whatever protocol it came in.
    Statement(Bytes),
    /// A statement that cannot be executed, to be answered as this fault.
    InvalidStatement(Fault),
    /// The client has terminated the session.
    Terminated,
    /// A cancel request for another connection; nothing follows it on this one.
    CancelRequest(CancelKey),
}

/// The protocol's state on one connection.
pub(super) trait Conversation {
    /// Takes the next message from the front of the read buffer; `None` while it is not complete. What the protocol itself
    /// answers is appended to `out`.
    ///
    /// # Errors
    /// When nothing that follows can be read. The connection ends with [`Self::write_fatal`].
    fn next_event(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientEvent>, Fault>;

    /// Returns whether part of a message was read.
    fn has_partial_message(&self, read: &BytesMut) -> bool;

    /// Returns how many bytes it keeps of a message that is not complete.
    fn buffered_bytes(&self) -> usize;

    /// Returns whether a client may send requests before it has the answers to earlier ones, which are answered in order.
    fn is_pipelined(&self) -> bool;

    /// Takes a cancellation of the open request from the front of the read buffer and answers it. Returns whether there was
    /// one.
    ///
    /// # Errors
    /// When what was read violates the protocol.
    fn take_cancellation(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Fault>;

    /// Answers [`ClientEvent::ReadinessCheck`]: the proxy is ready.
    fn write_ready(&mut self, out: &mut BytesMut);

    /// Answers a statement with its value.
    fn write_value(&mut self, value: &Value, out: &mut BytesMut);

    /// Begins the answer with a value that is too long to be held; its remainder is written unchanged. Returns whether the
    /// protocol can do so.
    fn begin_large_value(&mut self, value: &Value, out: &mut BytesMut) -> bool;

    /// Ends an answer that [`Self::begin_large_value`] has begun.
    fn end_large_value(&mut self, out: &mut BytesMut);

    /// Answers a statement, or [`ClientEvent::ReadinessCheck`], with a fault.
    fn write_fault(&mut self, fault: &Fault, out: &mut BytesMut);

    /// Writes the error that the connection ends with.
    fn write_fatal(&mut self, fault: &Fault, out: &mut BytesMut);
}
