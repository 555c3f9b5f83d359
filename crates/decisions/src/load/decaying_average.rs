//! An average that weighs samples by their age as well as by their number: an observer with hundreds of
//! samples a second needs many of them, one with a sample every few seconds cannot wait for them.

use crate::interface::Timestamp;

#[cfg(test)]
mod tests;

/// An average of samples that decays towards zero while none come. Time constants are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingAverage {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingAverage {
    /// Returns the weight, from 0 to 1, that the latest sample still has at `now`.
    pub fn remaining_weight(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        (-((now.0 - self.updated_at.0).max(0) as f64) / time_constant_us).exp()
    }

    /// Returns the average as it stands at `now`.
    pub fn value_at(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        self.value * self.remaining_weight(now, time_constant_us)
    }

    /// Adds a sample. Its weight is at least `min_weight`, and grows with the time since the sample before
    /// it.
    pub fn record(&mut self, now: Timestamp, sample: f64, min_weight: f64, time_constant_us: f64) {
        let weight = min_weight.max(1.0 - self.remaining_weight(now, time_constant_us));
        self.value += weight * (sample - self.value);
        self.updated_at = now;
    }
}
