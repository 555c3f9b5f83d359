//! Replay window: which sequence numbers of one process were received. Each is accepted once; one that is too old to tell is
//! not accepted.

/// Numbers behind the highest one that are still told apart. A datagram may be overtaken by as many.
pub const WIDTH: u64 = 1024;
const WORDS: usize = (WIDTH / 64) as usize;

/// Where a frame stands among those of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// No later one has been received.
    Latest,
    /// A later one has been received before it.
    Overtaken,
}

/// The sequence numbers received from one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// One bit for each number, by its remainder: set if it was received.
    received: [u64; WORDS],
}

impl ReplayWindow {
    /// Creates a window in which `sequence` and all numbers before it count as received.
    pub fn starting_at(sequence: u64) -> Self {
        let mut window = Self { highest: sequence, received: [u64::MAX; WORDS] };
        window.mark(sequence);
        window
    }

    /// Accepts a number that is received for the first time. Returns `None` for any other.
    pub fn accept(&mut self, sequence: u64) -> Option<Arrival> {
        if sequence > self.highest {
            // The numbers between may still arrive.
            for skipped in (self.highest + 1..=sequence).rev().take(WIDTH as usize) {
                self.clear(skipped);
            }
            self.highest = sequence;
            self.mark(sequence);
            return Some(Arrival::Latest);
        }
        if self.highest - sequence >= WIDTH || self.is_received(sequence) {
            return None;
        }
        self.mark(sequence);
        Some(Arrival::Overtaken)
    }

    fn word_and_bit(sequence: u64) -> (usize, u64) {
        (((sequence % WIDTH) / 64) as usize, 1 << (sequence % 64))
    }

    fn mark(&mut self, sequence: u64) {
        let (word, bit) = Self::word_and_bit(sequence);
        self.received[word] |= bit;
    }

    fn clear(&mut self, sequence: u64) {
        let (word, bit) = Self::word_and_bit(sequence);
        self.received[word] &= !bit;
    }

    fn is_received(&self, sequence: u64) -> bool {
        let (word, bit) = Self::word_and_bit(sequence);
        self.received[word] & bit != 0
    }
}

#[cfg(test)]
mod tests;
