//! The bytes of one datagram or frame between members: version, fleet, content, and a mark that only holders of the fleet's
//! key can make (`docs/protocol/peers.md`). It guards against garbage, forgery and other fleets; what was sent before
//! and comes once more is for [`super::replay_window`] to tell.

use super::{DropReason, Frame};
use std::fmt;

/// What each message begins with.
const MAGIC: [u8; 3] = *b"wpp";
/// The version of the protocol that this program speaks.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes of the mark that says to which fleet a message belongs.
const FLEET: usize = 8;
/// Bytes of the mark at the end: BLAKE3 with a key, cut to 128 bits.
const MARK: usize = 16;
const HEAD: usize = MAGIC.len() + 1 + FLEET;
/// What derives the key of this use from the fleet's.
const CONTEXT: &str = "wheelpier 2026-12 messages between members";

/// A longer message goes as a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// A longer one is not taken at all.
pub const MAX_STREAM_BYTES: usize = 256 * 1024;

/// A key of the fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

/// What is wrong with the text of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key is 64 hexadecimal digits, which 32 random bytes make")]
pub struct KeyError;

impl Key {
    /// Reads 64 hexadecimal digits; space around them counts for nothing.
    ///
    /// # Errors
    /// When it is anything else.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        let digits: Vec<u8> = text
            .trim()
            .chars()
            .map(|c| c.to_digit(16).map(|d| d as u8))
            .collect::<Option<_>>()
            .ok_or(KeyError)?;
        let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
        match (digits.len(), <[u8; 32]>::try_from(bytes)) {
            (64, Ok(bytes)) => Ok(Self(bytes)),
            _ => Err(KeyError),
        }
    }

    fn derived(&self) -> [u8; 32] {
        blake3::derive_key(CONTEXT, &self.0)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What seals and opens messages of one fleet.
#[derive(Clone)]
pub struct Authenticator {
    fleet: [u8; FLEET],
    /// The first seals; each opens.
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for Authenticator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authenticator").field("fleet", &self.fleet).finish_non_exhaustive()
    }
}

impl Authenticator {
    /// Of the fleet of that name: `first` seals, `second` opens as well, so that a key can be changed member by member.
    pub fn new(fleet: &str, first: &Key, second: Option<&Key>) -> Self {
        let mut mark = [0; FLEET];
        mark.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..FLEET]);
        Self { fleet: mark, keys: std::iter::once(first).chain(second).map(Key::derived).collect() }
    }

    /// The message's bytes; none where it cannot be written.
    pub fn encode(&self, frame: &Frame) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend(MAGIC);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend(self.fleet);
        let mut bytes = postcard::to_extend(frame, bytes).ok()?;
        let mark = mark(self.keys.first()?, &bytes);
        bytes.extend(mark);
        Some(bytes)
    }

    /// What a message says.
    ///
    /// # Errors
    /// Why it is not one of this fleet's.
    pub fn open(&self, bytes: &[u8]) -> Result<Frame, DropReason> {
        let Some(content) = bytes.len().checked_sub(MARK).filter(|end| *end >= HEAD) else {
            return Err(DropReason::Garbage);
        };
        if bytes[..MAGIC.len()] != MAGIC {
            return Err(DropReason::Garbage);
        }
        if bytes[MAGIC.len()] != PROTOCOL_VERSION {
            return Err(DropReason::Version);
        }
        if bytes[MAGIC.len() + 1..HEAD] != self.fleet {
            return Err(DropReason::Fleet);
        }
        let (sealed, given) = bytes.split_at(content);
        if !self.keys.iter().any(|key| same(&mark(key, sealed), given)) {
            return Err(DropReason::Forged);
        }
        match postcard::take_from_bytes::<Frame>(&sealed[HEAD..]) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(DropReason::Garbage),
        }
    }
}

fn mark(key: &[u8; 32], bytes: &[u8]) -> [u8; MARK] {
    let mut mark = [0; MARK];
    mark.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..MARK]);
    mark
}

/// Takes as long for any two marks.
fn same(one: &[u8; MARK], other: &[u8]) -> bool {
    one.iter().zip(other).fold(0, |differs, (a, b)| differs | (a ^ b)) == 0 && other.len() == MARK
}

#[cfg(test)]
pub(super) mod tests {
    use super::super::Message;
    use super::*;
    use crate::membership::Identity;
    use proptest::prelude::*;

    pub fn key(n: u8) -> Key {
        Key([n; 32])
    }

    fn frame() -> Frame {
        let from = Identity::new("a", 7);
        Frame {
            from,
            to: Identity::new("b", 0),
            incarnation_nonce: 3,
            sequence: 9,
            message: Message::Challenge { nonce: 5 },
        }
    }

    #[test]
    fn what_is_sealed_opens_with_the_same_key_and_fleet_alone() {
        let authenticator = Authenticator::new("north", &key(1), None);
        let bytes = authenticator.encode(&frame()).unwrap();
        assert_eq!(authenticator.open(&bytes), Ok(frame()));
        assert_eq!(Authenticator::new("south", &key(1), None).open(&bytes), Err(DropReason::Fleet));
        assert_eq!(Authenticator::new("north", &key(2), None).open(&bytes), Err(DropReason::Forged));
    }

    /// Old alone, old with new, new with old, new alone: at each step neighbours understand each other.
    #[test]
    fn a_key_is_changed_member_by_member() {
        let steps = [(1, None), (1, Some(2)), (2, Some(1)), (2, None)];
        let seals: Vec<Authenticator> =
            steps.map(|(a, b)| Authenticator::new("north", &key(a), b.map(key).as_ref())).to_vec();
        for pair in seals.windows(2) {
            for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
                assert_eq!(to.open(&from.encode(&frame()).unwrap()), Ok(frame()));
            }
        }
        assert_eq!(seals[3].open(&seals[0].encode(&frame()).unwrap()), Err(DropReason::Forged));
    }

    #[test]
    fn another_version_is_told_apart_from_garbage() {
        let authenticator = Authenticator::new("north", &key(1), None);
        let mut bytes = authenticator.encode(&frame()).unwrap();
        bytes[3] = PROTOCOL_VERSION + 1;
        assert_eq!(authenticator.open(&bytes), Err(DropReason::Version));
        assert_eq!(authenticator.open(b"GET / HTTP/1.1\r\nhost: somebody\r\n\r\n"), Err(DropReason::Garbage));
        assert_eq!(authenticator.open(&[]), Err(DropReason::Garbage));
    }

    #[test]
    fn keys_are_64_digits_and_are_not_told() {
        assert_eq!(Key::read(&format!(" {}\n", "0a".repeat(32))), Ok(Key([10; 32])));
        for wrong in ["", "0a", &"0a".repeat(33), &"0x".repeat(32), &"ä".repeat(32)] {
            assert_eq!(Key::read(wrong), Err(KeyError), "{wrong}");
        }
        assert!(!format!("{:?} {:?}", key(77), Authenticator::new("x", &key(77), None)).contains("77"));
    }

    proptest! {
        #[test]
        fn no_change_to_a_message_goes_unseen(at in 0usize..200, bit in 0u8..8, cut in 0usize..60) {
            let authenticator = Authenticator::new("north", &key(1), Some(&key(2)));
            let whole = authenticator.encode(&frame()).unwrap();
            let mut bytes = whole.clone();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            prop_assert!(authenticator.open(&bytes).is_err());
            prop_assert!(authenticator.open(&whole[..whole.len() - 1 - cut % (whole.len() - 1)]).is_err());
            let mut longer = whole;
            longer.push(bit);
            prop_assert!(authenticator.open(&longer).is_err());
        }

        #[test]
        fn any_bytes_are_answered_with_a_reason(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            prop_assert!(Authenticator::new("north", &key(1), None).open(&bytes).is_err());
        }
    }
}
