//! The decisions of wheelpier, without I/O, clock and runtime: events and the current time go in, actions come out.
//!
//! [`Router`] decides which host gets a request, whether it is retried and whether it is rejected.
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
