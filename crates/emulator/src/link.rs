//! One direction between two processes: what becomes of each message on it. No sockets: [`crate::net::relay`] carries it out
//! on processes, virtual time on state machines.

use crate::{Micros, MS};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::VecDeque;

/// How a direction is. Parts are of 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Link {
    /// Nothing gets through.
    pub cut: bool,
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub doubled: f64,
    /// Part of which the end is missing.
    pub truncated: f64,
    /// Part after which an earlier one, of the last 64, comes once more.
    pub replayed: f64,
    /// The version of the peers' protocol that each seems to be of, whichever it is.
    pub version: Option<u8>,
    /// What each takes at least, in milliseconds.
    pub delay_ms: f64,
    /// The mean of what comes on top, in milliseconds, with a long tail: one in a hundred takes almost five times as long.
    pub tail_ms: f64,
}

impl Default for Link {
    /// A link that is well.
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

/// One copy of a message that gets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// After so long; copies of later messages may come before.
    pub after: Micros,
    /// So many bytes of it.
    pub bytes: usize,
}

impl Link {
    /// What becomes of a message of so many bytes: none, one or two copies.
    pub fn carry(&self, bytes: usize, random: &mut ChaCha8Rng) -> Vec<Copy> {
        if self.cut || luck(self.loss, random) {
            return Vec::new();
        }
        let copies = 1 + usize::from(luck(self.doubled, random));
        (0..copies).map(|_| self.copy(bytes, random)).collect()
    }

    fn copy(&self, bytes: usize, random: &mut ChaCha8Rng) -> Copy {
        let tail = -random.random_range(f64::EPSILON..1.0f64).ln() * self.tail_ms;
        let after = ((self.delay_ms + tail).max(0.0) * MS as f64) as Micros;
        let cut = luck(self.truncated, random) && bytes > 0;
        Copy { after, bytes: if cut { random.random_range(0..bytes) } else { bytes } }
    }
}

/// What went over a link lately, to come once more.
#[derive(Debug, Default)]
pub struct Recording {
    last: VecDeque<Vec<u8>>,
}

/// So many messages are recorded.
const RECORDED: usize = 64;
/// Where a message of the peers' protocol has its version (`docs/protocol/peers.md`).
const VERSION_AT: usize = 3;

impl Recording {
    /// A message goes over the link: as it comes out, and an earlier one if one is to come once more.
    pub fn pass(&mut self, link: &Link, bytes: &[u8], random: &mut ChaCha8Rng) -> (Vec<u8>, Option<Vec<u8>>) {
        let mut bytes = bytes.to_vec();
        if let (Some(version), Some(byte)) = (link.version, bytes.get_mut(VERSION_AT)) {
            *byte = version;
        }
        let again = luck(link.replayed, random) && !self.last.is_empty();
        let again = again.then(|| self.last[random.random_range(0..self.last.len())].clone());
        if link.replayed > 0.0 {
            self.last.truncate(RECORDED - 1);
            self.last.push_front(bytes.clone());
        }
        (bytes, again)
    }
}

fn luck(part: f64, random: &mut ChaCha8Rng) -> bool {
    part > 0.0 && random.random_bool(part.min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn carried(link: &Link) -> Vec<Vec<Copy>> {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        (0..10_000).map(|_| link.carry(100, &mut random)).collect()
    }

    #[test]
    fn a_link_that_is_well_carries_all_and_a_cut_one_nothing() {
        assert!(carried(&Link::default()).iter().all(|copies| copies == &[Copy { after: 0, bytes: 100 }]));
        assert!(carried(&Link { cut: true, ..Link::default() }).iter().all(Vec::is_empty));
    }

    #[test]
    fn each_part_is_as_large_as_it_says() {
        let link = Link { loss: 0.2, doubled: 0.1, truncated: 0.3, ..Link::default() };
        let all = carried(&link);
        let lost = all.iter().filter(|copies| copies.is_empty()).count();
        let twice = all.iter().filter(|copies| copies.len() == 2).count();
        let short = all.iter().flatten().filter(|copy| copy.bytes < 100).count();
        assert!((1_900..2_100).contains(&lost), "{lost}");
        assert!((700..900).contains(&twice), "{twice}");
        assert!((2_450..2_850).contains(&short), "{short}");
    }

    #[test]
    fn what_was_recorded_comes_once_more_and_a_version_is_written_over() {
        let (mut random, mut recording) = (ChaCha8Rng::seed_from_u64(7), Recording::default());
        let link = Link { replayed: 0.5, version: Some(9), ..Link::default() };
        let mut again = 0;
        for n in 0..200u8 {
            let (bytes, earlier) = recording.pass(&link, &[b'w', b'p', b'p', 1, n], &mut random);
            assert_eq!(bytes, [b'w', b'p', b'p', 9, n]);
            again += usize::from(earlier.is_some_and(|earlier| earlier[3] == 9 && earlier[4] < n));
        }
        assert!((80..120).contains(&again), "{again}");
        assert_eq!(recording.pass(&Link::default(), &[1, 2], &mut random), (vec![1, 2], None));
    }

    #[test]
    fn delays_have_a_least_and_a_long_tail_and_the_same_seed_gives_the_same() {
        let link = Link { delay_ms: 300.0, tail_ms: 100.0, ..Link::default() };
        let mut after: Vec<Micros> = carried(&link).iter().flatten().map(|copy| copy.after).collect();
        after.sort_unstable();
        assert!(after[0] >= 300 * MS);
        let p99 = after[after.len() * 99 / 100];
        assert!((720 * MS..800 * MS).contains(&p99), "{p99}");
        assert_eq!(carried(&link), carried(&link));
    }
}
