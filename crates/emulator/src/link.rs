//! Simulated network link for one direction between two processes. It decides the fate of each message
//! without I/O; [`crate::net::relay`] applies it between processes, and simulations apply it in virtual time.

use crate::{Micros, MS};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::VecDeque;

/// Faults and delays of one direction. Shares range from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Link {
    /// Whether all messages are dropped.
    pub cut: bool,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are delivered twice.
    pub doubled: f64,
    /// The share of messages that are truncated at a random length.
    pub truncated: f64,
    /// The share of messages after which one of the last 64 messages is delivered once more.
    pub replayed: f64,
    /// The version of the peers' protocol that is written over the version of each message.
    pub version: Option<u8>,
    /// The minimum delay of a message, in milliseconds.
    pub delay_ms: f64,
    /// The mean of an exponentially distributed additional delay, in milliseconds. One message in 100 has
    /// almost five times this delay or more.
    pub tail_ms: f64,
}

impl Default for Link {
    /// Returns a link without faults and delays.
    fn default() -> Self {
        Self {
            cut: false,
            loss: 0.0,
            doubled: 0.0,
            truncated: 0.0,
            replayed: 0.0,
            version: None,
            delay_ms: 0.0,
            tail_ms: 0.0,
        }
    }
}

/// A delivered copy of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The delay; copies of later messages may arrive earlier.
    pub after: Micros,
    /// The number of bytes that arrive, from the start of the message.
    pub bytes: usize,
}

impl Link {
    /// Draws the fate of a message with the given length: none, one or two copies arrive.
    pub fn carry(&self, bytes: usize, random: &mut ChaCha8Rng) -> Vec<Copy> {
        if self.cut || happens(self.loss, random) {
            return Vec::new();
        }
        let copies = 1 + usize::from(happens(self.doubled, random));
        (0..copies).map(|_| self.copy(bytes, random)).collect()
    }

    fn copy(&self, bytes: usize, random: &mut ChaCha8Rng) -> Copy {
        let tail = -random.random_range(f64::EPSILON..1.0f64).ln() * self.tail_ms;
        let after = ((self.delay_ms + tail).max(0.0) * MS as f64) as Micros;
        let is_truncated = happens(self.truncated, random) && bytes > 0;
        Copy { after, bytes: if is_truncated { random.random_range(0..bytes) } else { bytes } }
    }
}

/// Recent messages of a link, for replay.
#[derive(Debug, Default)]
pub struct Recording {
    messages: VecDeque<Vec<u8>>,
}

/// Number of messages that are recorded.
const MAX_RECORDED: usize = 64;
/// Offset of the version byte in a message of the peers' protocol (`docs/protocol/peers.md`).
const VERSION_OFFSET: usize = 3;

impl Recording {
    /// Passes a message over the link. Returns the message as it arrives, and an earlier message if one is
    /// replayed.
    pub fn pass(&mut self, link: &Link, bytes: &[u8], random: &mut ChaCha8Rng) -> (Vec<u8>, Option<Vec<u8>>) {
        let mut bytes = bytes.to_vec();
        if let (Some(version), Some(byte)) = (link.version, bytes.get_mut(VERSION_OFFSET)) {
            *byte = version;
        }
        let is_replayed = happens(link.replayed, random) && !self.messages.is_empty();
        let earlier = is_replayed.then(|| self.messages[random.random_range(0..self.messages.len())].clone());
        if link.replayed > 0.0 {
            self.messages.truncate(MAX_RECORDED - 1);
            self.messages.push_front(bytes.clone());
        }
        (bytes, earlier)
    }
}

fn happens(probability: f64, random: &mut ChaCha8Rng) -> bool {
    probability > 0.0 && random.random_bool(probability.min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn carry_many(link: &Link) -> Vec<Vec<Copy>> {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        (0..10_000).map(|_| link.carry(100, &mut random)).collect()
    }

    #[test]
    fn link_without_faults_delivers_everything_and_cut_link_nothing() {
        assert!(carry_many(&Link::default()).iter().all(|copies| copies == &[Copy { after: 0, bytes: 100 }]));
        assert!(carry_many(&Link { cut: true, ..Link::default() }).iter().all(Vec::is_empty));
    }

    #[test]
    fn lost_duplicated_and_truncated_shares_match_the_settings() {
        let link = Link { loss: 0.2, doubled: 0.1, truncated: 0.3, ..Link::default() };
        let messages = carry_many(&link);
        let lost = messages.iter().filter(|copies| copies.is_empty()).count();
        let twice = messages.iter().filter(|copies| copies.len() == 2).count();
        let short = messages.iter().flatten().filter(|copy| copy.bytes < 100).count();
        assert!((1_900..2_100).contains(&lost), "{lost}");
        assert!((700..900).contains(&twice), "{twice}");
        assert!((2_450..2_850).contains(&short), "{short}");
    }

    #[test]
    fn recorded_messages_are_replayed_and_the_version_is_overwritten() {
        let (mut random, mut recording) = (ChaCha8Rng::seed_from_u64(7), Recording::default());
        let link = Link { replayed: 0.5, version: Some(9), ..Link::default() };
        let mut replayed = 0;
        for n in 0..200u8 {
            let (bytes, earlier) = recording.pass(&link, &[b'w', b'p', b'p', 1, n], &mut random);
            assert_eq!(bytes, [b'w', b'p', b'p', 9, n]);
            replayed += usize::from(earlier.is_some_and(|earlier| earlier[3] == 9 && earlier[4] < n));
        }
        assert!((80..120).contains(&replayed), "{replayed}");
        assert_eq!(recording.pass(&Link::default(), &[1, 2], &mut random), (vec![1, 2], None));
    }

    #[test]
    fn delays_have_a_minimum_and_a_long_tail_and_depend_only_on_the_seed() {
        let link = Link { delay_ms: 300.0, tail_ms: 100.0, ..Link::default() };
        let mut delays: Vec<Micros> = carry_many(&link).iter().flatten().map(|copy| copy.after).collect();
        delays.sort_unstable();
        assert!(delays[0] >= 300 * MS);
        let p99 = delays[delays.len() * 99 / 100];
        assert!((720 * MS..800 * MS).contains(&p99), "{p99}");
        assert_eq!(carry_many(&link), carry_many(&link));
    }
}
