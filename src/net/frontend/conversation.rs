//! The interface of a client protocol: bytes in, typed events and bytes out, without sockets and without a
//! clock.
//!
//! The client actor owns the timeouts, the connection slot and the requests; a conversation decodes and
//! encodes messages. The actor takes one event at a time, so that the answers that a conversation gives by
//! itself are written in the order of requests.

use super::cancel::CancelKey;
use super::fault::Fault;
use crate::net::messages::Value;
use bytes::{Bytes, BytesMut};

/// An event that is decoded from a client's messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClientEvent {
    /// A message that needs no action of the actor: a part of the startup, or one that is skipped.
    NoRequest,
    /// The startup is complete.
    SessionOpened,
    /// A request without effect, which the conversation has answered itself.
    Answered,
    /// A check whether the proxy is ready, to be answered with [`Conversation::write_ready`] or a fault.
    ReadinessCheck,
    /// A statement, in the form of PostgreSQL's protocol even if the client speaks another one.
    Statement(Bytes),
    /// A statement that cannot be executed, to be answered with this fault.
    InvalidStatement(Fault),
    /// The client has terminated the session.
    Terminated,
    /// A cancel request for another connection; nothing follows it on this one.
    CancelRequest(CancelKey),
}

impl ClientEvent {
    /// Returns whether the message was handled without a host and keeps the session open.
    pub fn requests_nothing(&self) -> bool {
        matches!(self, Self::NoRequest | Self::Answered | Self::ReadinessCheck)
    }
}

/// The state of a client protocol on one connection.
pub(super) trait Conversation {
    /// Takes the next message from the front of `input`; `None` if it is incomplete. Answers of the
    /// conversation itself are appended to `output`.
    ///
    /// # Errors
    /// Returns an error if the rest of the stream cannot be read. The connection then ends with
    /// [`Self::write_fatal`].
    fn next_event(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, Fault>;

    /// Returns whether a part of a message was read.
    fn has_partial_message(&self, input: &BytesMut) -> bool;

    /// Returns the number of bytes of an incomplete message that the conversation holds outside of `input`.
    fn buffered_bytes(&self) -> usize;

    /// Returns whether a client may send further requests before it has the answers to earlier ones. Answers
    /// are written in the order of requests.
    fn is_pipelined(&self) -> bool;

    /// Takes a cancellation of the open request from the front of `input` and answers it. Returns whether
    /// there was one.
    ///
    /// # Errors
    /// Returns an error if the bytes in `input` violate the protocol.
    fn take_cancellation(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, Fault>;

    /// Answers [`ClientEvent::ReadinessCheck`]: the proxy is ready.
    fn write_ready(&mut self, output: &mut BytesMut);

    /// Answers a statement with its value.
    fn write_value(&mut self, value: &Value, output: &mut BytesMut);

    /// Returns a value in the form in which its messages are written unchanged, up to
    /// [`Self::end_large_value`]; `None` if it has to be encoded.
    fn encoded_value(&self, value: &Value) -> Option<Bytes>;

    /// Begins the answer with a value that is too long to be held in memory; its remainder is written
    /// unchanged. Returns whether the protocol supports that.
    fn begin_large_value(&mut self, value: &Value, output: &mut BytesMut) -> bool;

    /// Ends an answer that [`Self::begin_large_value`] or [`Self::encoded_value`] has begun.
    fn end_large_value(&mut self, output: &mut BytesMut);

    /// Answers a statement, or [`ClientEvent::ReadinessCheck`], with a fault.
    fn write_fault(&mut self, fault: &Fault, output: &mut BytesMut);

    /// Writes the error with which the connection ends.
    fn write_fatal(&mut self, fault: &Fault, output: &mut BytesMut);
}
