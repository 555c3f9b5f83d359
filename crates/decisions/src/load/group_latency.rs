//! Latency ratios (latency divided by latency objective) of recent responses, by group and role.
//!
//! A router that gets a response from a group every few seconds has only one or two recent ones, and a single
//! slow one says little. So the average over all groups is combined with the group's own.

use super::{ByRole, DecayingAverage};
use crate::interface::{Role, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Weight of the average over all groups, in responses of the group itself.
const FLEET_SAMPLES: f64 = 3.0;

/// Decaying statistics of the responses of one role in one group.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseHistory {
    latency_ratio: DecayingAverage,
    sample_count: f64,
    updated_at: Timestamp,
}

impl ResponseHistory {
    fn sample_count_at(&self, now: Timestamp, time_constant_us: f64) -> f64 {
        self.sample_count * (-((now.0 - self.updated_at.0).max(0) as f64) / time_constant_us).exp()
    }

    fn record(&mut self, now: Timestamp, sample: f64, min_weight: f64, time_constant_us: f64) {
        self.sample_count = self.sample_count_at(now, time_constant_us) + 1.0;
        self.updated_at = now;
        self.latency_ratio.record(now, sample, min_weight, time_constant_us);
    }
}

/// Latency ratios by group and role. The ratio is 1 for a response exactly at its latency objective.
#[derive(Clone, Debug)]
pub struct GroupLatency {
    time_constant_us: f64,
    min_weight: f64,
    groups: BTreeMap<u32, ByRole<Option<ResponseHistory>>>,
    fleet: ByRole<DecayingAverage>,
}

impl GroupLatency {
    /// Returns an estimate without samples. Samples decay with the time constant, in microseconds; the weight
    /// of a new sample is at least `min_weight`.
    pub fn new(time_constant_us: f64, min_weight: f64) -> Self {
        Self { time_constant_us, min_weight, groups: BTreeMap::new(), fleet: ByRole::default() }
    }

    /// Adds the latency ratio of a response from a host with this role in this group.
    pub fn record(&mut self, group: u32, role: Role, now: Timestamp, sample: f64) {
        let history = self.groups.entry(group).or_default().get_mut(role).get_or_insert_default();
        history.record(now, sample, self.min_weight, self.time_constant_us);
        self.fleet.get_mut(role).record(now, sample, self.min_weight, self.time_constant_us);
    }

    /// Returns the latency ratio of a role in a group; 0 without any response of the group itself.
    pub fn latency_ratio(&self, group: u32, role: Role, now: Timestamp) -> f64 {
        let own = self.history(group, role).copied().unwrap_or_default();
        let own_samples = own.sample_count_at(now, self.time_constant_us);
        let fleet_ratio = self.fleet.get(role).value_at(now, self.time_constant_us);
        let fleet_samples = if own_samples > 0.0 { FLEET_SAMPLES } else { 0.0 };
        let own_sum = own.latency_ratio.value_at(now, self.time_constant_us) * own_samples;
        (own_sum + fleet_ratio * fleet_samples) / (own_samples + fleet_samples).max(1e-9)
    }

    /// Returns how recent the last response of a role in a group is, from 1 (just now) to 0 (none, or long
    /// ago).
    pub fn confidence(&self, group: u32, role: Role, now: Timestamp) -> f64 {
        let history = self.history(group, role);
        history.map_or(0.0, |history| history.latency_ratio.decay_factor(now, self.time_constant_us))
    }

    fn history(&self, group: u32, role: Role) -> Option<&ResponseHistory> {
        self.groups.get(&group)?.get(role).as_ref()
    }
}
