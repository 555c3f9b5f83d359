//! Tokens: what servers answer with (2.2.7).

use crate::text::{self, Read};
use crate::value::{DataType, Value, COLLATION};
use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{be_u32, le_i32, le_u16, le_u32, le_u64, length_take, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

const RETURN_STATUS: u8 = 0x79;
const COLUMNS: u8 = 0x81;
const ORDER: u8 = 0xa9;
const ERROR: u8 = 0xaa;
const INFO: u8 = 0xab;
const RETURN_VALUE: u8 = 0xac;
const LOGIN_ACK: u8 = 0xad;
const FEATURES: u8 = 0xae;
const ROW: u8 = 0xd1;
const ROW_WITH_NULLS: u8 = 0xd2;
const ENVIRONMENT: u8 = 0xe3;
const DONE: u8 = 0xfd;
const DONE_PROC: u8 = 0xfe;
const DONE_IN_PROC: u8 = 0xff;
const NO_METADATA: u16 = 0xffff;
const NULLABLE: u16 = 0x0001;
const SQL: u8 = 1;
const NO_MORE_FEATURES: u8 = 0xff;
/// More columns than this no answer has here; each costs memory before its first row.
const MOST_COLUMNS: u16 = 1_024;

/// A column's description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: DataType,
}

/// An error or an information (2.2.7.10, 2.2.7.13).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Its number.
    pub number: i32,
    /// Its state.
    pub state: u8,
    /// Its class, also called severity: over 10 an error, from 20 on the connection ends.
    pub class: u8,
    /// Its text.
    pub message: String,
}

/// What LOGINACK says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginAck {
    /// The version that is spoken from now on.
    pub version: u32,
    /// The server's program.
    pub program: String,
}

/// Which of the three ends it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoneKind {
    /// Of a batch's statement.
    Batch,
    /// Of a procedure.
    Proc,
    /// Of a statement within a procedure.
    InProc,
}

/// The end of something (2.2.7.6).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// More comes.
    pub more: bool,
    /// It ended in an error.
    pub error: bool,
    /// Its count of rows is valid.
    pub has_row_count: bool,
    /// It acknowledges an attention.
    pub attention: bool,
    /// Rows returned or changed.
    pub rows: u64,
}

const MORE: u16 = 0x0001;
const FAILED: u16 = 0x0002;
const COUNT: u16 = 0x0010;
const ATTENTION: u16 = 0x0020;

/// A change of the session's environment (2.2.7.9).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Environment {
    /// The database.
    Database(String),
    /// The packet size, in bytes.
    PacketSize(usize),
    /// The session was set back, as asked.
    Reset,
    /// Anything else, by its number.
    Other(u8),
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// What the rows to come look like.
    Columns(Vec<Column>),
    /// A row.
    Row(Vec<Value>),
    /// The end of something.
    Done(DoneKind, Done),
    /// An error.
    Error(Notice),
    /// Something to know.
    Info(Notice),
    /// The login went well.
    LoginAck(LoginAck),
    /// The environment changes.
    Environment(Environment),
    /// By which columns rows are ordered.
    Order(Vec<u16>),
    /// What a procedure returned.
    ReturnStatus(i32),
    /// A parameter that a procedure gives back.
    ReturnValue(Value),
    /// What the server says to the extensions asked for.
    Features,
}

/// Reads the tokens of an answer one by one.
#[derive(Debug)]
pub struct Tokens<'a> {
    rest: &'a [u8],
    columns: Vec<Column>,
}

impl<'a> Tokens<'a> {
    /// Over the payload of a whole answer.
    pub fn new(payload: &'a [u8]) -> Self {
        Self { rest: payload, columns: Vec::new() }
    }

    fn read(&mut self) -> Result<Token, WireError> {
        let kind = self.rest[0];
        let known = [
            RETURN_STATUS,
            COLUMNS,
            ORDER,
            ERROR,
            INFO,
            RETURN_VALUE,
            LOGIN_ACK,
            FEATURES,
            ROW,
            ROW_WITH_NULLS,
            ENVIRONMENT,
            DONE,
            DONE_PROC,
            DONE_IN_PROC,
        ];
        if !known.contains(&kind) {
            return Err(WireError::UnknownToken(kind));
        }
        self.rest = &self.rest[1..];
        let token =
            token(kind, &self.columns, &mut self.rest).map_err(|_| WireError::Malformed("a token"))?;
        if let Token::Columns(columns) = &token {
            self.columns.clone_from(columns);
        }
        Ok(token)
    }
}

impl Iterator for Tokens<'_> {
    type Item = Result<Token, WireError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let token = self.read();
        if token.is_err() {
            // Nothing behind what cannot be read can be read either.
            self.rest = &[];
        }
        Some(token)
    }
}

fn token(kind: u8, columns: &[Column], input: &mut &[u8]) -> Read<Token> {
    Ok(match kind {
        RETURN_STATUS => Token::ReturnStatus(le_i32.parse_next(input)?),
        COLUMNS => Token::Columns(metadata(input)?),
        ROW => Token::Row(columns.iter().map(|column| column.kind.value(input)).collect::<Read<_>>()?),
        ROW_WITH_NULLS => Token::Row(row_with_nulls(columns, input)?),
        DONE => Token::Done(DoneKind::Batch, done(input)?),
        DONE_PROC => Token::Done(DoneKind::Proc, done(input)?),
        DONE_IN_PROC => Token::Done(DoneKind::InProc, done(input)?),
        RETURN_VALUE => {
            (le_u16, text::short, byte, le_u32, le_u16).void().parse_next(input)?;
            Token::ReturnValue(DataType::parse(input)?.value(input)?)
        }
        FEATURES => {
            while byte.parse_next(input)? != NO_MORE_FEATURES {
                let length = le_u32.parse_next(input)?;
                take(length).void().parse_next(input)?;
            }
            Token::Features
        }
        _ => {
            // These say how long they are, and must be just so.
            let content: &mut &[u8] = &mut length_take(le_u16).parse_next(input)?;
            let token = match kind {
                ERROR => Token::Error(notice(content)?),
                INFO => Token::Info(notice(content)?),
                LOGIN_ACK => Token::LoginAck(login_ack(content)?),
                ENVIRONMENT => Token::Environment(environment(content)?),
                _ => {
                    Token::Order(content.chunks_exact(2).map(|c| u16::from_le_bytes([c[0], c[1]])).collect())
                }
            };
            let done = content.is_empty() || matches!(token, Token::Order(_));
            return if done { Ok(token) } else { Err(ContextError::new()) };
        }
    })
}

fn metadata(input: &mut &[u8]) -> Read<Vec<Column>> {
    let count = le_u16.parse_next(input)?;
    if count == NO_METADATA {
        return Ok(Vec::new());
    }
    if count > MOST_COLUMNS {
        return Err(ContextError::new());
    }
    let mut columns = Vec::new();
    for _ in 0..count {
        (le_u32, le_u16).void().parse_next(input)?;
        let kind = DataType::parse(input)?;
        if kind == DataType::NText {
            let parts = byte.parse_next(input)?;
            (0..parts).try_for_each(|_| text::long(input).map(drop))?;
        }
        columns.push(Column { name: text::short(input)?, kind });
    }
    Ok(columns)
}

fn row_with_nulls(columns: &[Column], input: &mut &[u8]) -> Read<Vec<Value>> {
    let nulls = take(columns.len().div_ceil(8)).parse_next(input)?;
    let one = |(n, column): (usize, &Column)| match nulls[n / 8] >> (n % 8) & 1 {
        1 => Ok(Value::Null),
        _ => column.kind.value(input),
    };
    columns.iter().enumerate().map(one).collect()
}

fn done(input: &mut &[u8]) -> Read<Done> {
    let (status, _, rows) = (le_u16, le_u16, le_u64).parse_next(input)?;
    let is = |bit: u16| status & bit != 0;
    Ok(Done { more: is(MORE), error: is(FAILED), has_row_count: is(COUNT), attention: is(ATTENTION), rows })
}

fn notice(input: &mut &[u8]) -> Read<Notice> {
    let (number, state, class, message) = (le_i32, byte, byte, text::long).parse_next(input)?;
    (text::short, text::short, le_u32).void().parse_next(input)?;
    Ok(Notice { number, state, class, message })
}

fn login_ack(input: &mut &[u8]) -> Read<LoginAck> {
    let (_, version, program, _) = (byte, be_u32, text::short, le_u32).parse_next(input)?;
    Ok(LoginAck { version, program })
}

fn environment(input: &mut &[u8]) -> Read<Environment> {
    let change = match byte.parse_next(input)? {
        1 => Environment::Database(text::short(input)?),
        4 => {
            let size = text::short(input)?.parse().map_err(|_| ContextError::new())?;
            Environment::PacketSize(size)
        }
        18 => Environment::Reset,
        other => Environment::Other(other),
    };
    // The old value follows, and of what is not known all.
    *input = &[];
    Ok(change)
}

/// A token whose content is preceded by its length.
fn sized(out: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    out.put_u8(kind);
    let start = out.len();
    out.put_u16_le(0);
    content(out);
    let length = (out.len() - start - 2) as u16;
    out[start..start + 2].copy_from_slice(&length.to_le_bytes());
}

/// Writes COLMETADATA.
pub fn put_columns(out: &mut BytesMut, columns: &[Column]) {
    out.put_u8(COLUMNS);
    out.put_u16_le(columns.len() as u16);
    for column in columns {
        out.put_u32_le(0);
        out.put_u16_le(NULLABLE);
        column.kind.put(out);
        if column.kind == DataType::NText {
            out.put_u8(0);
        }
        text::put_short(out, &column.name);
    }
}

/// Writes ROW.
pub fn put_row(out: &mut BytesMut, columns: &[Column], values: &[Value]) {
    out.put_u8(ROW);
    for (column, value) in columns.iter().zip(values) {
        column.kind.put_value(out, value);
    }
}

/// Writes NBCROW: nulls as bits, the others as in ROW.
pub fn put_row_with_nulls(out: &mut BytesMut, columns: &[Column], values: &[Value]) {
    out.put_u8(ROW_WITH_NULLS);
    let mut nulls = vec![0u8; columns.len().div_ceil(8)];
    for (n, _) in values.iter().enumerate().filter(|(_, value)| **value == Value::Null) {
        nulls[n / 8] |= 1 << (n % 8);
    }
    out.put_slice(&nulls);
    for (column, value) in columns.iter().zip(values).filter(|(_, value)| **value != Value::Null) {
        column.kind.put_value(out, value);
    }
}

/// Writes DONE, DONEPROC or DONEINPROC.
pub fn put_done(out: &mut BytesMut, kind: DoneKind, done: Done) {
    out.put_u8(match kind {
        DoneKind::Batch => DONE,
        DoneKind::Proc => DONE_PROC,
        DoneKind::InProc => DONE_IN_PROC,
    });
    let bits =
        [(done.more, MORE), (done.error, FAILED), (done.has_row_count, COUNT), (done.attention, ATTENTION)];
    out.put_u16_le(bits.iter().filter(|(is, _)| *is).map(|(_, bit)| bit).sum());
    // SELECT, as drivers expect where rows are counted.
    out.put_u16_le(if done.has_row_count { 0xc1 } else { 0 });
    out.put_u64_le(done.rows);
}

fn put_notice(out: &mut BytesMut, kind: u8, notice: &Notice) {
    sized(out, kind, |out| {
        out.put_i32_le(notice.number);
        out.put_u8(notice.state);
        out.put_u8(notice.class);
        // The token's length has two bytes: a longer text is cut.
        text::put_long(out, text::fitting(&notice.message, 2_048));
        text::put_short(out, "wheelpier");
        text::put_short(out, "");
        out.put_u32_le(1);
    });
}

/// Writes ERROR.
pub fn put_error(out: &mut BytesMut, notice: &Notice) {
    put_notice(out, ERROR, notice);
}

/// Writes INFO.
pub fn put_info(out: &mut BytesMut, notice: &Notice) {
    put_notice(out, INFO, notice);
}

/// Writes LOGINACK.
pub fn put_login_ack(out: &mut BytesMut, ack: &LoginAck) {
    sized(out, LOGIN_ACK, |out| {
        out.put_u8(SQL);
        out.put_u32(ack.version);
        text::put_short(out, &ack.program);
        out.put_slice(&[15, 0, 0, 0]);
    });
}

/// Writes ENVCHANGE; the old value is left empty.
pub fn put_environment(out: &mut BytesMut, change: &Environment) {
    let (kind, value) = match change {
        Environment::Database(name) => (1, name.clone()),
        Environment::PacketSize(size) => (4, size.to_string()),
        Environment::Reset => (18, String::new()),
        Environment::Other(kind) => (*kind, String::new()),
    };
    sized(out, ENVIRONMENT, |out| {
        out.put_u8(kind);
        text::put_short(out, &value);
        // Drivers read the old packet size as a number.
        text::put_short(out, if kind == 4 { &value } else { "" });
    });
}

/// Writes the ENVCHANGE that tells the collation of texts.
pub fn put_collation(out: &mut BytesMut) {
    sized(out, ENVIRONMENT, |out| {
        out.put_u8(7);
        out.put_u8(COLLATION.len() as u8);
        out.put_slice(&COLLATION);
        out.put_u8(0);
    });
}

/// Writes ORDER.
pub fn put_order(out: &mut BytesMut, columns: &[u16]) {
    sized(out, ORDER, |out| columns.iter().for_each(|column| out.put_u16_le(*column)));
}

/// Writes RETURNSTATUS.
pub fn put_return_status(out: &mut BytesMut, status: i32) {
    out.put_u8(RETURN_STATUS);
    out.put_i32_le(status);
}
