//! Estimates of the load: latencies by class, by group and role, and the traffic of each group.

use crate::interface::RequestClass;
use crate::load::{GroupLatency, GroupTraffic, LatencyEstimate};
use std::collections::BTreeMap;

/// Weight of a new sample in a moving average, which thus covers about ten samples.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum weight of a new sample of a latency ratio.
pub(super) const LATENCY_RATIO_MIN_WEIGHT: f64 = 0.25;
/// Time constant, in microseconds, of the decay of a group's latency ratio without new responses.
const GROUP_LATENCY_TIME_CONSTANT_US: f64 = 6e6;

/// Estimated latencies and traffic.
#[derive(Debug)]
pub(super) struct LoadEstimates {
    /// Latency estimates by class.
    pub classes: Vec<LatencyEstimate>,
    /// Latency ratios by group and role.
    pub groups: GroupLatency,
    /// Traffic by group.
    pub traffic: BTreeMap<u32, GroupTraffic>,
}

impl LoadEstimates {
    /// Returns the estimates before any response.
    pub fn new(classes: &[RequestClass]) -> Self {
        let mut estimates = Self {
            classes: Vec::new(),
            groups: GroupLatency::new(GROUP_LATENCY_TIME_CONSTANT_US, LATENCY_RATIO_MIN_WEIGHT),
            traffic: BTreeMap::new(),
        };
        estimates.add_classes(classes);
        estimates
    }

    /// Adds the classes that are new in `classes`; the others keep their estimates.
    pub fn add_classes(&mut self, classes: &[RequestClass]) {
        let added = classes.iter().skip(self.classes.len());
        self.classes.extend(added.map(|class| LatencyEstimate::from_objective(class.latency_objective)));
    }
}
