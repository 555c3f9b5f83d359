//! A mean that goes by time as well as by number: one that hears a host a hundred times a second needs many
//! samples to believe something, one that hears it every few seconds has no time to wait for them.

use crate::interface::Timestamp;

/// A mean of samples of which older ones count the less, and which fades to nothing when none come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faded {
    value: f64,
    at: Timestamp,
}

impl Faded {
    /// What is left at `now` of the last sample, between 0 and 1, if it fades in `span` microseconds.
    pub fn kept(&self, now: Timestamp, span: f64) -> f64 {
        (-((now.0 - self.at.0).max(0) as f64) / span).exp()
    }

    /// The mean as it stands at `now`, fading in `span` microseconds.
    pub fn read(&self, now: Timestamp, span: f64) -> f64 {
        self.value * self.kept(now, span)
    }

    /// Takes a sample. It weighs `least` at the least, and the more the longer nothing was heard: what is older
    /// than `span` microseconds is all but forgotten.
    pub fn learn(&mut self, now: Timestamp, sample: f64, least: f64, span: f64) {
        let gain = least.max(1.0 - self.kept(now, span));
        self.value += gain * (sample - self.value);
        self.at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: f64 = 3e6;

    fn after(gap_us: i64, samples: i64) -> f64 {
        let mut mean = Faded::default();
        (1..=samples).for_each(|n| mean.learn(Timestamp(1_000_000_000 + n * gap_us), 1.0, 0.1, SPAN));
        mean.read(Timestamp(1_000_000_000 + samples * gap_us), SPAN)
    }

    #[test]
    fn one_sample_counts_where_few_come_and_little_where_many_do() {
        assert!(after(4_000_000, 1) > 0.7);
        let mut mean = Faded::default();
        mean.learn(Timestamp(1_000_000_000), 0.0, 0.1, SPAN);
        mean.learn(Timestamp(1_000_010_000), 1.0, 0.1, SPAN);
        assert!(mean.read(Timestamp(1_000_010_000), SPAN) < 0.11);
    }

    #[test]
    fn without_samples_it_fades() {
        let mut mean = Faded::default();
        mean.learn(Timestamp(1_000_000_000), 1.0, 0.1, SPAN);
        assert!(mean.read(Timestamp(1_009_000_000), SPAN) < 0.06);
    }
}
