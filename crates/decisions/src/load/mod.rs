//! Estimates of load, latency and failures that decay over time. `routing` makes decisions based on them.

mod by_role;
mod circuit_breaker;
mod decaying_average;
mod group_latency;
mod group_traffic;
mod latency_estimate;

pub use by_role::ByRole;
pub use circuit_breaker::CircuitBreaker;
pub use decaying_average::DecayingAverage;
pub use group_latency::GroupLatency;
pub use group_traffic::GroupTraffic;
pub use latency_estimate::LatencyEstimate;
