//! Who holds most: a Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005) over holders and their bytes.
//!
//! It keeps so many counters, whatever the number of holders. A holder that weighs more than the total divided by the
//! number of counters is always among them; a count is too high by at most its error, and never too low.

use std::collections::HashMap;
use std::hash::Hash;

/// A holder, and what it holds at the most and at the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeavyHitter<T> {
    /// Who.
    pub holder: T,
    /// At the most.
    pub count: u64,
    /// By so much it may be less.
    pub error: u64,
}

/// The sketch.
#[derive(Clone, Debug)]
pub struct HeavyHitters<T> {
    counters: Vec<HeavyHitter<T>>,
    places: HashMap<T, usize>,
    most: usize,
    total: u64,
}

impl<T: Copy + Eq + Hash> HeavyHitters<T> {
    /// With so many counters.
    pub fn new(counters: usize) -> Self {
        let most = counters.max(1);
        Self { counters: Vec::with_capacity(most), places: HashMap::with_capacity(most), most, total: 0 }
    }

    /// A holder has taken so much more.
    pub fn add(&mut self, holder: T, amount: u64) {
        self.total += amount;
        if let Some(at) = self.places.get(&holder) {
            self.counters[*at].count += amount;
            return;
        }
        if self.counters.len() < self.most {
            self.places.insert(holder, self.counters.len());
            self.counters.push(HeavyHitter { holder, count: amount, error: 0 });
            return;
        }
        // The least counter goes to the newcomer, with all that it had counted.
        let least = (0..self.counters.len()).min_by_key(|at| self.counters[*at].count).unwrap_or(0);
        let counter = &mut self.counters[least];
        self.places.remove(&counter.holder);
        *counter = HeavyHitter { holder, count: counter.count + amount, error: counter.count };
        self.places.insert(holder, least);
    }

    /// All that was ever taken.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The heaviest, first those that hold most.
    pub fn heaviest(&self, most: usize) -> Vec<HeavyHitter<T>> {
        let mut all = self.counters.clone();
        all.sort_by_key(|counter| std::cmp::Reverse(counter.count));
        all.truncate(most);
        all
    }

    /// Halves all counts, so that what was long ago weighs less.
    pub fn fade(&mut self) {
        self.total /= 2;
        for counter in &mut self.counters {
            counter.count /= 2;
            counter.error /= 2;
        }
    }
}
