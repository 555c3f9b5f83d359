//! TDS with a client: the protocol's two statements as batches or through `sp_executesql`, and what drivers send by
//! themselves while they connect, pool and test a connection.

mod procedure_call;
mod startup;

use super::conversation::{ClientEvent, Conversation};
use super::fault::{Fault, ForeignProtocol, Severity};
use crate::net::messages::Value;
use crate::protocol::Protocol;
use bytes::BytesMut;
use wheelpier_tds::{
    batch, numbers, put_columns, put_done, put_environment, put_info, put_message, put_return_status,
    put_row, rpc, Assembler, Column, DataType, Done, DoneKind, Environment, Message, Notice, PacketType,
    Status, Value as Datum, PACKET_SIZE,
};

/// The database name that clients get.
const DATABASE: &str = "store";
/// The answer to `SELECT @@VERSION`.
const VERSION: &str = "Microsoft SQL Server 2019 compatible (wheelpier)";
/// The first byte of PostgreSQL's startup packets: the high byte of a length.
const POSTGRES_STARTUP: u8 = 0;
/// The first byte of a TLS handshake, with which TDS 8.0 begins.
const TLS_HANDSHAKE: u8 = 0x16;
/// The first byte of multiplexed requests (MC-SMP, 2.2.1).
const MARS: u8 = 0x53;

/// How far the session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// PRELOGIN has to come.
    Prelogin,
    /// LOGIN7 has to come.
    Login,
    /// The client requires encryption, and was answered that there is none.
    EncryptionRequired,
    /// The startup is complete.
    Open,
}

/// How the open request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenRequest {
    /// Whether it is a procedure call; else it is a batch.
    is_call: bool,
    /// Whether the answer has to acknowledge a reset of the session.
    acknowledges_reset: bool,
    /// The value that the answer holds, if the client tests the connection by one.
    test_value: Option<Datum>,
}

/// A session of TDS.
#[derive(Debug)]
pub(super) struct Tds {
    assembler: Assembler,
    stage: Stage,
    /// The agreed packet size in bytes.
    packet_size: usize,
    open: OpenRequest,
}

impl Tds {
    /// Returns a session before its startup.
    pub fn new() -> Self {
        let open = OpenRequest { is_call: false, acknowledges_reset: false, test_value: None };
        let assembler = Assembler::new(Protocol::Tds.max_statement_bytes());
        Self { assembler, stage: Stage::Prelogin, packet_size: PACKET_SIZE, open }
    }

    /// Takes the next complete message from the front of the read buffer.
    fn message(&mut self, read: &mut BytesMut) -> Result<Option<Message>, Fault> {
        if self.assembler.has_partial_message() {
            return Ok(self.assembler.next(read)?);
        }
        match (self.stage, read.first()) {
            (Stage::Prelogin, Some(&POSTGRES_STARTUP)) => {
                Err(Fault::WrongProtocol(ForeignProtocol::Protocol(Protocol::Postgres, Protocol::Tds)))
            }
            (Stage::Prelogin, Some(&TLS_HANDSHAKE)) => Err(Fault::WrongProtocol(ForeignProtocol::Tls)),
            (Stage::Open, Some(&MARS)) => {
                Err(Fault::Unsupported("several requests at once (MARS) are not served".to_owned()))
            }
            _ => Ok(self.assembler.next(read)?),
        }
    }

    /// Handles a message of the open session.
    fn request(&mut self, message: &Message, out: &mut BytesMut) -> Result<ClientEvent, Fault> {
        let is_call = message.kind == PacketType::Rpc;
        self.open = OpenRequest { is_call, acknowledges_reset: message.status.reset, test_value: None };
        if message.status.ignore {
            // Aborted by the client, which waits for the end of the answer.
            let mut payload = BytesMut::new();
            put_done(&mut payload, DoneKind::Batch, Done { error: true, ..Done::default() });
            self.put(&payload, out);
            return Ok(ClientEvent::Answered);
        }
        let text = match message.kind {
            PacketType::SqlBatch => batch(&message.payload)?,
            PacketType::Rpc => match procedure_call::statement_of(rpc(&message.payload)?) {
                Ok(Some(text)) => text,
                Ok(None) => return Ok(self.done(out)),
                Err(fault) => return Ok(ClientEvent::InvalidStatement(fault)),
            },
            PacketType::Attention => {
                self.put(&attention(), out);
                return Ok(ClientEvent::Answered);
            }
            PacketType::Transaction => {
                return Ok(ClientEvent::InvalidStatement(Fault::Unsupported(
                    "transactions are not served".to_owned(),
                )));
            }
            PacketType::Prelogin | PacketType::Login => {
                let problem = "the session is open: its version cannot change";
                return Err(Fault::ProtocolViolation(problem.to_owned()));
            }
            _ => return Err(Fault::Unsupported("only batches and calls are served".to_owned())),
        };
        Ok(self.statement(text, out))
    }

    /// Handles a statement, whether it came in a batch or in a call.
    fn statement(&mut self, text: String, out: &mut BytesMut) -> ClientEvent {
        let words: Vec<&str> = text.split_whitespace().collect();
        let starts = |start: &[&str]| {
            words.len() >= start.len()
                && words.iter().zip(start).all(|(word, expected)| word.eq_ignore_ascii_case(expected))
        };
        let bare = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let is = |other: &str| bare.eq_ignore_ascii_case(other);
        if bare.is_empty() {
            return ClientEvent::ReadinessCheck;
        }
        if is("SELECT 1") {
            self.open.test_value = Some(Datum::Int(1));
            return ClientEvent::ReadinessCheck;
        }
        if is("SELECT @@VERSION") {
            return self.row(Datum::Text(VERSION.to_owned()), out);
        }
        if is("SELECT @@SPID") || is("SELECT @@TRANCOUNT") {
            return self.row(Datum::Int(i64::from(is("SELECT @@SPID"))), out);
        }
        if starts(&["USE"]) {
            let mut payload = self.begin();
            put_database(&mut payload);
            self.finish(payload, 0, out);
            return ClientEvent::Answered;
        }
        let parts = text.split([';', '\n']).map(str::trim).filter(|part| !part.is_empty());
        let sets = |part: &str| part.get(..4).is_some_and(|verb| verb.eq_ignore_ascii_case("SET "));
        if starts(&["IF", "@@TRANCOUNT", ">", "0"]) || parts.clone().all(sets) {
            return self.done(out);
        }
        ClientEvent::Statement(text.into())
    }

    /// Answers without a row.
    fn done(&mut self, out: &mut BytesMut) -> ClientEvent {
        let payload = self.begin();
        self.finish(payload, 0, out);
        ClientEvent::Answered
    }

    /// Answers with a row of one value.
    fn row(&mut self, value: Datum, out: &mut BytesMut) -> ClientEvent {
        let kind = match value {
            Datum::Int(_) => DataType::Int { size: 4, nullable: true },
            _ => DataType::NVarChar,
        };
        self.put_row("", kind, value, out);
        ClientEvent::Answered
    }

    /// Encodes an answer with a row of one value.
    fn put_row(&mut self, name: &str, kind: DataType, value: Datum, out: &mut BytesMut) {
        let columns = [Column { name: name.to_owned(), kind }];
        let mut payload = self.begin();
        put_columns(&mut payload, &columns);
        put_row(&mut payload, &columns, &[value]);
        self.finish(payload, 1, out);
    }

    /// Returns an answer's first tokens.
    fn begin(&mut self) -> BytesMut {
        let mut payload = BytesMut::new();
        if std::mem::take(&mut self.open.acknowledges_reset) {
            put_environment(&mut payload, &Environment::Reset);
        }
        payload
    }

    /// Appends an answer's last tokens and encodes it.
    fn finish(&mut self, mut payload: BytesMut, rows: u64, out: &mut BytesMut) {
        let done = Done { has_row_count: rows > 0, rows, ..Done::default() };
        if self.open.is_call {
            put_done(&mut payload, DoneKind::InProc, Done { more: true, ..done });
            put_return_status(&mut payload, 0);
            put_done(&mut payload, DoneKind::Proc, Done::default());
        } else {
            put_done(&mut payload, DoneKind::Batch, done);
        }
        self.put(&payload, out);
    }

    /// Encodes a payload as packets.
    fn put(&self, payload: &[u8], out: &mut BytesMut) {
        put_message(out, PacketType::Result, Status::default(), payload, self.packet_size);
    }
}

impl Conversation for Tds {
    fn next_event(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientEvent>, Fault> {
        let Some(message) = self.message(read)? else { return Ok(None) };
        match self.stage {
            Stage::Prelogin => self.prelogin(&message, out),
            Stage::Login => self.login(&message, out),
            Stage::EncryptionRequired => Err(Fault::Login("encryption is not had here".to_owned())),
            Stage::Open => self.request(&message, out),
        }
        .map(Some)
    }

    fn has_partial_message(&self, read: &BytesMut) -> bool {
        self.assembler.has_partial_message() || !read.is_empty()
    }

    fn buffered_bytes(&self) -> usize {
        self.assembler.buffered_bytes()
    }

    /// One request at a time, but for an attention (2.2.1.7).
    fn is_pipelined(&self) -> bool {
        false
    }

    fn take_cancellation(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Fault> {
        // Anything else waits for the answer: a second request, or a violation of the protocol.
        if self.assembler.has_partial_message() || !PacketType::Attention.begins(read) {
            return Ok(false);
        }
        let is_cancelled = self.message(read)?.is_some();
        if is_cancelled {
            self.put(&attention(), out);
        }
        Ok(is_cancelled)
    }

    fn write_ready(&mut self, out: &mut BytesMut) {
        match self.open.test_value.take() {
            Some(value) => drop(self.row(value, out)),
            None => drop(self.done(out)),
        }
    }

    fn write_value(&mut self, value: &Value, out: &mut BytesMut) {
        let content = Datum::Binary(value.content.clone());
        self.put_row("content", DataType::VarBinaryMax, content, out);
    }

    /// TDS encodes a value's bytes otherwise than PostgreSQL's protocol.
    fn begin_large_value(&mut self, _value: &Value, _out: &mut BytesMut) -> bool {
        false
    }

    fn end_large_value(&mut self, _out: &mut BytesMut) {}

    fn write_fault(&mut self, fault: &Fault, out: &mut BytesMut) {
        let kind = if self.open.is_call { DoneKind::Proc } else { DoneKind::Batch };
        let mut payload = self.begin();
        fault.put_tds(kind, Severity::Error, &mut payload);
        self.put(&payload, out);
    }

    fn write_fatal(&mut self, fault: &Fault, out: &mut BytesMut) {
        match fault {
            Fault::WrongProtocol(foreign) => fault.put_foreign(*foreign, out),
            _ => {
                let mut payload = BytesMut::new();
                fault.put_tds(DoneKind::Batch, Severity::Fatal, &mut payload);
                self.put(&payload, out);
            }
        }
    }
}

/// Encodes the notice of the session's database.
fn put_database(payload: &mut BytesMut) {
    put_environment(payload, &Environment::Database(DATABASE.to_owned()));
    let message = format!("Changed database context to '{DATABASE}'.");
    put_info(payload, &Notice { number: numbers::DATABASE, state: 2, class: 0, message });
}

/// Returns the acknowledgement of an attention (2.2.1.7).
fn attention() -> BytesMut {
    let mut payload = BytesMut::new();
    put_done(&mut payload, DoneKind::Batch, Done { attention: true, ..Done::default() });
    payload
}
