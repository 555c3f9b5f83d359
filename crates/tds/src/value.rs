//! Data types and values of parameters and columns (2.2.5.4, 2.2.5.5).

use crate::text::{self, ParseResult};
use bytes::{BufMut, Bytes, BytesMut};
use winnow::binary::{le_i16, le_i32, le_i64, le_u16, le_u32, le_u64, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

/// The maximum length of the chunks in which a partially length-prefixed value is written, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// The maximum length of the values of a type that is not partially length-prefixed, in bytes.
const MAX_SHORT_BYTES: u16 = 8_000;
/// The maximum length in a TYPE_INFO that stands for partially length-prefixed (PLP) values.
const PLP: u16 = 0xffff;
/// The length that stands for null in a value with a length of two bytes.
const SHORT_NULL: u16 = 0xffff;
/// The total length that stands for null in a PLP value.
const PLP_NULL: u64 = u64::MAX;
/// The total length that stands for "unknown" in a PLP value: it is the sum of the lengths of the chunks.
const PLP_UNKNOWN: u64 = u64::MAX - 1;
/// Latin1_General_CI_AS, the collation of most servers (2.2.5.1.2).
pub(crate) const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];

/// A data type, with the parameters that are needed to decode its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataType {
    /// An integer of 1, 2, 4 or 8 bytes; the type bit is read as an integer of 1 byte. Values of a nullable
    /// type are preceded by their length.
    Int {
        /// The size of a value in bytes.
        size: u8,
        /// Whether a value may be null.
        nullable: bool,
    },
    /// nvarchar or nchar, at most 8,000 bytes.
    NVarChar,
    /// nvarchar(max), partially length-prefixed.
    NVarCharMax,
    /// varchar or char, at most 8,000 bytes.
    VarChar,
    /// varchar(max), partially length-prefixed.
    VarCharMax,
    /// ntext; values are preceded by a length of four bytes.
    NText,
    /// varbinary or binary, at most 8,000 bytes.
    VarBinary,
    /// varbinary(max), partially length-prefixed.
    VarBinaryMax,
}

/// A decoded value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// SQL NULL.
    Null,
    /// An integer.
    Int(i64),
    /// A string.
    Text(String),
    /// Bytes.
    Binary(Bytes),
}

impl DataType {
    /// Parses a TYPE_INFO (2.2.5.6).
    pub(crate) fn parse(input: &mut &[u8]) -> ParseResult<Self> {
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
                let max_length = le_u16.parse_next(input)?;
                skip_collation(input)?;
                if max_length == PLP {
                    Self::NVarCharMax
                } else {
                    Self::NVarChar
                }
            }
            0xa7 | 0xaf => {
                let max_length = le_u16.parse_next(input)?;
                skip_collation(input)?;
                if max_length == PLP {
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
                skip_collation(input)?;
                Self::NText
            }
            _ => return Err(ContextError::new()),
        })
    }

    /// Writes a TYPE_INFO.
    pub(crate) fn put(self, output: &mut BytesMut) {
        match self {
            Self::Int { size, nullable: true } => output.put_slice(&[0x26, size]),
            Self::Int { size, .. } => output.put_u8(match size {
                1 => 0x30,
                2 => 0x34,
                4 => 0x38,
                _ => 0x7f,
            }),
            Self::NVarChar | Self::NVarCharMax => {
                output.put_u8(0xe7);
                output.put_u16_le(if self == Self::NVarChar { MAX_SHORT_BYTES } else { PLP });
                output.put_slice(&COLLATION);
            }
            Self::VarChar | Self::VarCharMax => {
                output.put_u8(0xa7);
                output.put_u16_le(if self == Self::VarChar { MAX_SHORT_BYTES } else { PLP });
                output.put_slice(&COLLATION);
            }
            Self::NText => {
                output.put_u8(0x63);
                output.put_u32_le(0x7fff_fffe);
                output.put_slice(&COLLATION);
            }
            Self::VarBinary | Self::VarBinaryMax => {
                output.put_u8(0xa5);
                output.put_u16_le(if self == Self::VarBinary { MAX_SHORT_BYTES } else { PLP });
            }
        }
    }

    /// Parses a value of this type.
    pub(crate) fn parse_value(self, input: &mut &[u8]) -> ParseResult<Value> {
        match self {
            Self::Int { size, nullable } => parse_int(input, size, nullable),
            Self::NVarChar => parse_short(input)?.map_or(Ok(Value::Null), decode_utf16),
            Self::NVarCharMax => parse_plp(input)?.map_or(Ok(Value::Null), |bytes| decode_utf16(&bytes)),
            Self::VarChar => parse_short(input)?.map_or(Ok(Value::Null), decode_ascii),
            Self::VarCharMax => parse_plp(input)?.map_or(Ok(Value::Null), |bytes| decode_ascii(&bytes)),
            Self::NText => match le_u32.parse_next(input)? {
                u32::MAX => Ok(Value::Null),
                length => decode_utf16(take(length).parse_next(input)?),
            },
            Self::VarBinary => {
                Ok(parse_short(input)?
                    .map_or(Value::Null, |bytes| Value::Binary(Bytes::copy_from_slice(bytes))))
            }
            Self::VarBinaryMax => {
                Ok(parse_plp(input)?.map_or(Value::Null, |bytes| Value::Binary(bytes.into())))
            }
        }
    }

    /// Writes a value of this type. A value of another type is written as null, or as 0 where the type is an
    /// integer that is not nullable.
    pub(crate) fn put_value(self, output: &mut BytesMut, value: &Value) {
        match (self, value) {
            (Self::Int { size, nullable }, Value::Int(number)) => {
                if nullable {
                    output.put_u8(size);
                }
                output.put_slice(&number.to_le_bytes()[..usize::from(size.min(8))]);
            }
            (Self::Int { nullable: true, .. }, _) => output.put_u8(0),
            (Self::Int { size, .. }, _) => output.put_bytes(0, usize::from(size)),
            (Self::NVarChar, Value::Text(text)) => put_short(output, &utf16(text)),
            (Self::NVarCharMax, Value::Text(text)) => put_plp(output, &utf16(text)),
            (Self::NText, Value::Text(text)) => {
                let text = utf16(text);
                output.put_u32_le(text.len() as u32);
                output.put_slice(&text);
            }
            (Self::VarChar, Value::Text(text)) => put_short(output, text.as_bytes()),
            (Self::VarCharMax, Value::Text(text)) => put_plp(output, text.as_bytes()),
            (Self::VarBinary, Value::Binary(bytes)) => put_short(output, bytes),
            (Self::VarBinaryMax, Value::Binary(bytes)) => put_plp(output, bytes),
            (Self::NVarCharMax | Self::VarCharMax | Self::VarBinaryMax, _) => output.put_u64_le(PLP_NULL),
            (Self::NText, _) => output.put_u32_le(u32::MAX),
            (Self::NVarChar | Self::VarChar | Self::VarBinary, _) => output.put_u16_le(SHORT_NULL),
        }
    }
}

/// Returns a string in little-endian UTF-16.
fn utf16(text: &str) -> BytesMut {
    let mut output = BytesMut::new();
    text::put(&mut output, text);
    output
}

/// Writes a value with a length of two bytes, truncated to [`MAX_SHORT_BYTES`].
fn put_short(output: &mut BytesMut, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(MAX_SHORT_BYTES))];
    output.put_u16_le(bytes.len() as u16);
    output.put_slice(bytes);
}

/// Writes a partially length-prefixed value (2.2.5.2.3), in chunks of at most [`MAX_CHUNK_BYTES`] bytes.
pub fn put_plp(output: &mut BytesMut, bytes: &[u8]) {
    output.reserve(bytes.len() + 12 + bytes.len().div_ceil(MAX_CHUNK_BYTES) * 4);
    output.put_u64_le(bytes.len() as u64);
    for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
        output.put_u32_le(chunk.len() as u32);
        output.put_slice(chunk);
    }
    output.put_u32_le(0);
}

fn skip_collation(input: &mut &[u8]) -> ParseResult<()> {
    take(5usize).void().parse_next(input)
}

fn parse_int(input: &mut &[u8], size: u8, nullable: bool) -> ParseResult<Value> {
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

/// Parses a value with a length of two bytes; null as `None`.
fn parse_short<'a>(input: &mut &'a [u8]) -> ParseResult<Option<&'a [u8]>> {
    match le_u16.parse_next(input)? {
        SHORT_NULL => Ok(None),
        length => take(length).map(Some).parse_next(input),
    }
}

/// Parses a partially length-prefixed value: its chunks up to an empty one. The total length that precedes
/// them is only compared with theirs at the end; it sizes no allocation.
fn parse_plp(input: &mut &[u8]) -> ParseResult<Option<Vec<u8>>> {
    let total = le_u64.parse_next(input)?;
    if total == PLP_NULL {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    loop {
        match le_u32.parse_next(input)? {
            0 => break,
            length => bytes.extend_from_slice(take(length).parse_next(input)?),
        }
    }
    match total == PLP_UNKNOWN || total == bytes.len() as u64 {
        true => Ok(Some(bytes)),
        false => Err(ContextError::new()),
    }
}

fn decode_utf16(bytes: &[u8]) -> ParseResult<Value> {
    text::decode(bytes).map(Value::Text).ok_or_else(ContextError::new)
}

/// Decodes a varchar value. Only ASCII is accepted: the meaning of bytes above 127 depends on the collation.
fn decode_ascii(bytes: &[u8]) -> ParseResult<Value> {
    match std::str::from_utf8(bytes) {
        Ok(text) if text.is_ascii() => Ok(Value::Text(text.to_owned())),
        _ => Err(ContextError::new()),
    }
}
