//! Interface of the protocols spoken with hosts. Implementations work on byte buffers and do no I/O.

use super::connection::ConnectionStatus;
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use bytes::{Bytes, BytesMut};
use std::fmt::Debug;
use std::time::Duration;

/// A query to a host.
#[derive(Clone, Copy, Debug)]
pub(super) enum Query<'a> {
    /// A client's statement, and the timeout to pass to the host.
    Statement(&'a Statement, Duration),
    /// Requests the host's load report.
    LoadReport,
    /// Requests any answer, to see that the host responds.
    Ping,
}

/// An encoded query. Its parts are written one after the other.
#[derive(Debug, Default)]
pub(super) struct EncodedQuery {
    pub head: BytesMut,
    /// The middle of a long statement, which all attempts share.
    pub body: Bytes,
    pub tail: BytesMut,
}

impl EncodedQuery {
    /// Returns the parts in the order in which they are written.
    pub fn parts(&self) -> [&[u8]; 3] {
        [&self.head, &self.body, &self.tail]
    }
}

/// Client side of a protocol on one connection.
pub(super) trait Dialect: Debug + Send {
    /// Writes the first message of the login.
    fn start_login(&mut self, output: &mut BytesMut);

    /// Consumes input that answers the login, and writes the login's next message, if any. Returns whether
    /// the login is complete.
    ///
    /// # Errors
    /// Returns the attempt's outcome if the host does not accept the login.
    fn continue_login(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, Outcome>;

    /// Encodes a query.
    fn encode_query(&mut self, query: &Query<'_>) -> EncodedQuery;

    /// Returns whether an encoded query has a copy of its whole statement, however long it is.
    fn copies_statements(&self) -> bool {
        false
    }

    /// Returns whether a part of a well-formed row has arrived and the rest is awaited.
    fn is_within_row(&self, input: &[u8], exchange: &Exchange) -> bool;

    /// Returns the capacity in bytes of buffers that hold a part of an answer outside of the input.
    fn buffered_bytes(&self) -> usize;

    /// Consumes input of an answer and records it in `exchange`. Returns `None` until the answer has ended,
    /// then whether the connection can be reused.
    fn read_answer(&mut self, input: &mut BytesMut, exchange: &mut Exchange) -> Option<ConnectionStatus>;
}
