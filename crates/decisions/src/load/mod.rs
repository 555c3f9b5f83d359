//! What is known of loads and faults, and how fast that grows old. What follows from it is the module's to decide.

mod circuit_breaker;
mod decaying_average;
mod group_latency;
mod group_traffic;
mod latency_estimate;

pub use circuit_breaker::Rest;
pub use decaying_average::Faded;
pub use group_latency::Crowd;
pub use group_traffic::Group;
pub use latency_estimate::Pace;
