//! Splits a stream into JSON objects, however they are cut, joined, indented or separated by blank lines.
//!
//! One pass over the bytes finds where each object ends; what is in it is left to others. Bounds the length of an object and
//! rejects bytes that are none.

use bytes::{Buf, BytesMut};

/// The longest object, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// What [`JsonStream::next`] returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamItem {
    /// The end of a line outside of any object: a sign of life.
    LineEnd,
    /// A complete object.
    Object(Vec<u8>),
}

/// Why a stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum JsonStreamError {
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("an object is too long")]
    TooLong,
    /// Something else than an object begins.
    #[error("not an object")]
    NotAnObject,
}

/// Splits a stream into objects.
#[derive(Debug, Default)]
pub(super) struct JsonStream {
    buffer: BytesMut,
    /// How many bytes of the buffer were scanned.
    scanned: usize,
    /// How many objects and arrays are open.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was a backslash that escapes the next.
    is_escaped: bool,
}

impl JsonStream {
    /// Adds bytes that have been read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete item; none until more has been read.
    ///
    /// # Errors
    /// When something else than an object begins, or an object is too long.
    pub fn next(&mut self) -> Result<Option<StreamItem>, JsonStreamError> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.depth == 0 {
                if self.scan_between(byte)? {
                    self.take_scanned();
                    return Ok(Some(StreamItem::LineEnd));
                }
            } else if self.scan_within(byte) {
                return Ok(Some(StreamItem::Object(self.take_scanned().to_vec())));
            }
        }
        if self.depth == 0 {
            self.take_scanned();
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(JsonStreamError::TooLong);
        }
        Ok(None)
    }

    /// Scans a byte outside of any object. Returns whether it ends a line.
    fn scan_between(&mut self, byte: u8) -> Result<bool, JsonStreamError> {
        match byte {
            b'{' => {
                self.buffer.advance(self.scanned - 1);
                self.scanned = 1;
                self.depth = 1;
                Ok(false)
            }
            b'\n' => Ok(true),
            byte if byte.is_ascii_whitespace() => Ok(false),
            _ => Err(JsonStreamError::NotAnObject),
        }
    }

    /// Scans a byte of an object. Returns whether it is the last.
    fn scan_within(&mut self, byte: u8) -> bool {
        match (self.in_string, byte) {
            (true, _) if self.is_escaped => self.is_escaped = false,
            (true, b'\\') => self.is_escaped = true,
            (_, b'"') => self.in_string = !self.in_string,
            (false, b'{' | b'[') => self.depth += 1,
            (false, b'}' | b']') => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }

    fn take_scanned(&mut self) -> BytesMut {
        self.buffer.split_to(std::mem::take(&mut self.scanned))
    }
}

#[cfg(test)]
mod tests;
