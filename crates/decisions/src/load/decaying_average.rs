//! An exponentially decaying average that suits both frequent and rare samples.
//!
//! The weight of a new sample depends on the time since the one before: among hundreds of samples per second
//! a single one counts little, and where samples are seconds apart it replaces most of the average.

use crate::interface::Timestamp;

#[cfg(test)]
mod tests;

/// An average of samples that decays towards zero without new ones. Time constants are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingAverage {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingAverage {
    /// Returns the factor, from 0 to 1, by which the average has decayed since the latest sample.
    pub fn decay_factor(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        (-((now.0 - self.updated_at.0).max(0) as f64) / time_constant_us).exp()
    }

    /// Returns the decayed average at `now`.
    pub fn value_at(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        self.value * self.decay_factor(now, time_constant_us)
    }

    /// Adds a sample. Its weight is at least `min_weight` and grows with the time since the previous sample.
    pub fn record(&mut self, now: Timestamp, sample: f64, min_weight: f64, time_constant_us: f64) {
        let weight = min_weight.max(1.0 - self.decay_factor(now, time_constant_us));
        self.value += weight * (sample - self.value);
        self.updated_at = now;
    }
}
