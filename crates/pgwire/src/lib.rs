//! PostgreSQL's protocol 3 as bytes: parsers and encoders for both sides, no sockets.
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

/// Input that may still be cut off.
pub(crate) type Input<'a> = Partial<&'a [u8]>;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Longer than this side takes.
    #[error("a message is longer than is taken here")]
    TooLong,
    /// Its length or its fields make no sense.
    #[error("a message is malformed")]
    Malformed,
}

/// A message of the length that the next four bytes give, itself included.
pub(crate) fn body<'a>(input: &mut Input<'a>, most: usize) -> ModalResult<&'a [u8]> {
    let length = be_u32.parse_next(input)? as usize;
    if length < 4 || length - 4 > most {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    take(length - 4).parse_next(input)
}

/// Runs a parser over bytes that may be cut off: the value and how many bytes it took, or none yet.
pub(crate) fn framed<'a, T>(
    bytes: &'a [u8],
    parser: impl FnOnce(&mut Input<'a>) -> ModalResult<T>,
) -> Result<Option<(T, usize)>, WireError> {
    let mut input = Partial::new(bytes);
    let start = input.checkpoint();
    match parser(&mut input) {
        Ok(value) => {
            let left = input.into_inner().len();
            Ok(Some((value, bytes.len() - left)))
        }
        Err(ErrMode::Incomplete(Needed::Unknown | Needed::Size(_))) => {
            input.reset(&start);
            Ok(None)
        }
        Err(_) => Err(WireError::Malformed),
    }
}

/// The length that a message announces, as soon as it is known.
pub(crate) fn announced(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(..4)?;
    Some(u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize)
}
