//! Replay window: the sequence numbers received from one process. Each number is accepted once; a number
//! too old to be tracked is not accepted.

/// Number of sequence numbers that are tracked, up to the highest one received. A datagram that is further
/// behind is not accepted.
pub const WIDTH: u64 = 1024;
const WORDS: usize = (WIDTH / 64) as usize;

/// The order in which a frame arrived relative to other frames of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// No later frame has been received.
    Latest,
    /// A later frame was received before this one.
    Overtaken,
}

/// The sequence numbers received from one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// One bit for each sequence number modulo [`WIDTH`], set if the number was received.
    received: [u64; WORDS],
}

impl ReplayWindow {
    /// Creates a window in which `sequence` and all lower numbers count as received.
    pub fn starting_at(sequence: u64) -> Self {
        let mut window = Self { highest: sequence, received: [u64::MAX; WORDS] };
        window.mark(sequence);
        window
    }

    /// Accepts a number that is received for the first time. Returns `None` if it was received before or is
    /// too old.
    pub fn accept(&mut self, sequence: u64) -> Option<Arrival> {
        if sequence > self.highest {
            // The skipped numbers may still arrive.
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
