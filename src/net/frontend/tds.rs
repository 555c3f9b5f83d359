//! TDS with a client: PROTOCOL's two statements as batches or through `sp_executesql`, and what drivers say on
//! their own while they connect, pool and test a connection.

use super::conversation::{Conversation, Step};
use super::fault::{Fault, Foreign};
use crate::net::messages::{InvalidRequest, Value};
use crate::protocol::Protocol;
use bytes::BytesMut;
use std::fmt::Write;
use wheelpier_tds::{
    batch, numbers, put_collation, put_columns, put_done, put_environment, put_info, put_login_ack,
    put_message, put_return_status, put_row, rpc, version, Assembler, Column, DataType, Done, DoneKind,
    Encryption, Environment, Login, LoginAck, Message, Notice, PacketType, Parameter, Prelogin, Procedure,
    Rpc, Status, Value as Datum, PACKET_SIZE, PACKET_SIZES,
};

const DATABASE: &str = "store";
const PROGRAM: &str = "wheelpier";
const VERSION: &str = "Microsoft SQL Server 2019 compatible (wheelpier)";
/// What PostgreSQL's startup packets begin with: the high byte of a length.
const POSTGRES: u8 = 0;
/// The head of a TLS handshake, as TDS 8.0 begins.
const TLS: u8 = 0x16;
/// What a request of several at once begins with (MC-SMP, 2.2.1).
const MARS: u8 = 0x53;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// PRELOGIN has to come.
    Prelogin,
    /// LOGIN7 has to come.
    Login,
    /// The client wants nothing without encryption, and has been told that there is none.
    Insists,
    Open,
}

/// What is to be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Open {
    /// A batch or a call.
    call: bool,
    /// The client asks to hear that its session was set back.
    reset: bool,
    /// What the row of the answer holds, where the client tests the connection by one.
    probe: Option<Datum>,
}

#[derive(Debug)]
pub(super) struct Tds {
    assembler: Assembler,
    stage: Stage,
    packet: usize,
    open: Open,
}

impl Tds {
    pub fn new() -> Self {
        let open = Open { call: false, reset: false, probe: None };
        let assembler = Assembler::new(Protocol::Tds.longest_statement());
        Self { assembler, stage: Stage::Prelogin, packet: PACKET_SIZE, open }
    }

    fn message(&mut self, read: &mut BytesMut) -> Result<Option<Message>, Fault> {
        if self.assembler.begun() {
            return Ok(self.assembler.next(read)?);
        }
        match (self.stage, read.first()) {
            (Stage::Prelogin, Some(&POSTGRES)) => {
                Err(Fault::Foreign(Foreign::Protocol(Protocol::Postgres, Protocol::Tds)))
            }
            (Stage::Prelogin, Some(&TLS)) => Err(Fault::Foreign(Foreign::Tls)),
            (Stage::Open, Some(&MARS)) => {
                Err(Fault::Unsupported("several requests at once (MARS) are not served".to_owned()))
            }
            _ => Ok(self.assembler.next(read)?),
        }
    }

    fn prelogin(&mut self, message: &Message, out: &mut BytesMut) -> Result<Step, Fault> {
        if message.kind != PacketType::Prelogin {
            return Err(Fault::Broken("PRELOGIN has to come first".to_owned()));
        }
        let client = Prelogin::parse(&message.payload)?;
        let insists = matches!(client.encryption, Encryption::On | Encryption::Required);
        self.stage = if insists { Stage::Insists } else { Stage::Login };
        let mut payload = BytesMut::new();
        // No encryption, and one request at a time.
        Prelogin { version: (15, 0, 2000), ..Prelogin::default() }.put(&mut payload);
        self.put(&payload, out);
        Ok(Step::Passed)
    }

    fn login(&mut self, message: &Message, out: &mut BytesMut) -> Result<Step, Fault> {
        if message.kind != PacketType::Login {
            return Err(Fault::Broken("LOGIN7 has to follow".to_owned()));
        }
        let login = Login::parse(&message.payload).map_err(|e| Fault::Broken(e.to_string()))?;
        if login.version < version::V7_2 {
            return Err(Fault::Login("TDS 7.2 is the oldest version that is spoken".to_owned()));
        }
        if login.integrated {
            return Err(Fault::Login("integrated logins are not served".to_owned()));
        }
        let packet = match login.packet_size as usize {
            0 => PACKET_SIZE,
            size => size.clamp(PACKET_SIZES.0, PACKET_SIZES.1),
        };
        let mut payload = BytesMut::new();
        put_database(&mut payload);
        put_collation(&mut payload);
        let ack = LoginAck { version: login.version.min(version::V7_4), program: PROGRAM.to_owned() };
        put_login_ack(&mut payload, &ack);
        put_environment(&mut payload, &Environment::PacketSize(packet));
        put_done(&mut payload, DoneKind::Batch, Done::default());
        // The answer itself still goes in packets of the old size.
        self.put(&payload, out);
        self.packet = packet;
        self.assembler.agree(packet);
        self.stage = Stage::Open;
        Ok(Step::Opened)
    }

    fn request(&mut self, message: &Message, out: &mut BytesMut) -> Result<Step, Fault> {
        let call = message.kind == PacketType::Rpc;
        self.open = Open { call, reset: message.status.reset, probe: None };
        if message.status.ignore {
            // Broken off by the client, which waits for the end.
            let mut payload = BytesMut::new();
            put_done(&mut payload, DoneKind::Batch, Done { error: true, ..Done::default() });
            self.put(&payload, out);
            return Ok(Step::Answered);
        }
        let text = match message.kind {
            PacketType::SqlBatch => batch(&message.payload)?,
            PacketType::Rpc => match called(rpc(&message.payload)?) {
                Ok(Some(text)) => text,
                Ok(None) => return Ok(self.done(out)),
                Err(fault) => return Ok(Step::Senseless(fault)),
            },
            PacketType::Attention => {
                self.put(&attention(), out);
                return Ok(Step::Answered);
            }
            PacketType::Transaction => {
                return Ok(Step::Senseless(Fault::Unsupported("transactions are not served".to_owned())));
            }
            PacketType::Prelogin | PacketType::Login => {
                let problem = "the session is open: its version cannot change";
                return Err(Fault::Broken(problem.to_owned()));
            }
            _ => return Err(Fault::Unsupported("only batches and calls are served".to_owned())),
        };
        Ok(self.statement(text, out))
    }

    /// What a text asks for, however it came.
    fn statement(&mut self, text: String, out: &mut BytesMut) -> Step {
        let words: Vec<&str> = text.split_whitespace().collect();
        let starts = |start: &[&str]| {
            words.len() >= start.len() && words.iter().zip(start).all(|(w, s)| w.eq_ignore_ascii_case(s))
        };
        let bare = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let is = |other: &str| bare.eq_ignore_ascii_case(other);
        if bare.is_empty() {
            return Step::Ready;
        }
        if is("SELECT 1") {
            self.open.probe = Some(Datum::Int(1));
            return Step::Ready;
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
            return Step::Answered;
        }
        let parts = text.split([';', '\n']).map(str::trim).filter(|part| !part.is_empty());
        let sets = |part: &str| part.get(..4).is_some_and(|verb| verb.eq_ignore_ascii_case("SET "));
        if starts(&["IF", "@@TRANCOUNT", ">", "0"]) || parts.clone().all(sets) {
            return self.done(out);
        }
        Step::Statement(text.into())
    }

    fn done(&mut self, out: &mut BytesMut) -> Step {
        let payload = self.begin();
        self.finish(payload, 0, out);
        Step::Answered
    }

    fn row(&mut self, value: Datum, out: &mut BytesMut) -> Step {
        let kind = match value {
            Datum::Int(_) => DataType::Int { size: 4, nullable: true },
            _ => DataType::Text,
        };
        self.put_row("", kind, value, out);
        Step::Answered
    }

    fn put_row(&mut self, name: &str, kind: DataType, value: Datum, out: &mut BytesMut) {
        let columns = [Column { name: name.to_owned(), kind }];
        let mut payload = self.begin();
        put_columns(&mut payload, &columns);
        put_row(&mut payload, &columns, &[value]);
        self.finish(payload, 1, out);
    }

    /// An answer's first tokens.
    fn begin(&mut self) -> BytesMut {
        let mut payload = BytesMut::new();
        if std::mem::take(&mut self.open.reset) {
            put_environment(&mut payload, &Environment::Reset);
        }
        payload
    }

    /// And its last.
    fn finish(&mut self, mut payload: BytesMut, rows: u64, out: &mut BytesMut) {
        let done = Done { counted: rows > 0, rows, ..Done::default() };
        if self.open.call {
            put_done(&mut payload, DoneKind::InProc, Done { more: true, ..done });
            put_return_status(&mut payload, 0);
            put_done(&mut payload, DoneKind::Proc, Done::default());
        } else {
            put_done(&mut payload, DoneKind::Batch, done);
        }
        self.put(&payload, out);
    }

    fn put(&self, payload: &[u8], out: &mut BytesMut) {
        put_message(out, PacketType::Result, Status::default(), payload, self.packet);
    }
}

impl Conversation for Tds {
    fn next(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Step>, Fault> {
        let Some(message) = self.message(read)? else { return Ok(None) };
        match self.stage {
            Stage::Prelogin => self.prelogin(&message, out),
            Stage::Login => self.login(&message, out),
            Stage::Insists => Err(Fault::Login("encryption is not had here".to_owned())),
            Stage::Open => self.request(&message, out),
        }
        .map(Some)
    }

    fn begun(&self, read: &BytesMut) -> bool {
        self.assembler.begun() || !read.is_empty()
    }

    fn held(&self) -> usize {
        self.assembler.held()
    }

    /// One request at a time, but for an attention (2.2.1.7).
    fn pipelines(&self) -> bool {
        false
    }

    fn gives_up(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Fault> {
        // Anything else waits for its turn: a second request, or what breaks the protocol.
        if self.assembler.begun() || !PacketType::Attention.begins(read) {
            return Ok(false);
        }
        let given_up = self.message(read)?.is_some();
        if given_up {
            self.put(&attention(), out);
        }
        Ok(given_up)
    }

    fn ready(&mut self, out: &mut BytesMut) {
        match self.open.probe.take() {
            Some(value) => drop(self.row(value, out)),
            None => drop(self.done(out)),
        }
    }

    fn served(&mut self, value: &Value, out: &mut BytesMut) {
        let content = Datum::Binary(value.content.clone());
        self.put_row("content", DataType::LongBinary, content, out);
    }

    /// A value's bytes stand otherwise there than in protocol 3.
    fn begin_value(&mut self, _value: &Value, _out: &mut BytesMut) -> bool {
        false
    }

    fn end_value(&mut self, _out: &mut BytesMut) {}

    fn fault(&mut self, fault: &Fault, out: &mut BytesMut) {
        let kind = if self.open.call { DoneKind::Proc } else { DoneKind::Batch };
        let mut payload = self.begin();
        fault.put_tds(kind, false, &mut payload);
        self.put(&payload, out);
    }

    fn end(&mut self, fault: &Fault, out: &mut BytesMut) {
        match fault {
            Fault::Foreign(foreign) => fault.put_foreign(*foreign, out),
            _ => {
                let mut payload = BytesMut::new();
                fault.put_tds(DoneKind::Batch, true, &mut payload);
                self.put(&payload, out);
            }
        }
    }
}

fn put_database(payload: &mut BytesMut) {
    put_environment(payload, &Environment::Database(DATABASE.to_owned()));
    let message = format!("Changed database context to '{DATABASE}'.");
    put_info(payload, &Notice { number: numbers::DATABASE, state: 2, class: 0, message });
}

/// The acknowledgement of an attention (2.2.1.7).
fn attention() -> BytesMut {
    let mut payload = BytesMut::new();
    put_done(&mut payload, DoneKind::Batch, Done { attention: true, ..Done::default() });
    payload
}

/// The text that a call runs, its parameters in their places; none where it only sets the session back.
fn called(call: Rpc) -> Result<Option<String>, Fault> {
    if !call.executes_sql() {
        return match &call.procedure {
            Procedure::Name(name) if name.eq_ignore_ascii_case("sp_reset_connection") => Ok(None),
            _ => Err(Fault::Unsupported("only sp_executesql is served".to_owned())),
        };
    }
    let mut parameters = call.parameters.into_iter();
    let Some(Parameter { value: Datum::Text(text), .. }) = parameters.next() else {
        return Err(Fault::Syntax("sp_executesql lacks its statement".to_owned()));
    };
    let declared = match parameters.next() {
        Some(Parameter { value: Datum::Text(declared), .. }) => declared,
        _ => String::new(),
    };
    let mut names = declared.split(',').filter_map(|one| one.split_whitespace().next());
    let values: Vec<(String, Datum)> = parameters
        .map(|parameter| {
            // Those without a name stand in the order in which they were declared.
            let declared = names.next().unwrap_or_default();
            let name = if parameter.name.is_empty() { declared.to_owned() } else { parameter.name };
            (name, parameter.value)
        })
        .collect();
    substitute(&text, &values).map(Some)
}

/// Puts values where their names stand, outside of quotes and of the comment at the end.
fn substitute(text: &str, values: &[(String, Datum)]) -> Result<String, Fault> {
    let end = text.find("/*").unwrap_or(text.len());
    let (statement, comment) = text.split_at(end);
    let mut out = String::with_capacity(text.len());
    let mut quoted = false;
    let mut rest = statement;
    while let Some(at) = rest.find(['\'', '@']) {
        out.push_str(&rest[..at]);
        if rest.as_bytes()[at] == b'\'' {
            quoted = !quoted;
            out.push('\'');
            rest = &rest[at + 1..];
        } else if quoted {
            out.push('@');
            rest = &rest[at + 1..];
        } else {
            let name = rest[at + 1..].find(|c: char| !c.is_alphanumeric() && c != '_');
            let (name, after) = rest[at..].split_at(name.map_or(rest.len() - at, |length| length + 1));
            let value = values.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
            let (_, value) = value.ok_or_else(|| Fault::Syntax(format!("{name} has no value")))?;
            put_literal(&mut out, name, value)?;
            rest = after;
        }
    }
    out.push_str(rest);
    out.push_str(comment);
    Ok(out)
}

fn put_literal(out: &mut String, name: &str, value: &Datum) -> Result<(), Fault> {
    let written = match value {
        Datum::Null => return Err(Fault::Invalid(InvalidRequest::Parameter(format!("{name} is null")))),
        Datum::Int(number) => write!(out, "'{number}'"),
        Datum::Text(text) if text.contains('\'') || text.contains("/*") => {
            return Err(Fault::Invalid(InvalidRequest::Parameter(format!(
                "{name} holds a quote or a comment"
            ))));
        }
        Datum::Text(text) => write!(out, "'{text}'"),
        Datum::Binary(bytes) => {
            out.reserve(bytes.len() * 2 + 4);
            out.push_str("'\\x");
            let digits = bytes.iter().try_for_each(|byte| write!(out, "{byte:02x}"));
            out.push('\'');
            digits
        }
    };
    written.map_err(|_| Fault::Invalid(InvalidRequest::Parameter(format!("{name} cannot be written"))))
}
