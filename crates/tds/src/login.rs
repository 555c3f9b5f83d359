//! LOGIN7 (2.2.6.4). The password is neither kept nor logged, as none is required here.

use crate::text;
use bytes::{BufMut, BytesMut};

/// The length of the fixed part, which includes the offset table, in bytes. Fields start after it.
const FIXED_BYTES: usize = 94;
/// The offset of the offset table, which holds the offset and length of each field, in bytes.
const TABLE_OFFSET: usize = 36;
/// The maximum length of a string field, in UTF-16 code units (2.2.6.4).
const MAX_UNITS: usize = 128;
/// The flag `fIntSecurity`, in the second byte of option flags.
const INTEGRATED_SECURITY: u8 = 0x80;

/// The content of a LOGIN7 message, without the password.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// The newest protocol version that the client supports.
    pub version: u32,
    /// The packet size that the client requests, in bytes.
    pub packet_size: u32,
    /// The name of the client's machine.
    pub host: String,
    /// The user name.
    pub user: String,
    /// The application name.
    pub app: String,
    /// The name of the client library (the driver).
    pub library: String,
    /// The initial database; empty for the user's default.
    pub database: String,
    /// Whether the client requests an integrated login, by its operating system's credentials.
    pub integrated: bool,
}

/// Reports an invalid LOGIN7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoginError {
    /// The message is shorter than its fixed part, or its length field does not match its length.
    #[error("LOGIN7 is not as long as it says")]
    Length,
    /// A field lies outside the message or within its fixed part.
    #[error("LOGIN7's {0} lies outside the message")]
    Outside(&'static str),
    /// Two fields share bytes.
    #[error("LOGIN7's {0} overlaps with another field")]
    Overlap(&'static str),
    /// A field is not valid UTF-16 or is too long.
    #[error("LOGIN7's {0} is no text")]
    Text(&'static str),
}

/// The fields of the offset table: name, position of the entry in the table, and the unit of its length in
/// bytes (2 for lengths in UTF-16 code units).
const FIELDS: [(&str, usize, usize); 12] = [
    ("host name", 0, 2),
    ("user name", 4, 2),
    ("password", 8, 2),
    ("application name", 12, 2),
    ("server name", 16, 2),
    ("extension", 20, 1),
    ("library name", 24, 2),
    ("language", 28, 2),
    ("database", 32, 2),
    ("SSPI data", 42, 1),
    ("database file", 46, 2),
    ("new password", 50, 2),
];

/// Returns the little-endian integer at this offset; 0 beyond the end.
fn u32_at(payload: &[u8], at: usize) -> u32 {
    let bytes = payload.get(at..at + 4).and_then(|bytes| bytes.try_into().ok());
    bytes.map_or(0, u32::from_le_bytes)
}

/// Returns the little-endian integer at this offset; 0 beyond the end.
fn u16_at(payload: &[u8], at: usize) -> usize {
    let bytes = payload.get(at..at + 2).and_then(|bytes| bytes.try_into().ok());
    usize::from(bytes.map_or(0, u16::from_le_bytes))
}

impl Login {
    /// Parses the payload of a message. The whole offset table is checked, also the fields that are not read:
    /// every field must lie within the message, and no two may overlap.
    ///
    /// # Errors
    /// Returns an error if the message's length or offset table is invalid, or a field is not valid text.
    pub fn parse(payload: &[u8]) -> Result<Self, LoginError> {
        if payload.len() < FIXED_BYTES || u32_at(payload, 0) as usize != payload.len() {
            return Err(LoginError::Length);
        }
        let mut spans = Vec::with_capacity(FIELDS.len());
        for (name, entry, unit) in FIELDS {
            let (offset, length) =
                (u16_at(payload, TABLE_OFFSET + entry), u16_at(payload, TABLE_OFFSET + entry + 2) * unit);
            if length == 0 {
                continue;
            }
            if offset < FIXED_BYTES || offset + length > payload.len() {
                return Err(LoginError::Outside(name));
            }
            spans.push((offset, offset + length, name));
        }
        spans.sort_unstable();
        if let Some(pair) = spans.windows(2).find(|pair| pair[0].1 > pair[1].0) {
            return Err(LoginError::Overlap(pair[1].2));
        }
        let text = |name: &'static str| {
            let span = spans.iter().find(|(.., field)| *field == name);
            let Some(&(from, to, _)) = span else { return Ok(String::new()) };
            if to - from > MAX_UNITS * 2 {
                return Err(LoginError::Text(name));
            }
            text::decode(&payload[from..to]).ok_or(LoginError::Text(name))
        };
        Ok(Self {
            version: u32_at(payload, 4),
            packet_size: u32_at(payload, 8),
            host: text("host name")?,
            user: text("user name")?,
            app: text("application name")?,
            library: text("library name")?,
            database: text("database")?,
            integrated: payload[25] & INTEGRATED_SECURITY != 0,
        })
    }

    /// Writes the payload of a message with an empty password.
    pub fn put(&self, output: &mut BytesMut) {
        let start = output.len();
        output.put_u32_le(0);
        // Client program version 1; process and connection ids 0.
        for word in [self.version, self.packet_size, 1, 0, 0] {
            output.put_u32_le(word);
        }
        // Option flags 1 (little-endian, ASCII, IEEE 754), option flags 2 (ODBC), the default SQL type.
        output.put_slice(&[0xe0, 0x03 | if self.integrated { INTEGRATED_SECURITY } else { 0 }, 0, 0]);
        // Time zone UTC; locale en-US.
        output.put_u32_le(0);
        output.put_u32_le(0x0409);
        let texts = [&self.host, &self.user, "", &self.app, "", "", &self.library, "", &self.database];
        let texts = texts.map(|text| text::truncated(text, MAX_UNITS));
        let mut offset = FIXED_BYTES;
        let mut entry = |output: &mut BytesMut, text: &str| {
            output.put_u16_le(offset as u16);
            output.put_u16_le(text::units(text) as u16);
            offset += text::units(text) * 2;
        };
        texts.iter().for_each(|text| entry(output, text));
        // Client id (a MAC address), none.
        output.put_slice(&[0; 6]);
        (0..3).for_each(|_| entry(output, ""));
        output.put_u32_le(0);
        texts.iter().for_each(|text| text::put(output, text));
        let length = (output.len() - start) as u32;
        output[start..start + 4].copy_from_slice(&length.to_le_bytes());
    }
}
