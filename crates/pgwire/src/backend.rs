//! Messages of ledger hosts (backends).

use super::{body, length_field, parse_partial, Input, WireError};
use winnow::binary::{be_u16, be_u32, u8 as byte};
use winnow::combinator::{repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, one_of, take, take_till};
use winnow::{ModalResult, Parser};

/// The maximum length of a host's message: a value of 64 KiB, which arrives in binary, and its frame. With
/// about 480 connections on each side, answers and statements of maximum length still fit into a proxy's
/// memory.
pub const MAX_HOST_MESSAGE_BYTES: usize = 72 * 1024;
/// The maximum length of a large row, which is forwarded in parts and never buffered whole: a value of 4 MiB
/// and its frame.
pub const MAX_ROW_BYTES: usize = 4 * 1024 * 1024 + 1024;
/// The bytes before the value in a row of one column: message type and length, number of columns, length of
/// the value.
const VALUE_OFFSET: usize = 5 + 2 + 4;

/// A message of a ledger host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage<'a> {
    /// An authentication request; true for AuthenticationOk, when no password is needed.
    Authentication(bool),
    /// The name and value of a run-time parameter: ParameterStatus.
    Parameter(&'a str, &'a str),
    /// The description of the rows that follow: their number of columns.
    RowDescription(u16),
    /// The columns of a row; null as `None`.
    DataRow(Vec<Option<&'a [u8]>>),
    /// The statement has completed.
    CommandComplete,
    /// The response to an empty query.
    EmptyQuery,
    /// An error: ErrorResponse.
    Error(ErrorFields<'a>),
    /// The host is ready for the next query: ReadyForQuery.
    Ready,
    /// A notice or another message that the proxy ignores, by its type.
    Other(u8),
}

/// The fields of an ErrorResponse that the proxy uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// The SQLSTATE.
    pub code: &'a str,
    /// The primary message.
    pub message: &'a str,
    /// The detail.
    pub detail: &'a str,
    /// Whether the severity is FATAL or PANIC: the host closes the connection.
    pub fatal: bool,
}

impl<'a> BackendMessage<'a> {
    /// Parses the next message and returns it with its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns an error if the message is too long or malformed: the connection cannot be used any more.
    pub fn parse(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        if bytes.get(1..).and_then(length_field).is_some_and(|length| length > MAX_HOST_MESSAGE_BYTES) {
            return Err(WireError::TooLong);
        }
        parse_partial(bytes, message)
    }

    /// Returns the length of the row at the front, if it is a large one: of one column and longer than
    /// [`MAX_HOST_MESSAGE_BYTES`], but at most [`MAX_ROW_BYTES`]. Such a row is forwarded in parts.
    pub fn large_row(bytes: &[u8]) -> Option<usize> {
        let length = single_value_row(bytes)?;
        (MAX_HOST_MESSAGE_BYTES + 1..=MAX_ROW_BYTES).contains(&length).then_some(length + 1)
    }

    /// Whether the message at the front is a row of one column, with lengths that fit, of which a part has
    /// arrived.
    pub fn is_partial_row(bytes: &[u8]) -> bool {
        single_value_row(bytes).is_some_and(|length| bytes.len() <= length)
    }

    /// Whether the message at the front may be a large row, but too few bytes have arrived to tell.
    pub fn may_be_large_row(bytes: &[u8]) -> bool {
        bytes.first() == Some(&b'D') && bytes.len() < VALUE_OFFSET
    }
}

/// Returns the length field of the row at the front, if it has one column and lengths that fit.
fn single_value_row(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(1..).and_then(length_field)?;
    let column = bytes.get(5..VALUE_OFFSET)?;
    let value = length_field(&column[2..])?;
    let fits = value.checked_add(VALUE_OFFSET) == Some(length + 1);
    (bytes[0] == b'D' && column[..2] == [0, 1] && fits).then_some(length)
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
            let _: () = repeat(usize::from(columns), column_description).parse_next(content)?;
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
    // Bytes after the last field: the message's length is wrong.
    match content.is_empty() {
        true => Ok(message),
        false => Err(ErrMode::Cut(ContextError::new())),
    }
}

/// Skips the description of a column: name, table, column number, type, size, modifier and format.
fn column_description(content: &mut &[u8]) -> ModalResult<()> {
    (text, take(18usize)).void().parse_next(content)
}

/// Parses a string that is terminated by a zero byte.
fn text<'a>(content: &mut &'a [u8]) -> ModalResult<&'a str> {
    terminated(take_till(0.., 0u8), literal(0u8)).try_map(std::str::from_utf8).parse_next(content)
}

/// Parses a column of a row; null as `None`.
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
