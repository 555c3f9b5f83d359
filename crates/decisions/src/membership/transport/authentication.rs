//! Authentication: encodes a frame as the bytes of one datagram or stream, with the version, the fleet, the
//! content, and a tag that only holders of the fleet's key can compute (`docs/protocol/peers.md`). Protects
//! against garbage, forgery and messages of other fleets; replays are detected by [`super::ReplayWindow`].

use super::{DropReason, Frame};
use std::fmt;

/// The first bytes of each message.
const MAGIC: [u8; 3] = *b"wpp";
/// The version of the protocol that this program implements.
pub const PROTOCOL_VERSION: u8 = 1;
/// Length of the fleet's identifier: the first bytes of BLAKE3 of its name.
const FLEET_ID_BYTES: usize = 8;
/// Length of the authentication tag: keyed BLAKE3, truncated to 128 bits.
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = MAGIC.len() + 1 + FLEET_ID_BYTES;
/// Length of a fleet's key.
const KEY_BYTES: usize = 32;
/// Context of the key derivation; part of the protocol.
const KEY_CONTEXT: &str = "wheelpier 2026-12 messages between members";
/// Initial capacity for an encoded message; most are shorter.
const INITIAL_CAPACITY_BYTES: usize = 256;

/// The longest message in a datagram. A longer one is sent on a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The longest message on a stream. A longer one is neither sent nor accepted.
pub const MAX_STREAM_BYTES: usize = 256 * 1024;

/// A key of the fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

/// The error for a key whose text is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key must be 64 hexadecimal digits (32 random bytes)")]
pub struct KeyError;

impl Key {
    /// Parses 64 hexadecimal digits, ignoring white space around them.
    ///
    /// # Errors
    /// [`KeyError`] if the text is anything else.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let digit = |c: char| c.to_digit(16).map(|digit| digit as u8);
        let digits: Vec<u8> = text.trim().chars().map(digit).collect::<Option<_>>().ok_or(KeyError)?;
        let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
        match <[u8; KEY_BYTES]>::try_from(bytes) {
            Ok(bytes) if digits.len() == 2 * KEY_BYTES => Ok(Self(bytes)),
            _ => Err(KeyError),
        }
    }

    /// Returns the key that authenticates messages, derived from this one.
    fn derive(&self) -> [u8; KEY_BYTES] {
        blake3::derive_key(KEY_CONTEXT, &self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Encodes, authenticates and decodes the messages of one fleet.
#[derive(Clone)]
pub struct Authenticator {
    fleet_id: [u8; FLEET_ID_BYTES],
    /// Derived keys. The first one authenticates sent messages; a received message is accepted with any of
    /// them.
    keys: Vec<[u8; KEY_BYTES]>,
}

impl fmt::Debug for Authenticator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authenticator").field("fleet_id", &self.fleet_id).finish_non_exhaustive()
    }
}

impl Authenticator {
    /// Creates the authenticator of a fleet. Messages are sent with the first key and accepted with either,
    /// so that keys can be changed one member at a time.
    pub fn new(fleet: &str, first: &Key, second: Option<&Key>) -> Self {
        let mut fleet_id = [0; FLEET_ID_BYTES];
        fleet_id.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..FLEET_ID_BYTES]);
        Self { fleet_id, keys: std::iter::once(first).chain(second).map(Key::derive).collect() }
    }

    /// Returns the bytes of a frame, or `None` if it cannot be encoded.
    pub fn encode(&self, frame: &Frame) -> Option<Vec<u8>> {
        let mut header = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
        header.extend(MAGIC);
        header.push(PROTOCOL_VERSION);
        header.extend(self.fleet_id);
        let mut bytes = postcard::to_extend(frame, header).ok()?;
        let tag = tag(self.keys.first()?, &bytes);
        bytes.extend(tag);
        Some(bytes)
    }

    /// Decodes the bytes of a frame.
    ///
    /// # Errors
    /// The reason if the bytes are not a valid frame of this fleet.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, DropReason> {
        let Some(content_end) = bytes.len().checked_sub(TAG_BYTES).filter(|end| *end >= HEADER_BYTES) else {
            return Err(DropReason::Garbage);
        };
        if bytes[..MAGIC.len()] != MAGIC {
            return Err(DropReason::Garbage);
        }
        if bytes[MAGIC.len()] != PROTOCOL_VERSION {
            return Err(DropReason::Version);
        }
        if bytes[MAGIC.len() + 1..HEADER_BYTES] != self.fleet_id {
            return Err(DropReason::Fleet);
        }
        let (authenticated, given_tag) = bytes.split_at(content_end);
        if !self.keys.iter().any(|key| is_same_tag(&tag(key, authenticated), given_tag)) {
            return Err(DropReason::Forged);
        }
        match postcard::take_from_bytes::<Frame>(&authenticated[HEADER_BYTES..]) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(DropReason::Garbage),
        }
    }
}

/// Returns the authentication tag of the bytes before it.
fn tag(key: &[u8; KEY_BYTES], bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares two tags in constant time, so that the time taken does not reveal where they differ.
fn is_same_tag(expected: &[u8; TAG_BYTES], given: &[u8]) -> bool {
    let difference = expected.iter().zip(given).fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0 && given.len() == TAG_BYTES
}

#[cfg(test)]
pub(super) mod tests;
