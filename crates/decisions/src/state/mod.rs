//! Data structures with bounded memory.
//!
//! Evicting entries never makes a decision wrong, only more cautious. The proxy does not use `background`,
//! `heavy_hitters` and `timer_wheel` yet.

pub mod background;
pub mod heavy_hitters;
pub mod host_clock;
pub mod rate_limited_log;
pub mod session_positions;
pub mod timer_wheel;
mod unconfirmed_writes;
