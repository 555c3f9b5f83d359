//! A Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005) of the largest holders of a resource.
//!
//! The number of counters is fixed and does not depend on the number of holders. A holder with more than the
//! total divided by the number of counters always has a counter. A count is never too low, and too high by at
//! most its error.

use std::collections::HashMap;
use std::hash::Hash;

/// A holder and the bounds of its amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeavyHitter<T> {
    /// The holder.
    pub holder: T,
    /// Upper bound of the amount.
    pub count: u64,
    /// Difference between the upper and the lower bound of the amount.
    pub error: u64,
}

/// A sketch of the amounts that holders have taken, with a limited number of counters.
#[derive(Clone, Debug)]
pub struct HeavyHitters<T> {
    counters: Vec<HeavyHitter<T>>,
    counter_indices: HashMap<T, usize>,
    capacity: usize,
    total: u64,
}

impl<T: Copy + Eq + Hash> HeavyHitters<T> {
    /// Returns an empty sketch with this many counters, at least 1.
    pub fn new(counters: usize) -> Self {
        let capacity = counters.max(1);
        Self {
            counters: Vec::with_capacity(capacity),
            counter_indices: HashMap::with_capacity(capacity),
            capacity,
            total: 0,
        }
    }

    /// Adds an amount taken by a holder.
    pub fn add(&mut self, holder: T, amount: u64) {
        self.total += amount;
        if let Some(index) = self.counter_indices.get(&holder) {
            self.counters[*index].count += amount;
            return;
        }
        if self.counters.len() < self.capacity {
            self.counter_indices.insert(holder, self.counters.len());
            self.counters.push(HeavyHitter { holder, count: amount, error: 0 });
            return;
        }
        self.replace_smallest(holder, amount);
    }

    /// Assigns the smallest counter, including its count, to a holder without one.
    fn replace_smallest(&mut self, holder: T, amount: u64) {
        let smallest = (0..self.counters.len()).min_by_key(|index| self.counters[*index].count).unwrap_or(0);
        let counter = &mut self.counters[smallest];
        self.counter_indices.remove(&counter.holder);
        *counter = HeavyHitter { holder, count: counter.count + amount, error: counter.count };
        self.counter_indices.insert(holder, smallest);
    }

    /// Returns the sum of all amounts.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns up to `limit` holders with the largest counts, in descending order.
    pub fn heaviest(&self, limit: usize) -> Vec<HeavyHitter<T>> {
        let mut counters = self.counters.clone();
        counters.sort_by_key(|counter| std::cmp::Reverse(counter.count));
        counters.truncate(limit);
        counters
    }

    /// Halves all counts, so that older amounts weigh less.
    pub fn halve(&mut self) {
        self.total /= 2;
        for counter in &mut self.counters {
            counter.count /= 2;
            counter.error /= 2;
        }
    }
}
