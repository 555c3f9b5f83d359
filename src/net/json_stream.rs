//! Splits a byte stream into JSON objects, however the stream is divided into reads, and whether or not the
//! objects are indented or separated by white space.
//!
//! One pass over the bytes finds the end of each object; its content is not parsed here. The length of an
//! object is bounded, and anything between objects other than white space is an error.

use bytes::{Buf, BytesMut};

/// The maximum length of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An item of a stream, as [`JsonStream::next`] returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamItem {
    /// A line break outside of any object. Shows that the sender is alive.
    LineEnd,
    /// A complete object.
    Object(Vec<u8>),
}

/// An error after which the rest of the stream cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum JsonStreamError {
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("a JSON object is longer than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// A byte outside of objects is neither white space nor the start of an object.
    #[error("data between JSON objects")]
    NotAnObject,
}

/// Splits a stream into objects.
#[derive(Debug, Default)]
pub(super) struct JsonStream {
    buffer: BytesMut,
    /// Number of bytes at the front of the buffer that were scanned.
    scanned: usize,
    /// Number of objects and arrays that are open at the end of the scanned bytes.
    depth: usize,
    in_string: bool,
    /// Whether the last scanned byte was a backslash that escapes the next one.
    is_escaped: bool,
}

impl JsonStream {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete item; `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if there is something else than white space between objects, or an object is too
    /// long.
    pub fn next(&mut self) -> Result<Option<StreamItem>, JsonStreamError> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.depth == 0 {
                if self.scan_outside_object(byte)? {
                    self.take_scanned();
                    return Ok(Some(StreamItem::LineEnd));
                }
            } else if self.scan_inside_object(byte) {
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
    fn scan_outside_object(&mut self, byte: u8) -> Result<bool, JsonStreamError> {
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

    /// Scans a byte of an object. Returns whether it ends the object.
    fn scan_inside_object(&mut self, byte: u8) -> bool {
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

    /// Removes the scanned bytes from the buffer and returns them.
    fn take_scanned(&mut self) -> BytesMut {
        self.buffer.split_to(std::mem::take(&mut self.scanned))
    }
}

#[cfg(test)]
mod tests;
