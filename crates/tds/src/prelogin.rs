//! PRELOGIN: the options that both sides exchange before the login (2.2.6.5).

use crate::text::ParseResult;
use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{be_u16, u8 as byte};
use winnow::error::ContextError;
use winnow::Parser;

const VERSION: u8 = 0;
const ENCRYPTION: u8 = 1;
const MARS: u8 = 4;
const TERMINATOR: u8 = 0xff;
/// The maximum number of options that is accepted; the specification defines fewer.
const MAX_OPTIONS: usize = 16;

/// The value of the ENCRYPTION option (2.2.6.5).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encryption {
    /// Supported, and used for the login only.
    Off,
    /// Supported and requested.
    On,
    /// Not supported.
    #[default]
    NotSupported,
    /// Required: without encryption the connection ends.
    Required,
}

impl Encryption {
    fn from_code(byte: u8) -> Option<Self> {
        // Bit 0x80 announces a client certificate; it is combined with the values that request encryption.
        Some(match byte & 0x7f {
            0 => Self::Off,
            1 => Self::On,
            2 => Self::NotSupported,
            3 => Self::Required,
            _ => return None,
        })
    }

    fn code(self) -> u8 {
        match self {
            Self::Off => 0,
            Self::On => 1,
            Self::NotSupported => 2,
            Self::Required => 3,
        }
    }
}

/// The PRELOGIN options that this crate reads and writes; others are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prelogin {
    /// The version of the sender's program: major, minor, build.
    pub version: (u8, u8, u16),
    /// The encryption that the sender offers or demands.
    pub encryption: Encryption,
    /// Whether the sender wants MARS: several concurrent requests on one connection.
    pub mars: bool,
}

impl Prelogin {
    /// Parses the payload of a message.
    ///
    /// # Errors
    /// Returns an error if an option lies outside the message or has an invalid value, or VERSION is not the
    /// first option.
    pub fn parse(payload: &[u8]) -> Result<Self, WireError> {
        let options = parse_options(&mut &payload[..]).map_err(|_| WireError::Malformed("PRELOGIN"))?;
        let mut prelogin = Self::default();
        if options.first().map(|(token, ..)| *token) != Some(VERSION) {
            return Err(WireError::Malformed("PRELOGIN without VERSION"));
        }
        for (token, offset, length) in options {
            let (offset, length) = (usize::from(offset), usize::from(length));
            let value = payload.get(offset..offset + length);
            let value = value.ok_or(WireError::Malformed("a PRELOGIN option lies outside"))?;
            match (token, value) {
                (VERSION, [major, minor, high, low, ..]) => {
                    prelogin.version = (*major, *minor, u16::from_be_bytes([*high, *low]));
                }
                (ENCRYPTION, [value]) => {
                    let known = Encryption::from_code(*value);
                    prelogin.encryption = known.ok_or(WireError::Malformed("PRELOGIN encryption"))?;
                }
                (MARS, [value, ..]) => prelogin.mars = *value == 1,
                (VERSION | ENCRYPTION, _) => return Err(WireError::Malformed("a PRELOGIN option's length")),
                _ => {}
            }
        }
        Ok(prelogin)
    }

    /// Writes the payload of a message.
    pub fn put(&self, output: &mut BytesMut) {
        let (major, minor, build) = self.version;
        let build = build.to_be_bytes();
        let version = [major, minor, build[0], build[1], 0, 0];
        let options: [(u8, &[u8]); 3] =
            [(VERSION, &version), (ENCRYPTION, &[self.encryption.code()]), (MARS, &[u8::from(self.mars)])];
        let mut offset = options.len() * 5 + 1;
        for (token, value) in options {
            output.put_u8(token);
            output.put_u16(offset as u16);
            output.put_u16(value.len() as u16);
            offset += value.len();
        }
        output.put_u8(TERMINATOR);
        options.iter().for_each(|(_, value)| output.put_slice(value));
    }
}

/// Parses the option table: token, offset and length of each option.
fn parse_options(input: &mut &[u8]) -> ParseResult<Vec<(u8, u16, u16)>> {
    let mut options = Vec::new();
    loop {
        match byte.parse_next(input)? {
            TERMINATOR => return Ok(options),
            _ if options.len() == MAX_OPTIONS => return Err(ContextError::new()),
            token => options.push((token, be_u16.parse_next(input)?, be_u16.parse_next(input)?)),
        }
    }
}
