//! The interface of a protocol towards hosts: bytes in, bytes out, no sockets.

use super::connection::ConnectionStatus;
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use bytes::BytesMut;
use std::fmt::Debug;
use std::time::Duration;

/// A query to a host.
#[derive(Clone, Copy, Debug)]
pub(super) enum Query<'a> {
    /// A client's statement, with the timeout that the host is told.
    Statement(&'a Statement, Duration),
    /// The host's load report.
    LoadReport,
    /// Any answer.
    Ping,
}

/// The client's side of a protocol on one connection.
pub(super) trait Dialect: Debug + Send {
    /// Writes the first message of the login.
    fn start_login(&mut self, out: &mut BytesMut);

    /// Consumes what has been read in answer to the login, and writes the next message of it. Returns whether the login is
    /// complete.
    ///
    /// # Errors
    /// The attempt's outcome, when the host does not accept the login.
    fn continue_login(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Outcome>;

    /// Writes a query.
    fn write_query(&mut self, query: &Query<'_>, out: &mut BytesMut);

    /// Consumes what has been read of an answer. Returns none until the answer has ended, then whether the connection can
    /// be reused.
    fn read_answer(&mut self, read: &mut BytesMut, exchange: &mut Exchange) -> Option<ConnectionStatus>;
}
