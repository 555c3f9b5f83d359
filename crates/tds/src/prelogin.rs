//! PRELOGIN: what both sides tell before the login (2.2.6.5).

use crate::text::Read;
use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{be_u16, u8 as byte};
use winnow::error::ContextError;
use winnow::Parser;

const VERSION: u8 = 0;
const ENCRYPTION: u8 = 1;
const MARS: u8 = 4;
const END: u8 = 0xff;
/// More options than the specification has are none of its.
const MOST_OPTIONS: usize = 16;

/// What a side says of encryption (2.2.6.5).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encryption {
    /// Has it, for the login alone.
    Off,
    /// Has it and wants it.
    On,
    /// Does not have it.
    #[default]
    NotSupported,
    /// Does not go on without it.
    Required,
}

impl Encryption {
    fn of(byte: u8) -> Option<Self> {
        // Bit 0x80 announces a client's certificate and goes with encryption that is wanted.
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

/// The options that matter here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prelogin {
    /// The program's version: major, minor, build.
    pub version: (u8, u8, u16),
    /// Encryption.
    pub encryption: Encryption,
    /// Whether it wants several requests at once on one connection.
    pub mars: bool,
}

impl Prelogin {
    /// Reads a message's payload.
    ///
    /// # Errors
    /// When an option lies outside the message, or VERSION, which comes first, is not there.
    pub fn parse(payload: &[u8]) -> Result<Self, WireError> {
        let options = options(&mut &payload[..]).map_err(|_| WireError::Malformed("PRELOGIN"))?;
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
                    let known = Encryption::of(*value);
                    prelogin.encryption = known.ok_or(WireError::Malformed("PRELOGIN encryption"))?;
                }
                (MARS, [value, ..]) => prelogin.mars = *value == 1,
                (VERSION | ENCRYPTION, _) => return Err(WireError::Malformed("a PRELOGIN option's length")),
                _ => {}
            }
        }
        Ok(prelogin)
    }

    /// Writes a message's payload.
    pub fn put(&self, out: &mut BytesMut) {
        let (major, minor, build) = self.version;
        let build = build.to_be_bytes();
        let version = [major, minor, build[0], build[1], 0, 0];
        let options: [(u8, &[u8]); 3] =
            [(VERSION, &version), (ENCRYPTION, &[self.encryption.code()]), (MARS, &[u8::from(self.mars)])];
        let mut offset = options.len() * 5 + 1;
        for (token, value) in options {
            out.put_u8(token);
            out.put_u16(offset as u16);
            out.put_u16(value.len() as u16);
            offset += value.len();
        }
        out.put_u8(END);
        options.iter().for_each(|(_, value)| out.put_slice(value));
    }
}

fn options(input: &mut &[u8]) -> Read<Vec<(u8, u16, u16)>> {
    let mut options = Vec::new();
    loop {
        match byte.parse_next(input)? {
            END => return Ok(options),
            _ if options.len() == MOST_OPTIONS => return Err(ContextError::new()),
            token => options.push((token, be_u16.parse_next(input)?, be_u16.parse_next(input)?)),
        }
    }
}
