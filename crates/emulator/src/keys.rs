//! The keys that a ledger set has recorded: a repeat within the window is dropped, one after it is recorded
//! again, and that is a double sale.

use crate::Micros;
use std::collections::HashMap;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// Recorded for the first time.
    First,
    /// Dropped as a repeat; this is when the first one was committed.
    Repeat(Micros),
    /// Recorded once more: the window had passed.
    Again,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    committed: Micros,
    times: u32,
}

/// The keys of one ledger set.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    entries: HashMap<String, Entry>,
}

impl Keys {
    /// A write with this key is about to be committed.
    pub fn record(&mut self, key: &str, now: Micros, window: Micros) -> Recorded {
        match self.entries.get_mut(key) {
            Some(entry) if now - entry.committed <= window => Recorded::Repeat(entry.committed),
            Some(entry) => {
                (entry.committed, entry.times) = (now, entry.times + 1);
                Recorded::Again
            }
            None => {
                self.entries.insert(key.to_owned(), Entry { committed: now, times: 1 });
                Recorded::First
            }
        }
    }

    /// How often a key is recorded.
    pub fn times(&self, key: &str) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.times)
    }

    /// Keys recorded more than once.
    pub fn doubled(&self) -> usize {
        self.entries.values().filter(|entry| entry.times > 1).count()
    }

    /// Keys recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
