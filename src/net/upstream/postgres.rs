//! What is said to a ledger host that speaks PostgreSQL's protocol 3, and what it answers.

use super::dialect::{Ask, Dialect};
use super::exchange::Exchange;
use crate::interface::Outcome;
use crate::pgwire::{self, BackendMessage};
use bytes::BytesMut;

const USER: &str = "backend";
const DATABASE: &str = "store";
/// In a row of one column the value stands behind the message's head, the count and its own length.
const BEFORE_VALUE: usize = 5 + 2 + 4;

#[derive(Debug, Default)]
pub(super) struct Postgres;

impl Dialect for Postgres {
    fn greet(&mut self, out: &mut BytesMut) {
        pgwire::startup(out, USER, DATABASE);
    }

    fn greeted(&mut self, read: &mut BytesMut, _out: &mut BytesMut) -> Result<bool, Outcome> {
        while let Some((message, length)) = BackendMessage::parse(read).map_err(|_| Outcome::ConnectFailed)? {
            match message {
                BackendMessage::Error(fields) if fields.code == "53300" => return Err(Outcome::Overloaded),
                BackendMessage::Error(_) | BackendMessage::Authentication(false) => {
                    return Err(Outcome::ConnectFailed);
                }
                _ => {}
            }
            let ready = message == BackendMessage::Ready;
            let _ = read.split_to(length);
            if ready {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn ask(&mut self, ask: &Ask<'_>, out: &mut BytesMut) {
        match ask {
            Ask::Statement(statement, wait) => pgwire::query(out, &statement.with_timeout(*wait)),
            Ask::Load => pgwire::query(out, b"SHOW load"),
            Ask::Ping => pgwire::query(out, b"SELECT 1"),
        }
    }

    fn heard(&mut self, read: &mut BytesMut, exchange: &mut Exchange) -> Option<bool> {
        loop {
            if exchange.streams_row() {
                if BackendMessage::may_be_large_row(read) {
                    return None;
                }
                if let Some(length) = BackendMessage::large_row(read) {
                    exchange.large = Some(length);
                    return Some(true);
                }
            }
            let (message, length) = match BackendMessage::parse(read) {
                Ok(parsed) => parsed?,
                Err(_) => {
                    exchange.spoil();
                    return Some(false);
                }
            };
            let fatal = matches!(&message, BackendMessage::Error(fields) if fields.fatal);
            take(exchange, &read[..length], message);
            let _ = read.split_to(length);
            if exchange.over() {
                return Some(read.is_empty());
            }
            if exchange.spoilt() || fatal {
                return Some(false);
            }
        }
    }
}

fn take(exchange: &mut Exchange, raw: &[u8], message: BackendMessage<'_>) {
    match message {
        BackendMessage::Parameter("applied_ms", value) => exchange.stamp(value),
        BackendMessage::Parameter("role", value) => exchange.stand(value),
        // Other parameters, and notices.
        BackendMessage::Parameter(..) | BackendMessage::Other(b'N') => {}
        BackendMessage::RowDescription(columns) => {
            exchange.described(columns.into());
            exchange.keep(raw);
        }
        BackendMessage::DataRow(columns) => match columns[..] {
            [Some(value)] => {
                let at = exchange.keep(raw) + BEFORE_VALUE;
                exchange.row_within(at..at + value.len());
            }
            _ => exchange.spoil(),
        },
        BackendMessage::CommandComplete => {
            exchange.complete();
            exchange.keep(raw);
        }
        BackendMessage::Error(fields) => exchange.failed(match fields.code {
            "25006" | "72000" => Outcome::Misdirected,
            "53300" | "57P03" => Outcome::Overloaded,
            "XX000" => Outcome::Error,
            code => {
                tracing::warn!("a ledger host answered {code}: {}", fields.message);
                Outcome::Error
            }
        }),
        BackendMessage::Ready => exchange.ready(),
        _ => exchange.spoil(),
    }
}
