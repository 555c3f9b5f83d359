//! Data types and values, as parameters and columns bear them (2.2.5.4, 2.2.5.5).

use crate::text::{self, Read};
use bytes::{BufMut, Bytes, BytesMut};
use winnow::binary::{le_i16, le_i32, le_i64, le_u16, le_u32, le_u64, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

/// How many bytes a chunk of a long value is written with at most.
pub const CHUNK: usize = 16 * 1024;
const PLP: u16 = 0xffff;
const PLP_NULL: u64 = u64::MAX;
const PLP_UNKNOWN: u64 = u64::MAX - 1;
/// Latin1_General_CI_AS, as most servers have it (2.2.5.1.2).
pub(crate) const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];

/// A data type with what its values need to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataType {
    /// A whole number of 1, 2, 4 or 8 bytes; nullable ones say their length with each value.
    Int {
        /// Bytes of a value.
        size: u8,
        /// Whether a value may be null.
        nullable: bool,
    },
    /// nvarchar or nchar, at most 8,000 bytes.
    NVarChar,
    /// nvarchar(max), in chunks.
    NVarCharMax,
    /// varchar or char, at most 8,000 bytes.
    VarChar,
    /// varchar(max), in chunks.
    VarCharMax,
    /// ntext, with four bytes of length.
    NText,
    /// varbinary or binary, at most 8,000 bytes.
    VarBinary,
    /// varbinary(max), in chunks.
    VarBinaryMax,
}

/// A value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// No value.
    Null,
    /// A whole number.
    Int(i64),
    /// A text.
    Text(String),
    /// Bytes.
    Binary(Bytes),
}

impl DataType {
    /// Reads a TYPE_INFO (2.2.5.6).
    pub(crate) fn parse(input: &mut &[u8]) -> Read<Self> {
        let kind = byte.parse_next(input)?;
        Ok(match kind {
            0x30 => Self::Int { size: 1, nullable: false },
            0x32 => Self::Int { size: 1, nullable: false },
            0x34 => Self::Int { size: 2, nullable: false },
            0x38 => Self::Int { size: 4, nullable: false },
            0x7f => Self::Int { size: 8, nullable: false },
            0x26 | 0x68 => {
                let size = byte.verify(|size| matches!(size, 1 | 2 | 4 | 8)).parse_next(input)?;
                Self::Int { size, nullable: true }
            }
            0xe7 | 0xef => {
                let most = le_u16.parse_next(input)?;
                collation(input)?;
                if most == PLP {
                    Self::NVarCharMax
                } else {
                    Self::NVarChar
                }
            }
            0xa7 | 0xaf => {
                let most = le_u16.parse_next(input)?;
                collation(input)?;
                if most == PLP {
                    Self::VarCharMax
                } else {
                    Self::VarChar
                }
            }
            0xa5 | 0xad => match le_u16.parse_next(input)? {
                PLP => Self::VarBinaryMax,
                _ => Self::VarBinary,
            },
            0x63 => {
                le_u32.parse_next(input)?;
                collation(input)?;
                Self::NText
            }
            _ => return Err(ContextError::new()),
        })
    }

    /// Writes a TYPE_INFO.
    pub(crate) fn put(self, out: &mut BytesMut) {
        match self {
            Self::Int { size, nullable: true } => out.put_slice(&[0x26, size]),
            Self::Int { size, .. } => out.put_u8(match size {
                1 => 0x30,
                2 => 0x34,
                4 => 0x38,
                _ => 0x7f,
            }),
            Self::NVarChar | Self::NVarCharMax => {
                out.put_u8(0xe7);
                out.put_u16_le(if self == Self::NVarChar { 8_000 } else { PLP });
                out.put_slice(&COLLATION);
            }
            Self::VarChar | Self::VarCharMax => {
                out.put_u8(0xa7);
                out.put_u16_le(if self == Self::VarChar { 8_000 } else { PLP });
                out.put_slice(&COLLATION);
            }
            Self::NText => {
                out.put_u8(0x63);
                out.put_u32_le(0x7fff_fffe);
                out.put_slice(&COLLATION);
            }
            Self::VarBinary | Self::VarBinaryMax => {
                out.put_u8(0xa5);
                out.put_u16_le(if self == Self::VarBinary { 8_000 } else { PLP });
            }
        }
    }

    /// Reads a value of this type.
    pub(crate) fn value(self, input: &mut &[u8]) -> Read<Value> {
        match self {
            Self::Int { size, nullable } => int(input, size, nullable),
            Self::NVarChar => short(input)?.map_or(Ok(Value::Null), wide),
            Self::NVarCharMax => plp(input)?.map_or(Ok(Value::Null), |bytes| wide(&bytes)),
            Self::VarChar => short(input)?.map_or(Ok(Value::Null), narrow),
            Self::VarCharMax => plp(input)?.map_or(Ok(Value::Null), |bytes| narrow(&bytes)),
            Self::NText => match le_u32.parse_next(input)? {
                u32::MAX => Ok(Value::Null),
                length => wide(take(length).parse_next(input)?),
            },
            Self::VarBinary => {
                Ok(short(input)?.map_or(Value::Null, |bytes| Value::Binary(Bytes::copy_from_slice(bytes))))
            }
            Self::VarBinaryMax => Ok(plp(input)?.map_or(Value::Null, |bytes| Value::Binary(bytes.into()))),
        }
    }

    /// Writes a value of this type; what does not fit into it goes as null.
    pub(crate) fn put_value(self, out: &mut BytesMut, value: &Value) {
        match (self, value) {
            (Self::Int { size, nullable }, Value::Int(number)) => {
                if nullable {
                    out.put_u8(size);
                }
                out.put_slice(&number.to_le_bytes()[..usize::from(size.min(8))]);
            }
            (Self::Int { nullable: true, .. }, _) => out.put_u8(0),
            (Self::Int { size, .. }, _) => out.put_bytes(0, usize::from(size)),
            (Self::NVarChar, Value::Text(text)) => put_short(out, &utf16(text)),
            (Self::NVarCharMax, Value::Text(text)) => put_plp(out, &utf16(text)),
            (Self::NText, Value::Text(text)) => {
                let text = utf16(text);
                out.put_u32_le(text.len() as u32);
                out.put_slice(&text);
            }
            (Self::VarChar, Value::Text(text)) => put_short(out, text.as_bytes()),
            (Self::VarCharMax, Value::Text(text)) => put_plp(out, text.as_bytes()),
            (Self::VarBinary, Value::Binary(bytes)) => put_short(out, bytes),
            (Self::VarBinaryMax, Value::Binary(bytes)) => put_plp(out, bytes),
            (Self::NVarCharMax | Self::VarCharMax | Self::VarBinaryMax, _) => out.put_u64_le(PLP_NULL),
            (Self::NText, _) => out.put_u32_le(u32::MAX),
            (Self::NVarChar | Self::VarChar | Self::VarBinary, _) => out.put_u16_le(PLP),
        }
    }
}

fn utf16(text: &str) -> BytesMut {
    let mut out = BytesMut::new();
    text::put(&mut out, text);
    out
}

fn put_short(out: &mut BytesMut, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(8_000)];
    out.put_u16_le(bytes.len() as u16);
    out.put_slice(bytes);
}

/// Writes bytes as a partially length-prefixed value (2.2.5.2.3).
pub fn put_plp(out: &mut BytesMut, bytes: &[u8]) {
    out.reserve(bytes.len() + 12 + bytes.len().div_ceil(CHUNK) * 4);
    out.put_u64_le(bytes.len() as u64);
    for chunk in bytes.chunks(CHUNK) {
        out.put_u32_le(chunk.len() as u32);
        out.put_slice(chunk);
    }
    out.put_u32_le(0);
}

fn collation(input: &mut &[u8]) -> Read<()> {
    take(5usize).void().parse_next(input)
}

fn int(input: &mut &[u8], size: u8, nullable: bool) -> Read<Value> {
    let length = if nullable { byte.parse_next(input)? } else { size };
    Ok(Value::Int(match length {
        0 => return Ok(Value::Null),
        1 => i64::from(byte.parse_next(input)?),
        2 => i64::from(le_i16.parse_next(input)?),
        4 => i64::from(le_i32.parse_next(input)?),
        8 => le_i64.parse_next(input)?,
        _ => return Err(ContextError::new()),
    }))
}

fn short<'a>(input: &mut &'a [u8]) -> Read<Option<&'a [u8]>> {
    match le_u16.parse_next(input)? {
        PLP => Ok(None),
        length => take(length).map(Some).parse_next(input),
    }
}

/// A long value: its chunks in a row. The length claimed ahead only has to agree in the end.
fn plp(input: &mut &[u8]) -> Read<Option<Vec<u8>>> {
    let claimed = le_u64.parse_next(input)?;
    if claimed == PLP_NULL {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    loop {
        match le_u32.parse_next(input)? {
            0 => break,
            length => bytes.extend_from_slice(take(length).parse_next(input)?),
        }
    }
    match claimed == PLP_UNKNOWN || claimed == bytes.len() as u64 {
        true => Ok(Some(bytes)),
        false => Err(ContextError::new()),
    }
}

fn wide(bytes: &[u8]) -> Read<Value> {
    text::decode(bytes).map(Value::Text).ok_or_else(ContextError::new)
}

/// Which letters bytes above 127 mean depends on the collation: only what is the same in all is taken.
fn narrow(bytes: &[u8]) -> Read<Value> {
    match std::str::from_utf8(bytes) {
        Ok(text) if text.is_ascii() => Ok(Value::Text(text.to_owned())),
        _ => Err(ContextError::new()),
    }
}
