//! The tokens of a server's response (2.2.7).

use crate::text::{self, ParseResult};
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
/// The column count of a COLMETADATA without metadata.
const NO_METADATA: u16 = 0xffff;
/// The column flag `fNullable`.
const NULLABLE: u16 = 0x0001;
/// The value of LOGINACK's interface field for Transact-SQL.
const SQL_TSQL: u8 = 1;
/// The feature id that ends FEATUREEXTACK.
const NO_MORE_FEATURES: u8 = 0xff;
/// The maximum number of columns that is accepted: answers of ledger hosts have far fewer. Each column takes
/// memory before the first row arrives.
const MAX_COLUMNS: u16 = 1_024;

/// The description of a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// The name.
    pub name: String,
    /// The type.
    pub kind: DataType,
}

/// An error or an information message (2.2.7.10, 2.2.7.13).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The message number; see [`crate::numbers`].
    pub number: i32,
    /// The state, which tells apart the causes of messages with the same number.
    pub state: u8,
    /// The class, also called severity: above 10 for errors; from 20 on the connection ends.
    pub class: u8,
    /// The text.
    pub message: String,
}

/// The content of LOGINACK (2.2.7.14).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoginAck {
    /// The protocol version of the session.
    pub version: u32,
    /// The name of the server's program.
    pub program: String,
}

/// The kind of execution that a DONE token ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoneKind {
    /// A statement of a batch: DONE.
    Batch,
    /// A procedure: DONEPROC.
    Proc,
    /// A statement within a procedure: DONEINPROC.
    InProc,
}

/// The content of DONE, DONEPROC or DONEINPROC: the end of an execution (2.2.7.6).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// Whether more results follow.
    pub more: bool,
    /// Whether the execution ended in an error.
    pub error: bool,
    /// Whether [`Self::rows`] is valid.
    pub has_row_count: bool,
    /// Whether the token acknowledges an attention, with which the client cancelled its request.
    pub attention: bool,
    /// The number of rows returned or changed.
    pub rows: u64,
}

// The bits of a DONE token's status (2.2.7.6).
const MORE: u16 = 0x0001;
const FAILED: u16 = 0x0002;
const COUNT: u16 = 0x0010;
const ATTENTION: u16 = 0x0020;

/// A change of the session's environment (2.2.7.9).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Environment {
    /// The new database.
    Database(String),
    /// The new packet size, in bytes.
    PacketSize(usize),
    /// The session was reset on the client's request.
    Reset,
    /// Any other change, by its type.
    Other(u8),
}

/// A token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// The columns of the rows that follow: COLMETADATA.
    Columns(Vec<Column>),
    /// A row: ROW or NBCROW.
    Row(Vec<Value>),
    /// The end of an execution: DONE, DONEPROC or DONEINPROC.
    Done(DoneKind, Done),
    /// An error.
    Error(Notice),
    /// An information message.
    Info(Notice),
    /// The login has succeeded.
    LoginAck(LoginAck),
    /// The session's environment has changed: ENVCHANGE.
    Environment(Environment),
    /// The columns by which the rows are ordered.
    Order(Vec<u16>),
    /// The return status of a procedure.
    ReturnStatus(i32),
    /// The value of an output parameter.
    ReturnValue(Value),
    /// The server's acknowledgement of protocol extensions, whose content is skipped: FEATUREEXTACK.
    Features,
}

/// An iterator over the tokens of a response. It ends after the first token that cannot be parsed.
#[derive(Debug)]
pub struct Tokens<'a> {
    remaining: &'a [u8],
    columns: Vec<Column>,
}

impl<'a> Tokens<'a> {
    /// Creates an iterator over the payload of a complete response.
    pub fn new(payload: &'a [u8]) -> Self {
        Self { remaining: payload, columns: Vec::new() }
    }

    fn next_token(&mut self) -> Result<Token, WireError> {
        let kind = self.remaining[0];
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
        self.remaining = &self.remaining[1..];
        let token = parse_token(kind, &self.columns, &mut self.remaining)
            .map_err(|_| WireError::Malformed("a token"))?;
        if let Token::Columns(columns) = &token {
            self.columns.clone_from(columns);
        }
        Ok(token)
    }
}

impl Iterator for Tokens<'_> {
    type Item = Result<Token, WireError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.remaining.is_empty() {
            return None;
        }
        let token = self.next_token();
        if token.is_err() {
            // The length of an invalid token is unknown, so the tokens after it cannot be parsed.
            self.remaining = &[];
        }
        Some(token)
    }
}

/// Parses the rest of a token, after its type. `columns` are those of the last COLMETADATA.
fn parse_token(kind: u8, columns: &[Column], input: &mut &[u8]) -> ParseResult<Token> {
    Ok(match kind {
        RETURN_STATUS => Token::ReturnStatus(le_i32.parse_next(input)?),
        COLUMNS => Token::Columns(parse_columns(input)?),
        ROW => Token::Row(
            columns.iter().map(|column| column.kind.parse_value(input)).collect::<ParseResult<_>>()?,
        ),
        ROW_WITH_NULLS => Token::Row(parse_row_with_nulls(columns, input)?),
        DONE => Token::Done(DoneKind::Batch, parse_done(input)?),
        DONE_PROC => Token::Done(DoneKind::Proc, parse_done(input)?),
        DONE_IN_PROC => Token::Done(DoneKind::InProc, parse_done(input)?),
        RETURN_VALUE => {
            (le_u16, text::parse_short, byte, le_u32, le_u16).void().parse_next(input)?;
            Token::ReturnValue(DataType::parse(input)?.parse_value(input)?)
        }
        FEATURES => {
            while byte.parse_next(input)? != NO_MORE_FEATURES {
                let length = le_u32.parse_next(input)?;
                take(length).void().parse_next(input)?;
            }
            Token::Features
        }
        _ => {
            // These tokens carry their length, which their content must match exactly.
            let content: &mut &[u8] = &mut length_take(le_u16).parse_next(input)?;
            let token = match kind {
                ERROR => Token::Error(parse_notice(content)?),
                INFO => Token::Info(parse_notice(content)?),
                LOGIN_ACK => Token::LoginAck(parse_login_ack(content)?),
                ENVIRONMENT => Token::Environment(parse_environment(content)?),
                _ => {
                    Token::Order(content.chunks_exact(2).map(|c| u16::from_le_bytes([c[0], c[1]])).collect())
                }
            };
            let complete = content.is_empty() || matches!(token, Token::Order(_));
            return if complete { Ok(token) } else { Err(ContextError::new()) };
        }
    })
}

fn parse_columns(input: &mut &[u8]) -> ParseResult<Vec<Column>> {
    let count = le_u16.parse_next(input)?;
    if count == NO_METADATA {
        return Ok(Vec::new());
    }
    if count > MAX_COLUMNS {
        return Err(ContextError::new());
    }
    let mut columns = Vec::new();
    for _ in 0..count {
        (le_u32, le_u16).void().parse_next(input)?;
        let kind = DataType::parse(input)?;
        if kind == DataType::NText {
            // The name of the table, in parts.
            let parts = byte.parse_next(input)?;
            (0..parts).try_for_each(|_| text::parse_long(input).map(drop))?;
        }
        columns.push(Column { name: text::parse_short(input)?, kind });
    }
    Ok(columns)
}

/// Parses an NBCROW: a bitmap of the columns that are null, then the values of the others.
fn parse_row_with_nulls(columns: &[Column], input: &mut &[u8]) -> ParseResult<Vec<Value>> {
    let nulls = take(columns.len().div_ceil(8)).parse_next(input)?;
    let value = |(index, column): (usize, &Column)| match nulls[index / 8] >> (index % 8) & 1 {
        1 => Ok(Value::Null),
        _ => column.kind.parse_value(input),
    };
    columns.iter().enumerate().map(value).collect()
}

fn parse_done(input: &mut &[u8]) -> ParseResult<Done> {
    let (status, _, rows) = (le_u16, le_u16, le_u64).parse_next(input)?;
    let has = |bit: u16| status & bit != 0;
    Ok(Done {
        more: has(MORE),
        error: has(FAILED),
        has_row_count: has(COUNT),
        attention: has(ATTENTION),
        rows,
    })
}

fn parse_notice(input: &mut &[u8]) -> ParseResult<Notice> {
    let (number, state, class, message) = (le_i32, byte, byte, text::parse_long).parse_next(input)?;
    (text::parse_short, text::parse_short, le_u32).void().parse_next(input)?;
    Ok(Notice { number, state, class, message })
}

fn parse_login_ack(input: &mut &[u8]) -> ParseResult<LoginAck> {
    let (_, version, program, _) = (byte, be_u32, text::parse_short, le_u32).parse_next(input)?;
    Ok(LoginAck { version, program })
}

fn parse_environment(input: &mut &[u8]) -> ParseResult<Environment> {
    let change = match byte.parse_next(input)? {
        1 => Environment::Database(text::parse_short(input)?),
        4 => {
            let size = text::parse_short(input)?.parse().map_err(|_| ContextError::new())?;
            Environment::PacketSize(size)
        }
        18 => Environment::Reset,
        other => Environment::Other(other),
    };
    // Skips the old value, or the whole content of a change of unknown type.
    *input = &[];
    Ok(change)
}

/// Writes a token whose content is preceded by its length.
fn put_sized(output: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    output.put_u8(kind);
    let start = output.len();
    output.put_u16_le(0);
    content(output);
    let length = (output.len() - start - 2) as u16;
    output[start..start + 2].copy_from_slice(&length.to_le_bytes());
}

/// Writes COLMETADATA.
pub fn put_columns(output: &mut BytesMut, columns: &[Column]) {
    output.put_u8(COLUMNS);
    output.put_u16_le(columns.len() as u16);
    for column in columns {
        output.put_u32_le(0);
        output.put_u16_le(NULLABLE);
        column.kind.put(output);
        if column.kind == DataType::NText {
            output.put_u8(0);
        }
        text::put_short(output, &column.name);
    }
}

/// Writes ROW.
pub fn put_row(output: &mut BytesMut, columns: &[Column], values: &[Value]) {
    output.put_u8(ROW);
    for (column, value) in columns.iter().zip(values) {
        column.kind.put_value(output, value);
    }
}

/// Writes NBCROW: a bitmap of the columns that are null, then the other values as in ROW.
pub fn put_row_with_nulls(output: &mut BytesMut, columns: &[Column], values: &[Value]) {
    output.put_u8(ROW_WITH_NULLS);
    let mut nulls = vec![0u8; columns.len().div_ceil(8)];
    for (index, _) in values.iter().enumerate().filter(|(_, value)| **value == Value::Null) {
        nulls[index / 8] |= 1 << (index % 8);
    }
    output.put_slice(&nulls);
    for (column, value) in columns.iter().zip(values).filter(|(_, value)| **value != Value::Null) {
        column.kind.put_value(output, value);
    }
}

/// Writes DONE, DONEPROC or DONEINPROC.
pub fn put_done(output: &mut BytesMut, kind: DoneKind, done: Done) {
    output.put_u8(match kind {
        DoneKind::Batch => DONE,
        DoneKind::Proc => DONE_PROC,
        DoneKind::InProc => DONE_IN_PROC,
    });
    let bits =
        [(done.more, MORE), (done.error, FAILED), (done.has_row_count, COUNT), (done.attention, ATTENTION)];
    output.put_u16_le(bits.iter().filter(|(set, _)| *set).map(|(_, bit)| bit).sum());
    // The current command: SELECT (0xc1), which drivers expect with a row count.
    output.put_u16_le(if done.has_row_count { 0xc1 } else { 0 });
    output.put_u64_le(done.rows);
}

fn put_notice(output: &mut BytesMut, kind: u8, notice: &Notice) {
    put_sized(output, kind, |output| {
        output.put_i32_le(notice.number);
        output.put_u8(notice.state);
        output.put_u8(notice.class);
        // The token's length field has two bytes: a longer text is truncated.
        text::put_long(output, text::truncated(&notice.message, 2_048));
        text::put_short(output, "wheelpier");
        text::put_short(output, "");
        output.put_u32_le(1);
    });
}

/// Writes ERROR.
pub fn put_error(output: &mut BytesMut, notice: &Notice) {
    put_notice(output, ERROR, notice);
}

/// Writes INFO.
pub fn put_info(output: &mut BytesMut, notice: &Notice) {
    put_notice(output, INFO, notice);
}

/// Writes LOGINACK.
pub fn put_login_ack(output: &mut BytesMut, ack: &LoginAck) {
    put_sized(output, LOGIN_ACK, |output| {
        output.put_u8(SQL_TSQL);
        output.put_u32(ack.version);
        text::put_short(output, &ack.program);
        output.put_slice(&[15, 0, 0, 0]);
    });
}

/// Writes ENVCHANGE. The old value is left empty, except for the packet size.
pub fn put_environment(output: &mut BytesMut, change: &Environment) {
    let (kind, value) = match change {
        Environment::Database(name) => (1, name.clone()),
        Environment::PacketSize(size) => (4, size.to_string()),
        Environment::Reset => (18, String::new()),
        Environment::Other(kind) => (*kind, String::new()),
    };
    put_sized(output, ENVIRONMENT, |output| {
        output.put_u8(kind);
        text::put_short(output, &value);
        // Drivers parse the old packet size as a number: it must not be empty.
        text::put_short(output, if kind == 4 { &value } else { "" });
    });
}

/// Writes the ENVCHANGE that reports the collation of the session.
pub fn put_collation(output: &mut BytesMut) {
    put_sized(output, ENVIRONMENT, |output| {
        output.put_u8(7);
        output.put_u8(COLLATION.len() as u8);
        output.put_slice(&COLLATION);
        output.put_u8(0);
    });
}

/// Writes ORDER.
pub fn put_order(output: &mut BytesMut, columns: &[u16]) {
    put_sized(output, ORDER, |output| columns.iter().for_each(|column| output.put_u16_le(*column)));
}

/// Writes RETURNSTATUS.
pub fn put_return_status(output: &mut BytesMut, status: i32) {
    output.put_u8(RETURN_STATUS);
    output.put_i32_le(status);
}
