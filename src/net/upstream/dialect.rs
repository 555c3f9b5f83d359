//! A protocol as it is spoken with ledger hosts: bytes in, bytes out, no sockets.

use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use bytes::BytesMut;
use std::fmt::Debug;
use std::time::Duration;

/// What is asked on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Ask<'a> {
    /// A client's statement, and how long is waited for its answer.
    Statement(&'a Statement, Duration),
    /// The host's load report.
    Load,
    /// Nothing but an answer.
    Ping,
}

/// One side of the conversation on one connection.
pub(super) trait Dialect: Debug + Send {
    /// The first words.
    fn greet(&mut self, out: &mut BytesMut);

    /// Takes what has come in answer, and says what follows; whether the first request may come.
    ///
    /// # Errors
    /// When the host does not let the proxy in.
    fn greeted(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Outcome>;

    /// Writes a request.
    fn ask(&mut self, ask: &Ask<'_>, out: &mut BytesMut);

    /// Takes what has come so far; once the answer is over, whether the connection can be used again.
    fn heard(&mut self, read: &mut BytesMut, exchange: &mut Exchange) -> Option<bool>;
}
