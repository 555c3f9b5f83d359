//! What is said to a ledger host that speaks TDS, and what it answers.
//!
//! A request is given up by closing its connection, never by ATTENTION: the acknowledgement would say nothing
//! about whether it ran, and keep the connection until it came.

use super::dialect::{Ask, Dialect};
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::net::messages::Statement;
use crate::pgwire;
use bytes::BytesMut;
use std::time::Duration;
use wheelpier_tds::{
    numbers, put_all_headers, put_message, put_text, version, Assembler, DataType, DoneKind, Encryption,
    Environment, Login, Notice, PacketType, Parameter, Prelogin, Procedure, Rpc, Status, Token, Tokens,
    Value, PACKET_SIZE, SP_EXECUTESQL,
};

/// What a write's value is called.
const VALUE: &str = "@value";
const USER: &str = "backend";
const DATABASE: &str = "store";
/// Asked for at the login: an answer at its longest then takes few packets.
const PACKET: usize = 16_384;
/// What an answer may have beside its value: descriptions, notices, the heads of chunks.
const FRAME: usize = 16 * 1024;

#[derive(Debug)]
pub(super) struct Tds {
    assembler: Assembler,
    packet: usize,
    /// LOGIN7 has been sent.
    login: bool,
}

impl Tds {
    pub fn new() -> Self {
        let assembler = Assembler::new(pgwire::MOST_ANSWER + FRAME);
        Self { assembler, packet: PACKET_SIZE, login: false }
    }

    fn log_in(&mut self, out: &mut BytesMut) {
        let login = Login {
            version: version::V7_4,
            packet_size: PACKET as u32,
            user: USER.to_owned(),
            app: "wheelpier".to_owned(),
            library: "wheelpier".to_owned(),
            database: DATABASE.to_owned(),
            ..Login::default()
        };
        let mut payload = BytesMut::new();
        login.put(&mut payload);
        put_message(out, PacketType::Login, Status::default(), &payload, self.packet);
        self.login = true;
    }

    /// The answer to the login: whether it lets the proxy in.
    fn logged_in(&mut self, payload: &[u8]) -> Result<(), Outcome> {
        let mut acknowledged = false;
        for token in Tokens::new(payload) {
            match token.map_err(|_| Outcome::ConnectFailed)? {
                Token::LoginAck(ack) => acknowledged = ack.version == version::V7_4,
                Token::Environment(Environment::PacketSize(size)) => {
                    self.packet = size;
                    self.assembler.agree(size);
                }
                Token::Error(notice) if numbers::FULL.contains(&notice.number) => {
                    return Err(Outcome::Overloaded)
                }
                Token::Error(_) => return Err(Outcome::ConnectFailed),
                _ => {}
            }
        }
        acknowledged.then_some(()).ok_or(Outcome::ConnectFailed)
    }

    fn batch(&self, text: &str, out: &mut BytesMut) {
        let mut payload = BytesMut::with_capacity(text.len() * 2 + 22);
        put_all_headers(&mut payload);
        put_text(&mut payload, text);
        put_message(out, PacketType::SqlBatch, Status::default(), &payload, self.packet);
    }

    /// A read goes as a batch; a write as a call, so that its value goes as it is and not as digits.
    fn statement(&self, statement: &Statement, wait: Duration, out: &mut BytesMut) {
        match statement.with_value_parameter(VALUE, wait) {
            None => self.batch(&String::from_utf8_lossy(&statement.with_timeout(wait)), out),
            Some((text, value)) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                let declared = format!("{VALUE} varbinary(max)");
                let parameter = |name: &str, kind, value| {
                    let (name, output) = (name.to_owned(), false);
                    Parameter { name, output, kind, value }
                };
                let parameters = vec![
                    parameter("", DataType::Text, Value::Text(text)),
                    parameter("", DataType::Text, Value::Text(declared)),
                    parameter(VALUE, DataType::LongBinary, Value::Binary(value.into())),
                ];
                let procedure = Procedure::Number(SP_EXECUTESQL);
                let mut payload = BytesMut::new();
                Rpc { procedure, options: 0, parameters }.put(&mut payload);
                put_message(out, PacketType::Rpc, Status::default(), &payload, self.packet);
            }
        }
    }
}

impl Dialect for Tds {
    fn greet(&mut self, out: &mut BytesMut) {
        let mut payload = BytesMut::new();
        Prelogin { version: (15, 0, 0), ..Prelogin::default() }.put(&mut payload);
        put_message(out, PacketType::Prelogin, Status::default(), &payload, self.packet);
    }

    fn greeted(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Outcome> {
        while let Some(message) = self.assembler.next(read).map_err(|_| Outcome::ConnectFailed)? {
            if message.kind != PacketType::Result {
                return Err(Outcome::ConnectFailed);
            }
            if self.login {
                return self.logged_in(&message.payload).map(|()| true);
            }
            match Prelogin::parse(&message.payload) {
                // A host that does not go on without encryption is none for this proxy.
                Ok(host) if matches!(host.encryption, Encryption::NotSupported | Encryption::Off) => {
                    self.log_in(out);
                }
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(false)
    }

    fn ask(&mut self, ask: &Ask<'_>, out: &mut BytesMut) {
        match ask {
            Ask::Statement(statement, wait) => self.statement(statement, *wait, out),
            Ask::Load => self.batch("SHOW load", out),
            Ask::Ping => self.batch("SELECT 1", out),
        }
    }

    fn heard(&mut self, read: &mut BytesMut, exchange: &mut Exchange) -> Option<bool> {
        match self.assembler.next(read) {
            Ok(None) => return None,
            Ok(Some(message)) if message.kind == PacketType::Result => {
                take_all(exchange, &message.payload);
            }
            _ => exchange.spoil(),
        }
        Some(exchange.over() && read.is_empty() && !self.assembler.begun())
    }
}

fn take_all(exchange: &mut Exchange, payload: &[u8]) {
    for token in Tokens::new(payload) {
        match token {
            Ok(token) => take(exchange, token),
            Err(_) => exchange.spoil(),
        }
        if exchange.spoilt() {
            return;
        }
    }
    exchange.ready();
}

fn take(exchange: &mut Exchange, token: Token) {
    match token {
        Token::Columns(columns) => exchange.described(columns.len()),
        Token::Row(mut values) => match (values.pop(), values.is_empty()) {
            (Some(Value::Binary(value)), true) => exchange.row(value),
            (Some(Value::Text(text)), true) => exchange.row(text.into()),
            _ => exchange.spoil(),
        },
        Token::Info(notice) if notice.number == numbers::STAMP => stamp(exchange, &notice.message),
        Token::Error(notice) => exchange.failed(outcome(&notice)),
        // An error's own end says no more than the error did.
        Token::Done(kind, done) if done.error || exchange.told() => {
            if done.attention || (kind == DoneKind::Batch && !done.error && done.counted) {
                exchange.spoil();
            }
        }
        Token::Done(..) => exchange.complete(),
        Token::Info(_) | Token::Environment(_) | Token::Order(_) | Token::ReturnStatus(_) => {}
        Token::LoginAck(_) | Token::ReturnValue(_) | Token::Features => exchange.spoil(),
    }
}

/// `role=replica applied_ms=1767225600123`: see the design note on TDS.
fn stamp(exchange: &mut Exchange, text: &str) {
    for word in text.split(' ') {
        match word.split_once('=') {
            Some(("role", role)) => exchange.stand(role),
            Some(("applied_ms", position)) => exchange.stamp(position),
            _ => exchange.spoil(),
        }
    }
}

fn outcome(notice: &Notice) -> Outcome {
    match notice.number {
        numbers::READ_ONLY | numbers::BEHIND => Outcome::Misdirected,
        number if numbers::FULL.contains(&number) => Outcome::Overloaded,
        numbers::HOST_ERROR => Outcome::Error,
        number => {
            tracing::warn!("a ledger host answered {number}: {}", notice.message);
            Outcome::Error
        }
    }
}
