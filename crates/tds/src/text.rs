//! Strings on the wire: little-endian UTF-16, preceded by their length in code units.

use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{le_u16, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

/// The result of a parser that runs over a complete message.
pub(crate) type ParseResult<T> = Result<T, ContextError>;

/// Decodes UTF-16. Returns `None` for an unpaired surrogate or an odd number of bytes.
pub(crate) fn decode(bytes: &[u8]) -> Option<String> {
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let units = bytes.chunks_exact(2).map(|unit| u16::from_le_bytes([unit[0], unit[1]]));
    char::decode_utf16(units).collect::<Result<_, _>>().ok()
}

/// Writes a string as UTF-16, without a length prefix.
pub fn put(output: &mut BytesMut, text: &str) {
    output.reserve(text.len() * 2);
    text.encode_utf16().for_each(|unit| output.put_u16_le(unit));
}

/// Returns the length of a string in UTF-16 code units.
pub(crate) fn units(text: &str) -> usize {
    text.encode_utf16().count()
}

/// Truncates a string to at most `max_units` UTF-16 code units.
pub(crate) fn truncated(text: &str, max_units: usize) -> &str {
    let mut used = 0;
    let end = text.char_indices().find(|(_, c)| {
        used += c.len_utf16();
        used > max_units
    });
    end.map_or(text, |(at, _)| &text[..at])
}

/// Parses a B_VARCHAR (2.2.5.1.2): a string with a length of one byte.
pub(crate) fn parse_short(input: &mut &[u8]) -> ParseResult<String> {
    let units = byte.parse_next(input)?;
    parse_units(usize::from(units)).parse_next(input)
}

/// Parses a US_VARCHAR (2.2.5.1.2): a string with a length of two bytes.
pub(crate) fn parse_long(input: &mut &[u8]) -> ParseResult<String> {
    let units = le_u16.parse_next(input)?;
    parse_units(usize::from(units)).parse_next(input)
}

/// Returns a parser for a string of `units` code units, without a length prefix.
pub(crate) fn parse_units<'a>(units: usize) -> impl Parser<&'a [u8], String, ContextError> {
    take(units * 2).verify_map(decode)
}

/// Writes a B_VARCHAR, truncated to the 255 units that its length can express.
pub(crate) fn put_short(output: &mut BytesMut, text: &str) {
    let text = truncated(text, usize::from(u8::MAX));
    output.put_u8(units(text) as u8);
    put(output, text);
}

/// Writes a US_VARCHAR, truncated to the 65,535 units that its length can express.
pub(crate) fn put_long(output: &mut BytesMut, text: &str) {
    let text = truncated(text, usize::from(u16::MAX));
    output.put_u16_le(units(text) as u16);
    put(output, text);
}

/// Runs a parser that has to consume the whole message. `message_name` stands in the error.
pub(crate) fn parse_whole<'a, T>(
    bytes: &'a [u8],
    mut parser: impl FnMut(&mut &'a [u8]) -> ParseResult<T>,
    message_name: &'static str,
) -> Result<T, WireError> {
    let mut input = bytes;
    match parser(&mut input) {
        Ok(value) if input.is_empty() => Ok(value),
        _ => Err(WireError::Malformed(message_name)),
    }
}
