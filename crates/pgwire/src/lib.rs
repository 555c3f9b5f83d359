//! Parsers and encoders for PostgreSQL's wire protocol, version 3, for clients and servers. No sockets.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod backend;
mod encode;
mod frontend;
mod statement;

pub use backend::{BackendMessage, ErrorFields, MAX_HOST_MESSAGE_BYTES, MAX_ROW_BYTES};
pub use encode::*;
pub use frontend::{CancelKey, FrontendMessage, Startup, MAX_STATEMENT_BYTES};
pub use statement::{Comment, KvStatement, StatementError};

use winnow::binary::be_u32;
use winnow::error::{ContextError, ErrMode, Needed};
use winnow::stream::Stream;
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

/// Input that may end in an incomplete message.
pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// Reports an invalid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The message is longer than the limit of its type.
    #[error("a message is longer than is taken here")]
    TooLong,
    /// The length or a field of the message is invalid.
    #[error("a message is malformed")]
    Malformed,
}

/// Parses a message's length field and returns the content that follows it. The length includes the field
/// itself.
pub(crate) fn body<'a>(input: &mut Input<'a>, max_bytes: usize) -> ModalResult<&'a [u8]> {
    let length = be_u32.parse_next(input)? as usize;
    if length < 4 || length - 4 > max_bytes {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    take(length - 4).parse_next(input)
}

/// Runs a parser over input that may be incomplete. Returns the value and the number of bytes consumed, or
/// `None` while the message is incomplete.
pub(crate) fn parse_partial<'a, T>(
    bytes: &'a [u8],
    parser: impl FnOnce(&mut Input<'a>) -> ModalResult<T>,
) -> Result<Option<(T, usize)>, WireError> {
    let mut input = Partial::new(bytes);
    let start = input.checkpoint();
    match parser(&mut input) {
        Ok(value) => {
            let remaining = input.into_inner().len();
            Ok(Some((value, bytes.len() - remaining)))
        }
        Err(ErrMode::Incomplete(Needed::Unknown | Needed::Size(_))) => {
            input.reset(&start);
            Ok(None)
        }
        Err(_) => Err(WireError::Malformed),
    }
}

/// Returns the value of the length field at the front, once its four bytes have arrived.
pub(crate) fn length_field(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(..4)?;
    Some(u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize)
}
