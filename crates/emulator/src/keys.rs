//! Idempotency keys that a group has recorded. A repeat within the window is dropped; a repeat after the
//! window is recorded again, which corresponds to a sale that is booked twice.

use crate::Micros;
use std::collections::HashMap;

/// Result of recording a write's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// The key was recorded for the first time.
    First,
    /// The write was dropped as a repeat; holds the commit time of the write that was recorded.
    Repeat(Micros),
    /// The key was recorded once more, because the window had passed.
    Again,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    committed: Micros,
    count: u32,
}

/// Recorded idempotency keys of a group.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    entries: HashMap<String, Entry>,
}

impl Keys {
    /// Records the key of a write that is about to be committed.
    pub fn record(&mut self, key: &str, now: Micros, window: Micros) -> Recorded {
        match self.entries.get_mut(key) {
            Some(entry) if now - entry.committed <= window => Recorded::Repeat(entry.committed),
            Some(entry) => {
                (entry.committed, entry.count) = (now, entry.count + 1);
                Recorded::Again
            }
            None => {
                self.entries.insert(key.to_owned(), Entry { committed: now, count: 1 });
                Recorded::First
            }
        }
    }

    /// Returns how often a key was recorded.
    pub fn count(&self, key: &str) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.count)
    }

    /// Returns the number of keys that were recorded more than once.
    pub fn recorded_again(&self) -> usize {
        self.entries.values().filter(|entry| entry.count > 1).count()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
