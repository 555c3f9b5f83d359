//! Messages of clients (frontends).

use super::{body, length_field, parse_partial, Input, WireError};
use winnow::binary::{be_u32, u8 as byte};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

/// The maximum length of a startup packet, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The maximum length of a statement: a value of 64 KiB takes 128 KiB as hexadecimal digits, and the rest of
/// the statement and its comment up to 8 KiB.
pub const MAX_STATEMENT_BYTES: usize = 136 * 1024;

// The request codes that take the place of a protocol version.
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

/// The key that names a session in a CancelRequest. The client receives it in BackendKeyData.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The id of the process that serves the session.
    pub process: u32,
    /// The secret that only the session's client is sent.
    pub secret: u32,
}

impl CancelKey {
    /// The key of a session whose statements cannot be cancelled.
    pub const NONE: Self = Self { process: 0, secret: 0 };
}

/// The first packet of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// A request for encryption. The server replies `N`, and the client continues unencrypted.
    Encryption,
    /// A request to cancel the statement that runs in the session of this key.
    Cancel(CancelKey),
    /// Opens a session with protocol version 3.
    Session {
        /// The minor version that the client requests.
        minor: u16,
    },
    /// A protocol version other than 3.
    Unsupported,
}

/// A message of a client in an open session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendMessage<'a> {
    /// A simple query: its text without the terminating zero.
    Query(&'a [u8]),
    /// Part of the extended query protocol, or a function call. Not supported.
    Extended,
    /// The end of a sequence of extended messages, which ReadyForQuery answers.
    Sync,
    /// COPY data or its end, meaningless outside COPY.
    Copy,
    /// The client closes the session.
    Terminate,
    /// A message type that the protocol does not define.
    Unknown(u8),
}

impl Startup {
    /// Parses the first packet and returns it with its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid startup packet.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, WireError> {
        if length_field(bytes).is_some_and(|length| length > MAX_STARTUP_BYTES) {
            return Err(WireError::TooLong);
        }
        parse_partial(bytes, startup)
    }
}

fn startup(input: &mut Input<'_>) -> ModalResult<Startup> {
    let mut packet = body(input, MAX_STARTUP_BYTES)?;
    let code = be_u32.parse_next(&mut packet)?;
    Ok(match code {
        SSL | GSS => Startup::Encryption,
        CANCEL => Startup::Cancel(cancel_key(&mut packet)?),
        // Names and values, each terminated by a zero byte, and another zero byte at the end.
        _ if code >> 16 == 3 && packet.last() != Some(&0) => return Err(ErrMode::Cut(ContextError::new())),
        _ if code >> 16 == 3 => Startup::Session { minor: (code & 0xffff) as u16 },
        _ => Startup::Unsupported,
    })
}

fn cancel_key(packet: &mut &[u8]) -> ModalResult<CancelKey> {
    let key = (be_u32, be_u32).map(|(process, secret)| CancelKey { process, secret }).parse_next(packet)?;
    if packet.is_empty() {
        Ok(key)
    } else {
        Err(ErrMode::Cut(ContextError::new()))
    }
}

impl<'a> FrontendMessage<'a> {
    /// Parses the next message and returns it with its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns an error if the message is too long or malformed. The rest of the stream is unreadable then.
    pub fn parse(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        if bytes.get(1..).and_then(length_field).is_some_and(|length| length > MAX_STATEMENT_BYTES) {
            return Err(WireError::TooLong);
        }
        parse_partial(bytes, message)
    }
}

fn message<'a>(input: &mut Input<'a>) -> ModalResult<FrontendMessage<'a>> {
    let kind = byte.parse_next(input)?;
    let content = body(input, MAX_STATEMENT_BYTES)?;
    Ok(match kind {
        // The text must end with the only zero byte: a host stops reading at the first one.
        b'Q' => match content.split_last() {
            Some((0, text)) if !text.contains(&0) => FrontendMessage::Query(text),
            _ => return Err(ErrMode::Cut(ContextError::new())),
        },
        b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'H' => FrontendMessage::Extended,
        b'S' => FrontendMessage::Sync,
        b'd' | b'c' | b'f' => FrontendMessage::Copy,
        b'X' => FrontendMessage::Terminate,
        other => FrontendMessage::Unknown(other),
    })
}
