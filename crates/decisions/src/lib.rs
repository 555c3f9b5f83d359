//! Decision logic of wheelpier, without I/O, clock or runtime: callers pass in events and the current time
//! and execute the returned actions.
//!
//! [`Router`] selects the host for each request and decides on retries and rejections.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod budget;
pub mod drain;
pub mod interface;
pub mod load;
pub mod membership;
pub mod pipeline;
mod routing;
pub mod settings;
pub mod state;
pub mod time;

pub use interface::*;
pub use routing::Router;
