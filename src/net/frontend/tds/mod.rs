//! The client side of TDS: the two supported statements, as batches or through `sp_executesql`, and the
//! statements and calls that drivers send on their own when they open, pool and test a connection.

mod procedure_call;
mod startup;

use super::conversation::{ClientEvent, Conversation};
use super::fault::{Fault, ForeignProtocol, Severity};
use crate::net::messages::Value;
use crate::protocol::Protocol;
use bytes::{Bytes, BytesMut};
use wheelpier_tds::{
    numbers, parse_batch, parse_rpc, put_columns, put_done, put_environment, put_info, put_message,
    put_return_status, put_row, Assembler, Column, DataType, Done, DoneKind, Environment, Message, Notice,
    PacketType, Status, Value as Datum, INITIAL_PACKET_BYTES,
};

/// The database name that clients are told.
const DATABASE: &str = "store";
/// The answer to `SELECT @@VERSION`.
const VERSION: &str = "Microsoft SQL Server 2019 compatible (wheelpier)";
/// The first byte of a PostgreSQL startup packet: the high byte of its length.
const POSTGRES_STARTUP: u8 = 0;
/// The first byte of a TLS handshake, with which TDS 8.0 connections begin.
const TLS_HANDSHAKE: u8 = 0x16;
/// The first byte of a packet with multiplexed requests (MARS; MC-SMP, section 2.2.1).
const MARS: u8 = 0x53;

/// The stage of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// PRELOGIN is expected.
    Prelogin,
    /// LOGIN7 is expected.
    Login,
    /// The client requires encryption, which is not supported. The next message is answered with an error.
    EncryptionRequired,
    /// The startup is complete.
    Open,
}

/// Properties of the open request that its answer depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenRequest {
    /// Whether the request is a procedure call; otherwise it is a batch.
    is_call: bool,
    /// Whether the answer has to acknowledge a reset of the session.
    acknowledges_reset: bool,
    /// The value in the answer to a connection test such as `SELECT 1`, once the proxy is ready.
    test_value: Option<Datum>,
}

/// A TDS session.
#[derive(Debug)]
pub(super) struct Tds {
    assembler: Assembler,
    stage: Stage,
    /// The negotiated packet size in bytes.
    packet_size: usize,
    open_request: OpenRequest,
}

impl Tds {
    /// Returns a session before its startup.
    pub fn new() -> Self {
        let open_request = OpenRequest { is_call: false, acknowledges_reset: false, test_value: None };
        let assembler = Assembler::new(Protocol::Tds.max_statement_bytes());
        Self { assembler, stage: Stage::Prelogin, packet_size: INITIAL_PACKET_BYTES, open_request }
    }

    /// Takes the next complete message from the front of `input`.
    fn next_message(&mut self, input: &mut BytesMut) -> Result<Option<Message>, Fault> {
        if self.assembler.has_partial_message() {
            return Ok(self.assembler.next(input)?);
        }
        match (self.stage, input.first()) {
            (Stage::Prelogin, Some(&POSTGRES_STARTUP)) => {
                Err(Fault::WrongProtocol(ForeignProtocol::Protocol(Protocol::Postgres, Protocol::Tds)))
            }
            (Stage::Prelogin, Some(&TLS_HANDSHAKE)) => Err(Fault::WrongProtocol(ForeignProtocol::Tls)),
            (Stage::Open, Some(&MARS)) => {
                Err(Fault::Unsupported("several requests at once (MARS) are not served".to_owned()))
            }
            _ => Ok(self.assembler.next(input)?),
        }
    }

    /// Handles a message of an open session.
    fn handle_request(&mut self, message: &Message, output: &mut BytesMut) -> Result<ClientEvent, Fault> {
        let is_call = message.kind == PacketType::Rpc;
        self.open_request =
            OpenRequest { is_call, acknowledges_reset: message.status.reset, test_value: None };
        if message.status.ignore {
            // The client has aborted this request, and waits for the end of its answer.
            let mut payload = BytesMut::new();
            put_done(&mut payload, DoneKind::Batch, Done { error: true, ..Done::default() });
            self.put_packets(&payload, output);
            return Ok(ClientEvent::Answered);
        }
        let text = match message.kind {
            PacketType::SqlBatch => parse_batch(&message.payload)?,
            PacketType::Rpc => match procedure_call::statement_of(parse_rpc(&message.payload)?) {
                Ok(Some(text)) => text,
                Ok(None) => return Ok(self.answer_without_row(output)),
                Err(fault) => return Ok(ClientEvent::InvalidStatement(fault)),
            },
            PacketType::Attention => {
                self.put_packets(&attention_ack(), output);
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
        Ok(self.handle_statement(text, output))
    }

    /// Handles a statement from a batch or a procedure call.
    fn handle_statement(&mut self, text: String, output: &mut BytesMut) -> ClientEvent {
        let words: Vec<&str> = text.split_whitespace().collect();
        let starts_with = |prefix: &[&str]| {
            words.len() >= prefix.len()
                && words.iter().zip(prefix).all(|(word, expected)| word.eq_ignore_ascii_case(expected))
        };
        let trimmed = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let equals = |other: &str| trimmed.eq_ignore_ascii_case(other);
        if trimmed.is_empty() {
            return ClientEvent::ReadinessCheck;
        }
        if equals("SELECT 1") {
            self.open_request.test_value = Some(Datum::Int(1));
            return ClientEvent::ReadinessCheck;
        }
        if equals("SELECT @@VERSION") {
            return self.answer_value(Datum::Text(VERSION.to_owned()), output);
        }
        if equals("SELECT @@SPID") || equals("SELECT @@TRANCOUNT") {
            return self.answer_value(Datum::Int(i64::from(equals("SELECT @@SPID"))), output);
        }
        if starts_with(&["USE"]) {
            let mut payload = self.begin_answer();
            put_database(&mut payload);
            self.finish_answer(payload, 0, output);
            return ClientEvent::Answered;
        }
        let parts = text.split([';', '\n']).map(str::trim).filter(|part| !part.is_empty());
        let is_set_statement =
            |part: &str| part.get(..4).is_some_and(|verb| verb.eq_ignore_ascii_case("SET "));
        if starts_with(&["IF", "@@TRANCOUNT", ">", "0"]) || parts.clone().all(is_set_statement) {
            return self.answer_without_row(output);
        }
        ClientEvent::Statement(text.into_boxed_str().into_boxed_bytes().into())
    }

    /// Answers the open request without a row.
    fn answer_without_row(&mut self, output: &mut BytesMut) -> ClientEvent {
        let payload = self.begin_answer();
        self.finish_answer(payload, 0, output);
        ClientEvent::Answered
    }

    /// Answers the open request with a row of one value.
    fn answer_value(&mut self, value: Datum, output: &mut BytesMut) -> ClientEvent {
        let kind = match value {
            Datum::Int(_) => DataType::Int { size: 4, nullable: true },
            _ => DataType::NVarChar,
        };
        self.put_row("", kind, value, output);
        ClientEvent::Answered
    }

    /// Encodes an answer with a row of one column.
    fn put_row(&mut self, name: &str, kind: DataType, value: Datum, output: &mut BytesMut) {
        let columns = [Column { name: name.to_owned(), kind }];
        let mut payload = self.begin_answer();
        put_columns(&mut payload, &columns);
        put_row(&mut payload, &columns, &[value]);
        self.finish_answer(payload, 1, output);
    }

    /// Returns the first tokens of an answer.
    fn begin_answer(&mut self) -> BytesMut {
        let mut payload = BytesMut::new();
        if std::mem::take(&mut self.open_request.acknowledges_reset) {
            put_environment(&mut payload, &Environment::Reset);
        }
        payload
    }

    /// Appends the last tokens of an answer and encodes it.
    fn finish_answer(&mut self, mut payload: BytesMut, rows: u64, output: &mut BytesMut) {
        let done = Done { has_row_count: rows > 0, rows, ..Done::default() };
        if self.open_request.is_call {
            put_done(&mut payload, DoneKind::InProc, Done { more: true, ..done });
            put_return_status(&mut payload, 0);
            put_done(&mut payload, DoneKind::Proc, Done::default());
        } else {
            put_done(&mut payload, DoneKind::Batch, done);
        }
        self.put_packets(&payload, output);
    }

    /// Encodes a payload as packets of the negotiated size.
    fn put_packets(&self, payload: &[u8], output: &mut BytesMut) {
        put_message(output, PacketType::Result, Status::default(), payload, self.packet_size);
    }
}

impl Conversation for Tds {
    fn next_event(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, Fault> {
        let Some(message) = self.next_message(input)? else { return Ok(None) };
        match self.stage {
            Stage::Prelogin => self.handle_prelogin(&message, output),
            Stage::Login => self.handle_login(&message, output),
            Stage::EncryptionRequired => Err(Fault::Login("encryption is not had here".to_owned())),
            Stage::Open => self.handle_request(&message, output),
        }
        .map(Some)
    }

    fn has_partial_message(&self, input: &BytesMut) -> bool {
        self.assembler.has_partial_message() || !input.is_empty()
    }

    fn buffered_bytes(&self) -> usize {
        self.assembler.buffered_bytes()
    }

    /// Always returns false: clients send one request at a time, apart from an attention (section 2.2.1.7).
    fn is_pipelined(&self) -> bool {
        false
    }

    fn take_cancellation(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, Fault> {
        // Anything else, a second request or a protocol violation, is left unread until the answer is
        // written.
        if self.assembler.has_partial_message() || !PacketType::Attention.begins(input) {
            return Ok(false);
        }
        let is_cancelled = self.next_message(input)?.is_some();
        if is_cancelled {
            self.put_packets(&attention_ack(), output);
        }
        Ok(is_cancelled)
    }

    fn write_ready(&mut self, output: &mut BytesMut) {
        match self.open_request.test_value.take() {
            Some(value) => drop(self.answer_value(value, output)),
            None => drop(self.answer_without_row(output)),
        }
    }

    fn write_value(&mut self, value: &Value, output: &mut BytesMut) {
        let content = Datum::Binary(value.content.clone());
        self.put_row("content", DataType::VarBinaryMax, content, output);
    }

    /// Always returns `None`: a value is sent in packets of the negotiated size.
    fn encoded_value(&self, _value: &Value) -> Option<Bytes> {
        None
    }

    /// Always returns false: the remainder has PostgreSQL's encoding, which TDS does not share.
    fn begin_large_value(&mut self, _value: &Value, _output: &mut BytesMut) -> bool {
        false
    }

    fn end_large_value(&mut self, _output: &mut BytesMut) {}

    fn write_fault(&mut self, fault: &Fault, output: &mut BytesMut) {
        let kind = if self.open_request.is_call { DoneKind::Proc } else { DoneKind::Batch };
        let mut payload = self.begin_answer();
        fault.put_tds(kind, Severity::Error, &mut payload);
        self.put_packets(&payload, output);
    }

    fn write_fatal(&mut self, fault: &Fault, output: &mut BytesMut) {
        match fault {
            Fault::WrongProtocol(foreign) => fault.put_foreign(*foreign, output),
            _ => {
                let mut payload = BytesMut::new();
                fault.put_tds(DoneKind::Batch, Severity::Fatal, &mut payload);
                self.put_packets(&payload, output);
            }
        }
    }
}

/// Encodes the notice that names the session's database.
fn put_database(payload: &mut BytesMut) {
    put_environment(payload, &Environment::Database(DATABASE.to_owned()));
    let message = format!("Changed database context to '{DATABASE}'.");
    put_info(payload, &Notice { number: numbers::DATABASE, state: 2, class: 0, message });
}

/// Returns the acknowledgement of an attention (section 2.2.1.7).
fn attention_ack() -> BytesMut {
    let mut payload = BytesMut::new();
    put_done(&mut payload, DoneKind::Batch, Done { attention: true, ..Done::default() });
    payload
}
