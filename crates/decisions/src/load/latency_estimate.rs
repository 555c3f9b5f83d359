//! Latency estimates of a request class.

use crate::interface::TimeDelta;

#[cfg(test)]
mod tests;

/// Mean latencies of one class, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Mean latency of all responses.
    pub mean_us: f64,
    /// Mean latency of responses to requests that did not queue at their host.
    pub service_time_us: f64,
}

impl LatencyEstimate {
    /// Returns the estimate before any response: a quarter of the latency objective, or an eighth without
    /// queueing.
    pub fn from_objective(latency_objective: TimeDelta) -> Self {
        let objective_us = latency_objective.0 as f64;
        Self { mean_us: objective_us / 4.0, service_time_us: objective_us / 8.0 }
    }
}
