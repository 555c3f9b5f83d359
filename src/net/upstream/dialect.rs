//! Interface of the protocols spoken with hosts. Implementations work on byte buffers and do no I/O.

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
    /// A client's statement, and the timeout to pass to the host.
    Statement(&'a Statement, Duration),
    /// Requests the host's load report.
    LoadReport,
    /// Requests any answer, to see that the host responds.
    Ping,
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

    /// Writes a query.
    fn write_query(&mut self, query: &Query<'_>, output: &mut BytesMut);

    /// Consumes input of an answer and records it in `exchange`. Returns `None` until the answer has ended,
    /// then whether the connection can be reused.
    fn read_answer(&mut self, input: &mut BytesMut, exchange: &mut Exchange) -> Option<ConnectionStatus>;
}
