//! What clients write.

use super::{announced, body, framed, Input, WireError};
use winnow::binary::{be_u32, u8 as byte};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

/// The longest startup packet that is taken, as PostgreSQL does.
const MOST_STARTUP: usize = 10_000;
/// Values are 64 KiB at most; as hexadecimal digits with statement and comment they are twice that and some.
pub const MAX_STATEMENT_BYTES: usize = 136 * 1024;

const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

/// What a session is known by to those who call off what runs on it (BackendKeyData, CancelRequest).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The process that serves the session.
    pub process: u32,
    /// What only the session's client knows.
    pub secret: u32,
}

impl CancelKey {
    /// The key of a session that cannot be called upon.
    pub const NONE: Self = Self { process: 0, secret: 0 };
}

/// The first packet of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// Asks for encryption: answered `N`, after which the client goes on in clear.
    Encryption,
    /// Asks to cancel what runs on the connection of that key.
    Cancel(CancelKey),
    /// Opens a session with this minor version of protocol 3.
    Session {
        /// Minor version asked for.
        minor: u16,
    },
    /// Another major version.
    Unsupported,
}

/// A message of a client whose session is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendMessage<'a> {
    /// A simple query; the text without its terminator.
    Query(&'a [u8]),
    /// Part of the extended query protocol, or a function call; not served here.
    Extended,
    /// The end of a run of extended messages: wants ReadyForQuery.
    Sync,
    /// Means nothing outside COPY.
    Copy,
    /// The client takes its leave.
    Terminate,
    /// No message of the protocol.
    Unknown(u8),
}

impl Startup {
    /// Reads the first packet; none while it is cut off.
    ///
    /// # Errors
    /// When it cannot be a startup packet.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, WireError> {
        if announced(bytes).is_some_and(|length| length > MOST_STARTUP) {
            return Err(WireError::TooLong);
        }
        framed(bytes, startup)
    }
}

fn startup(input: &mut Input<'_>) -> ModalResult<Startup> {
    let mut packet = body(input, MOST_STARTUP)?;
    let code = be_u32.parse_next(&mut packet)?;
    Ok(match code {
        SSL | GSS => Startup::Encryption,
        CANCEL => Startup::Cancel(cancel_key(&mut packet)?),
        // Names and values, each with its zero, and one more at the end.
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
    /// Reads the next message; none while it is cut off.
    ///
    /// # Errors
    /// When it is too long or malformed: nothing after it can be read either.
    pub fn parse(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, WireError> {
        if bytes.get(1..).and_then(announced).is_some_and(|length| length > MAX_STATEMENT_BYTES) {
            return Err(WireError::TooLong);
        }
        framed(bytes, message)
    }
}

fn message<'a>(input: &mut Input<'a>) -> ModalResult<FrontendMessage<'a>> {
    let kind = byte.parse_next(input)?;
    let content = body(input, MAX_STATEMENT_BYTES)?;
    Ok(match kind {
        // The text ends with its zero and holds no other: a host would stop reading there.
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
