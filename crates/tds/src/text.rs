//! Texts on the wire: UTF-16, little-endian, with their length in code units before them.

use crate::WireError;
use bytes::{BufMut, BytesMut};
use winnow::binary::{le_u16, u8 as byte};
use winnow::error::ContextError;
use winnow::token::take;
use winnow::Parser;

pub(crate) type Read<T> = Result<T, ContextError>;

/// Decodes UTF-16; none where a surrogate stands alone or half a unit is left.
pub(crate) fn decode(bytes: &[u8]) -> Option<String> {
    if !bytes.len().is_multiple_of(2) {
        return None;
    }
    let units = bytes.chunks_exact(2).map(|unit| u16::from_le_bytes([unit[0], unit[1]]));
    char::decode_utf16(units).collect::<Result<_, _>>().ok()
}

/// Writes a text as UTF-16, without its length.
pub fn put(out: &mut BytesMut, text: &str) {
    out.reserve(text.len() * 2);
    text.encode_utf16().for_each(|unit| out.put_u16_le(unit));
}

/// How many units a text takes.
pub(crate) fn units(text: &str) -> usize {
    text.encode_utf16().count()
}

/// As much of a text as fits into so many units.
pub(crate) fn fitting(text: &str, most: usize) -> &str {
    let mut used = 0;
    let end = text.char_indices().find(|(_, c)| {
        used += c.len_utf16();
        used > most
    });
    end.map_or(text, |(at, _)| &text[..at])
}

/// B_VARCHAR (2.2.5.1.2): one byte of length.
pub(crate) fn short(input: &mut &[u8]) -> Read<String> {
    let units = byte.parse_next(input)?;
    sized(usize::from(units)).parse_next(input)
}

/// US_VARCHAR (2.2.5.1.2): two bytes of length.
pub(crate) fn long(input: &mut &[u8]) -> Read<String> {
    let units = le_u16.parse_next(input)?;
    sized(usize::from(units)).parse_next(input)
}

pub(crate) fn sized<'a>(units: usize) -> impl Parser<&'a [u8], String, ContextError> {
    take(units * 2).verify_map(decode)
}

pub(crate) fn put_short(out: &mut BytesMut, text: &str) {
    let text = fitting(text, usize::from(u8::MAX));
    out.put_u8(units(text) as u8);
    put(out, text);
}

pub(crate) fn put_long(out: &mut BytesMut, text: &str) {
    let text = fitting(text, usize::from(u16::MAX));
    out.put_u16_le(units(text) as u16);
    put(out, text);
}

/// Runs a parser over the whole of a message.
pub(crate) fn whole<'a, T>(
    bytes: &'a [u8],
    mut parser: impl FnMut(&mut &'a [u8]) -> Read<T>,
    what: &'static str,
) -> Result<T, WireError> {
    let mut input = bytes;
    match parser(&mut input) {
        Ok(value) if input.is_empty() => Ok(value),
        _ => Err(WireError::Malformed(what)),
    }
}
