//! The client side of PostgreSQL's protocol 3, spoken with hosts.

use super::connection::ConnectionStatus;
use super::dialect::{Dialect, EncodedQuery, Query};
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use crate::pgwire::{self, BackendMessage};
use bytes::BytesMut;
use std::time::Duration;

/// The user and the database of the login.
const USER: &str = "backend";
const DATABASE: &str = "store";
/// Number of bytes before the value in a row of one column: the message's type and length, the number of
/// columns and the value's length.
const BYTES_BEFORE_VALUE: usize = 5 + 2 + 4;

/// Number of bytes of a statement up to which it is copied into one buffer with the rest of its message, and
/// written in one call.
const COPIED_STATEMENT_BYTES: usize = 4 * 1024;

/// SQLSTATE codes that hosts answer with.
mod sqlstate {
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    /// The host has not applied the log far enough for the read.
    pub const BEHIND: &str = "72000";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    pub const INTERNAL_ERROR: &str = "XX000";
}

/// The protocol on one connection. Stateless.
#[derive(Debug, Default)]
pub(super) struct Postgres;

impl Dialect for Postgres {
    fn start_login(&mut self, output: &mut BytesMut) {
        pgwire::startup(output, USER, DATABASE);
    }

    fn continue_login(&mut self, input: &mut BytesMut, _output: &mut BytesMut) -> Result<bool, Outcome> {
        while let Some((message, length)) =
            BackendMessage::parse(input).map_err(|_| Outcome::ConnectFailed)?
        {
            match message {
                BackendMessage::Error(fields) if fields.code == sqlstate::TOO_MANY_CONNECTIONS => {
                    return Err(Outcome::Overloaded)
                }
                BackendMessage::Error(_) | BackendMessage::Authentication(false) => {
                    return Err(Outcome::ConnectFailed);
                }
                _ => {}
            }
            let ready = message == BackendMessage::Ready;
            let _ = input.split_to(length);
            if ready {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn encode_query(&mut self, query: &Query<'_>) -> EncodedQuery {
        let mut encoded = EncodedQuery::default();
        match query {
            Query::Statement(statement, timeout) => return encode_statement(statement, *timeout),
            Query::LoadReport => pgwire::query(&mut encoded.head, b"SHOW load"),
            Query::Ping => pgwire::query(&mut encoded.head, b"SELECT 1"),
        }
        encoded
    }

    fn is_within_row(&self, input: &[u8], exchange: &Exchange) -> bool {
        exchange.is_row_expected() && BackendMessage::is_partial_row(input)
    }

    fn buffered_bytes(&self) -> usize {
        0
    }

    fn read_answer(&mut self, input: &mut BytesMut, exchange: &mut Exchange) -> Option<ConnectionStatus> {
        loop {
            if exchange.may_stream_row() {
                if BackendMessage::may_be_large_row(input) {
                    return None;
                }
                if let Some(length) = BackendMessage::large_row(input) {
                    exchange.large_row_bytes = Some(length);
                    return Some(ConnectionStatus::Reusable);
                }
            }
            let Ok(parsed) = BackendMessage::parse(input) else {
                exchange.invalidate();
                return Some(ConnectionStatus::Unusable);
            };
            let (message, length) = parsed?;
            let is_fatal = matches!(&message, BackendMessage::Error(fields) if fields.fatal);
            apply_message(exchange, &input[..length], message);
            let _ = input.split_to(length);
            if is_fatal {
                // A fatal error ends the answer.
                exchange.record_end();
                return Some(ConnectionStatus::Unusable);
            }
            if exchange.is_finished() {
                let has_more = !input.is_empty();
                return Some(if has_more { ConnectionStatus::Unusable } else { ConnectionStatus::Reusable });
            }
            if exchange.is_invalid() {
                return Some(ConnectionStatus::Unusable);
            }
        }
    }
}

/// Encodes a statement. Only its first [`COPIED_STATEMENT_BYTES`] and what follows the timeout are copied.
fn encode_statement(statement: &Statement, timeout: Duration) -> EncodedQuery {
    let (mut before, timeout, after) = statement.with_timeout(timeout);
    let length = before.len() + timeout.len() + after.len();
    let copied = before.split_to(before.len().min(COPIED_STATEMENT_BYTES));
    let mut encoded = EncodedQuery::default();
    pgwire::query_start(&mut encoded.head, length);
    encoded.head.extend_from_slice(&copied);
    let end = if before.is_empty() { &mut encoded.head } else { &mut encoded.tail };
    end.extend_from_slice(timeout.as_bytes());
    end.extend_from_slice(&after);
    end.extend_from_slice(&[pgwire::TEXT_END]);
    encoded.body = before;
    encoded
}

fn apply_message(exchange: &mut Exchange, raw: &[u8], message: BackendMessage<'_>) {
    match message {
        BackendMessage::Parameter("applied_ms", position) => exchange.set_position(position),
        BackendMessage::Parameter("role", role) => exchange.set_role(role),
        // Other parameters and notices are ignored.
        BackendMessage::Parameter(..) | BackendMessage::Other(b'N') => {}
        BackendMessage::RowDescription(columns) => {
            exchange.record_row_description(columns.into());
            exchange.keep_message(raw);
        }
        BackendMessage::DataRow(columns) => match columns[..] {
            [Some(value)] => {
                let start = exchange.keep_message(raw) + BYTES_BEFORE_VALUE;
                exchange.record_row_in_messages(start..start + value.len());
            }
            _ => exchange.invalidate(),
        },
        BackendMessage::CommandComplete => {
            exchange.record_completion();
            exchange.keep_message(raw);
        }
        BackendMessage::Error(fields) => exchange.record_error(error_outcome(fields.code, fields.message)),
        BackendMessage::Ready => exchange.record_end(),
        _ => exchange.invalidate(),
    }
}

fn error_outcome(code: &str, message: &str) -> Outcome {
    match code {
        sqlstate::READ_ONLY_TRANSACTION | sqlstate::BEHIND => Outcome::Misdirected,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => Outcome::Overloaded,
        sqlstate::INTERNAL_ERROR => Outcome::Error,
        code => {
            tracing::warn!(code, error = message, "host answered with an unknown error code");
            Outcome::Error
        }
    }
}
