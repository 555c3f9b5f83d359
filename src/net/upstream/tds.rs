//! The client side of TDS, spoken with hosts.
//!
//! A query is cancelled by closing its connection, never by ATTENTION: the acknowledgement would not say
//! whether the query ran, and the connection would be occupied until it arrived.

use super::connection::ConnectionStatus;
use super::dialect::{Dialect, EncodedQuery, Query};
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use crate::pgwire;
use bytes::BytesMut;
use std::time::Duration;
use wheelpier_tds::{
    numbers, put_all_headers, put_message, put_text, version, Assembler, DataType, DoneKind, Encryption,
    Environment, Login, Notice, PacketType, Parameter, Prelogin, Procedure, Rpc, Status, Token, Tokens,
    Value, INITIAL_PACKET_BYTES, SP_EXECUTESQL,
};

/// Name of the parameter that carries a write's value.
const VALUE_PARAMETER: &str = "@value";
/// The user and the database of the login.
const USER: &str = "backend";
const DATABASE: &str = "store";
/// Packet size in bytes that the login requests: large, so that the longest answer takes few packets.
const REQUESTED_PACKET_BYTES: usize = 16_384;
/// Bytes that a procedure call takes besides its text and its value.
const MAX_CALL_OVERHEAD_BYTES: usize = 1024;
/// Bytes that an answer may contain besides its value: descriptions, notices and headers of chunks.
const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// The protocol on one connection.
#[derive(Debug)]
pub(super) struct Tds {
    assembler: Assembler,
    /// Current packet size.
    packet_bytes: usize,
    /// Whether LOGIN7 has been sent.
    login_sent: bool,
}

impl Tds {
    pub fn new() -> Self {
        let assembler = Assembler::new(pgwire::MAX_HOST_MESSAGE_BYTES + MAX_OVERHEAD_BYTES);
        Self { assembler, packet_bytes: INITIAL_PACKET_BYTES, login_sent: false }
    }

    fn write_login(&mut self, output: &mut BytesMut) {
        let login = Login {
            version: version::V7_4,
            packet_size: REQUESTED_PACKET_BYTES as u32,
            user: USER.to_owned(),
            app: "wheelpier".to_owned(),
            library: "wheelpier".to_owned(),
            database: DATABASE.to_owned(),
            ..Login::default()
        };
        let mut payload = BytesMut::new();
        login.put(&mut payload);
        put_message(output, PacketType::Login, Status::default(), &payload, self.packet_bytes);
        self.login_sent = true;
    }

    /// Checks the answer to LOGIN7, and applies the packet size that it sets.
    fn check_login(&mut self, payload: &[u8]) -> Result<(), Outcome> {
        let mut acknowledged = false;
        for token in Tokens::new(payload) {
            match token.map_err(|_| Outcome::ConnectFailed)? {
                Token::LoginAck(ack) => acknowledged = ack.version == version::V7_4,
                Token::Environment(Environment::PacketSize(size)) => {
                    self.packet_bytes = size;
                    self.assembler.set_packet_size(size);
                }
                Token::Error(notice) if numbers::REJECTED.contains(&notice.number) => {
                    return Err(Outcome::Overloaded)
                }
                Token::Error(_) => return Err(Outcome::ConnectFailed),
                _ => {}
            }
        }
        acknowledged.then_some(()).ok_or(Outcome::ConnectFailed)
    }

    fn write_batch(&self, text: &str, output: &mut BytesMut) {
        let mut payload = BytesMut::with_capacity(text.len() * 2 + 22);
        put_all_headers(&mut payload);
        put_text(&mut payload, text);
        put_message(output, PacketType::SqlBatch, Status::default(), &payload, self.packet_bytes);
    }

    /// Writes a read as a batch and a write as a procedure call, which carries the value as bytes instead of
    /// digits.
    fn write_statement(&self, statement: &Statement, timeout: Duration, output: &mut BytesMut) {
        match statement.with_value_parameter(VALUE_PARAMETER, timeout) {
            None => {
                let (before, timeout, after) = statement.with_timeout(timeout);
                let text = [&before, timeout.as_bytes(), &after].concat();
                self.write_batch(&String::from_utf8_lossy(&text), output);
            }
            Some((text, value)) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                let mut payload =
                    BytesMut::with_capacity(2 * text.len() + value.len() + MAX_CALL_OVERHEAD_BYTES);
                execute_sql(text, value).put(&mut payload);
                put_message(output, PacketType::Rpc, Status::default(), &payload, self.packet_bytes);
            }
        }
    }
}

/// Returns a call of `sp_executesql` with this statement text, and the value as its parameter.
fn execute_sql(text: String, value: Vec<u8>) -> Rpc {
    let parameter = |name: &str, kind, value| Parameter { name: name.to_owned(), output: false, kind, value };
    let declaration = format!("{VALUE_PARAMETER} varbinary(max)");
    let parameters = vec![
        parameter("", DataType::NVarChar, Value::Text(text)),
        parameter("", DataType::NVarChar, Value::Text(declaration)),
        parameter(VALUE_PARAMETER, DataType::VarBinaryMax, Value::Binary(value.into())),
    ];
    Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters }
}

impl Dialect for Tds {
    fn start_login(&mut self, output: &mut BytesMut) {
        let mut payload = BytesMut::new();
        Prelogin { version: (15, 0, 0), ..Prelogin::default() }.put(&mut payload);
        put_message(output, PacketType::Prelogin, Status::default(), &payload, self.packet_bytes);
    }

    fn continue_login(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, Outcome> {
        while let Some(message) = self.assembler.next(input).map_err(|_| Outcome::ConnectFailed)? {
            if message.kind != PacketType::Result {
                return Err(Outcome::ConnectFailed);
            }
            if self.login_sent {
                return self.check_login(&message.payload).map(|()| true);
            }
            match Prelogin::parse(&message.payload) {
                // The proxy does not encrypt: a host that requires it cannot be used.
                Ok(host) if matches!(host.encryption, Encryption::NotSupported | Encryption::Off) => {
                    self.write_login(output);
                }
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(false)
    }

    fn encode_query(&mut self, query: &Query<'_>) -> EncodedQuery {
        let mut encoded = EncodedQuery::default();
        let output = &mut encoded.head;
        match query {
            Query::Statement(statement, timeout) => self.write_statement(statement, *timeout, output),
            Query::LoadReport => self.write_batch("SHOW load", output),
            Query::Ping => self.write_batch("SELECT 1", output),
        }
        encoded
    }

    fn copies_statements(&self) -> bool {
        true
    }

    /// A message is bounded in length, and its packets are checked one by one.
    fn is_within_row(&self, _input: &[u8], _exchange: &Exchange) -> bool {
        self.assembler.has_partial_message()
    }

    fn buffered_bytes(&self) -> usize {
        self.assembler.buffered_bytes()
    }

    fn read_answer(&mut self, input: &mut BytesMut, exchange: &mut Exchange) -> Option<ConnectionStatus> {
        match self.assembler.next(input) {
            Ok(None) => return None,
            Ok(Some(message)) if message.kind == PacketType::Result => {
                apply_result(exchange, &message.payload);
            }
            _ => exchange.invalidate(),
        }
        let is_reusable = exchange.is_finished() && input.is_empty() && !self.assembler.has_partial_message();
        Some(if is_reusable { ConnectionStatus::Reusable } else { ConnectionStatus::Unusable })
    }
}

fn apply_result(exchange: &mut Exchange, payload: &[u8]) {
    for token in Tokens::new(payload) {
        match token {
            Ok(token) => apply_token(exchange, token),
            Err(_) => exchange.invalidate(),
        }
        if exchange.is_invalid() {
            return;
        }
    }
    exchange.record_end();
}

fn apply_token(exchange: &mut Exchange, token: Token) {
    match token {
        Token::Columns(columns) => exchange.record_row_description(columns.len()),
        Token::Row(mut values) => match (values.pop(), values.is_empty()) {
            (Some(Value::Binary(value)), true) => exchange.record_row(value),
            (Some(Value::Text(text)), true) => exchange.record_row(text.into()),
            _ => exchange.invalidate(),
        },
        Token::Info(notice) if notice.number == numbers::ROLE_AND_POSITION => {
            apply_position_notice(exchange, &notice.message)
        }
        Token::Error(notice) => exchange.record_error(error_outcome(&notice)),
        // After an error or a completed statement, DONE adds nothing, but must not contradict it.
        Token::Done(kind, done) if done.error || exchange.has_result() => {
            if done.attention || (kind == DoneKind::Batch && !done.error && done.has_row_count) {
                exchange.invalidate();
            }
        }
        Token::Done(..) => exchange.record_completion(),
        Token::Info(_) | Token::Environment(_) | Token::Order(_) | Token::ReturnStatus(_) => {}
        Token::LoginAck(_) | Token::ReturnValue(_) | Token::Features => exchange.invalidate(),
    }
}

/// Records the role and the position in a notice such as `role=replica applied_ms=1767225600123`.
fn apply_position_notice(exchange: &mut Exchange, text: &str) {
    for pair in text.split(' ') {
        match pair.split_once('=') {
            Some(("role", role)) => exchange.set_role(role),
            Some(("applied_ms", position)) => exchange.set_position(position),
            _ => exchange.invalidate(),
        }
    }
}

fn error_outcome(notice: &Notice) -> Outcome {
    match notice.number {
        numbers::READ_ONLY | numbers::BEHIND => Outcome::Misdirected,
        number if numbers::REJECTED.contains(&number) => Outcome::Overloaded,
        numbers::HOST_ERROR => Outcome::Error,
        code => {
            tracing::warn!(code, error = notice.message, "host answered with an unknown error code");
            Outcome::Error
        }
    }
}
