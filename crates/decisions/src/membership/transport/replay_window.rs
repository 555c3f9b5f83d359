//! Which numbers of one sender have been seen: each is taken once, and one that is too old to tell is not taken.

/// So many numbers behind the highest are still told apart: a datagram may be overtaken by as many to all members.
pub const WIDTH: u64 = 1024;
const WORDS: usize = (WIDTH / 64) as usize;

/// The numbers of one process of one sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// One bit a number, by its remainder: set if seen.
    seen: [u64; WORDS],
}

impl ReplayWindow {
    /// From that number on, which is taken herewith; what was sent before is not.
    pub fn from(number: u64) -> Self {
        let mut window = Self { highest: number, seen: [u64::MAX; WORDS] };
        window.mark(number);
        window
    }

    /// Whether that number comes for the first time, and whether it is the highest so far.
    pub fn take(&mut self, number: u64) -> Option<Arrival> {
        if number > self.highest {
            // What is skipped may still come.
            for skipped in (self.highest + 1..=number).rev().take(WIDTH as usize) {
                self.clear(skipped);
            }
            self.highest = number;
            self.mark(number);
            return Some(Arrival::Latest);
        }
        if self.highest - number >= WIDTH || self.is_seen(number) {
            return None;
        }
        self.mark(number);
        Some(Arrival::Overtaken)
    }

    fn place(number: u64) -> (usize, u64) {
        (((number % WIDTH) / 64) as usize, 1 << (number % 64))
    }

    fn mark(&mut self, number: u64) {
        let (word, bit) = Self::place(number);
        self.seen[word] |= bit;
    }

    fn clear(&mut self, number: u64) {
        let (word, bit) = Self::place(number);
        self.seen[word] &= !bit;
    }

    fn is_seen(&self, number: u64) -> bool {
        let (word, bit) = Self::place(number);
        self.seen[word] & bit != 0
    }
}

/// Where a message stands among those of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// None that was sent later has come before.
    Latest,
    /// A later one has come before it.
    Overtaken,
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    #[test]
    fn what_was_sent_before_the_first_that_is_known_is_not_taken() {
        let mut window = ReplayWindow::from(5_000);
        assert_eq!([4_999, 5_000, 4_000, 0].map(|n| window.take(n)), [None; 4]);
        assert_eq!(window.take(5_001), Some(Arrival::Latest));
    }

    proptest! {
        /// Held against a plain set: each number above the first is taken once at the most, and always while it is
        /// within the width.
        #[test]
        fn each_number_is_taken_once(first in 0u64..5_000, steps in proptest::collection::vec(-1_500i64..1_500, 1..400)) {
            let (mut window, mut seen, mut highest) = (ReplayWindow::from(first), BTreeSet::from([first]), first);
            for step in steps {
                let number = highest.saturating_add_signed(step);
                let due = number > first && highest.saturating_sub(number) < WIDTH && !seen.contains(&number);
                let order = if number > highest { Arrival::Latest } else { Arrival::Overtaken };
                prop_assert_eq!(window.take(number), due.then_some(order), "{}", number);
                if due {
                    seen.insert(number);
                    highest = highest.max(number);
                }
            }
        }
    }
}
