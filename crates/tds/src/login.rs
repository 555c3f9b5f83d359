//! LOGIN7 (2.2.6.4). A password is neither kept nor shown: nothing here asks for one.

use crate::text;
use bytes::{BufMut, BytesMut};

/// Where the texts of a message may begin at the earliest: behind the fixed part and the table.
const FIXED: usize = 94;
const TABLE: usize = 36;
/// Texts are at most this long, in units (2.2.6.4).
const MOST_UNITS: usize = 128;
const INTEGRATED: u8 = 0x80;

/// What a client says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// The newest version that it speaks.
    pub version: u32,
    /// The packet size that it asks for, in bytes.
    pub packet_size: u32,
    /// Its machine.
    pub host: String,
    /// Its user.
    pub user: String,
    /// Its program.
    pub app: String,
    /// Its driver.
    pub library: String,
    /// The database that it opens.
    pub database: String,
    /// Whether it wants to log in by what its system vouches for.
    pub integrated: bool,
}

/// What is wrong with a LOGIN7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoginError {
    /// It is shorter than its fixed part, or than it says.
    #[error("LOGIN7 is not as long as it says")]
    Length,
    /// A field lies outside the message or within its fixed part.
    #[error("LOGIN7's {0} lies outside the message")]
    Outside(&'static str),
    /// Two fields share bytes.
    #[error("LOGIN7's {0} overlaps with another field")]
    Overlap(&'static str),
    /// A field is no text, or too long a one.
    #[error("LOGIN7's {0} is no text")]
    Text(&'static str),
}

/// The table's entries in their order; the lengths of most count units of two bytes.
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

fn u32_at(payload: &[u8], at: usize) -> u32 {
    let bytes = payload.get(at..at + 4).and_then(|bytes| bytes.try_into().ok());
    bytes.map_or(0, u32::from_le_bytes)
}

fn u16_at(payload: &[u8], at: usize) -> usize {
    let bytes = payload.get(at..at + 2).and_then(|bytes| bytes.try_into().ok());
    usize::from(bytes.map_or(0, u16::from_le_bytes))
}

impl Login {
    /// Reads a message's payload, its offset table checked whole: every field lies within the message, and no
    /// two share a byte.
    ///
    /// # Errors
    /// When it is cut off, or its table makes no sense.
    pub fn parse(payload: &[u8]) -> Result<Self, LoginError> {
        if payload.len() < FIXED || u32_at(payload, 0) as usize != payload.len() {
            return Err(LoginError::Length);
        }
        let mut spans = Vec::with_capacity(FIELDS.len());
        for (name, place, unit) in FIELDS {
            let (offset, length) =
                (u16_at(payload, TABLE + place), u16_at(payload, TABLE + place + 2) * unit);
            if length == 0 {
                continue;
            }
            if offset < FIXED || offset + length > payload.len() {
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
            if to - from > MOST_UNITS * 2 {
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
            integrated: payload[25] & INTEGRATED != 0,
        })
    }

    /// Writes a message's payload, with an empty password.
    pub fn put(&self, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32_le(0);
        for word in [self.version, self.packet_size, 1, 0, 0] {
            out.put_u32_le(word);
        }
        // The byte order and character set of common machines; ODBC's rules; SQL.
        out.put_slice(&[0xe0, 0x03 | if self.integrated { INTEGRATED } else { 0 }, 0, 0]);
        out.put_u32_le(0);
        out.put_u32_le(0x0409);
        let texts = [&self.host, &self.user, "", &self.app, "", "", &self.library, "", &self.database];
        let texts = texts.map(|text| text::fitting(text, MOST_UNITS));
        let mut offset = FIXED;
        let mut entry = |out: &mut BytesMut, text: &str| {
            out.put_u16_le(offset as u16);
            out.put_u16_le(text::units(text) as u16);
            offset += text::units(text) * 2;
        };
        texts.iter().for_each(|text| entry(out, text));
        out.put_slice(&[0; 6]);
        (0..3).for_each(|_| entry(out, ""));
        out.put_u32_le(0);
        texts.iter().for_each(|text| text::put(out, text));
        let length = (out.len() - start) as u32;
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    }
}
