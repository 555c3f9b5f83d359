//! State made for the job: what it holds is bounded, and forgetting never makes a decision wrong.

pub mod background;
pub mod heavy_hitters;
pub mod host_clock;
pub mod rate_limited_log;
pub mod session_positions;
pub mod timer_wheel;
mod unconfirmed_writes;
