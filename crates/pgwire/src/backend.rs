//! What ledger hosts answer.

use super::{announced, body, framed, Input, WireError};
use winnow::binary::{be_u16, be_u32, u8 as byte};
use winnow::combinator::{repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, one_of, take, take_till};
use winnow::{ModalResult, Parser};

/// The longest message that is taken: a value of 64 KiB, which comes as bytes. With some 480 connections on
/// either side, answers and statements at their longest still fit into the memory of a proxy.
pub const MAX_HOST_MESSAGE_BYTES: usize = 72 * 1024;
/// The longest row that is passed on without being held whole: a value of 4 MiB and what stands around it.
pub const MAX_ROW_BYTES: usize = 4 * 1024 * 1024 + 1024;
/// What stands in a row of one column before its value: the kind and the length, the count, the value's own length.
const BEFORE_VALUE: usize = 5 + 2 + 4;

/// A message of a ledger host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage<'a> {
    /// Authentication; true when none is needed.
    Authentication(bool),
    /// A parameter and its value.
    Parameter(&'a str, &'a str),
    /// The description of the rows to come: how many columns they have.
    RowDescription(u16),
    /// A row: its columns, null as none.
    DataRow(Vec<Option<&'a [u8]>>),
    /// The statement is done.
    CommandComplete,
    /// The empty query's answer.
    EmptyQuery,
    /// An error.
    Error(ErrorFields<'a>),
    /// The next query may come.
    Ready,
    /// A notice or anything else that needs no care.
    Other(u8),
}

/// The fields of an error that matter here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// SQLSTATE.
    pub code: &'a str,
    /// The message.
    pub message: &'a str,
    /// The detail.
    pub detail: &'a str,
    /// Whether the connection ends with it.
    pub fatal: bool,
}

impl<'a> BackendMessage<'a> {
    /// Reads the next message; none while it is cut off.
    ///
    /// # Errors
    /// When it is too long or malformed: the connection is of no more use.
    pub fn parse(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        if bytes.get(1..).and_then(announced).is_some_and(|length| length > MAX_HOST_MESSAGE_BYTES) {
            return Err(WireError::TooLong);
        }
        framed(bytes, message)
    }

    /// The number of bytes in the row that begins here, if it has one column and is longer than
    /// [`MAX_HOST_MESSAGE_BYTES`] but may be passed on part by part.
    pub fn large_row(bytes: &[u8]) -> Option<usize> {
        let length = bytes.get(1..).and_then(announced)?;
        let column = bytes.get(5..BEFORE_VALUE)?;
        let value = announced(&column[2..])?;
        let fits =
            bytes[0] == b'D' && column[..2] == [0, 1] && value.checked_add(BEFORE_VALUE) == Some(length + 1);
        (fits && (MAX_HOST_MESSAGE_BYTES + 1..=MAX_ROW_BYTES).contains(&length)).then_some(length + 1)
    }

    /// Whether a message that begins here may be such a row, but too little of it has come to tell.
    pub fn may_be_large_row(bytes: &[u8]) -> bool {
        bytes.first() == Some(&b'D') && bytes.len() < BEFORE_VALUE
    }
}

fn message<'a>(input: &mut Input<'a>) -> ModalResult<BackendMessage<'a>> {
    let kind = byte.parse_next(input)?;
    let mut content = body(input, MAX_HOST_MESSAGE_BYTES)?;
    let content = &mut content;
    let message = match kind {
        b'R' => BackendMessage::Authentication(be_u32.parse_next(content)? == 0),
        b'S' => {
            let (name, value) = (text, text).parse_next(content)?;
            BackendMessage::Parameter(name, value)
        }
        b'T' => {
            let columns = be_u16.parse_next(content)?;
            let _: () = repeat(usize::from(columns), field).parse_next(content)?;
            BackendMessage::RowDescription(columns)
        }
        b'D' => {
            let columns = be_u16.parse_next(content)? as usize;
            BackendMessage::DataRow(repeat(columns, column).parse_next(content)?)
        }
        b'C' => {
            text(content)?;
            BackendMessage::CommandComplete
        }
        b'I' => BackendMessage::EmptyQuery,
        b'E' => BackendMessage::Error(error_fields(content)?),
        b'Z' => {
            one_of([b'I', b'T', b'E']).parse_next(content)?;
            BackendMessage::Ready
        }
        other => return Ok(BackendMessage::Other(other)),
    };
    // What stands behind the fields, where nothing can stand, shows that the length does not fit.
    match content.is_empty() {
        true => Ok(message),
        false => Err(ErrMode::Cut(ContextError::new())),
    }
}

/// One column's description: its name, table, number, type, size, modifier and format.
fn field(content: &mut &[u8]) -> ModalResult<()> {
    (text, take(18usize)).void().parse_next(content)
}

/// A text up to its zero.
fn text<'a>(content: &mut &'a [u8]) -> ModalResult<&'a str> {
    terminated(take_till(0.., 0u8), literal(0u8)).try_map(std::str::from_utf8).parse_next(content)
}

fn column<'a>(content: &mut &'a [u8]) -> ModalResult<Option<&'a [u8]>> {
    match be_u32.parse_next(content)? {
        u32::MAX => Ok(None),
        length => take(length).map(Some).parse_next(content),
    }
}

fn error_fields<'a>(content: &mut &'a [u8]) -> ModalResult<ErrorFields<'a>> {
    let mut fields = ErrorFields::default();
    loop {
        let kind = byte.parse_next(content)?;
        if kind == 0 {
            return Ok(fields);
        }
        let value = text(content)?;
        match kind {
            b'C' => fields.code = value,
            b'M' => fields.message = value,
            b'D' => fields.detail = value,
            b'S' | b'V' => fields.fatal |= matches!(value, "FATAL" | "PANIC"),
            _ => {}
        }
    }
}
