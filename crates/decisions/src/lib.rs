//! What wheelpier decides, apart from all sockets: no I/O, no clock and no runtime, as the manifest proves. Events and a
//! moment go in, actions come out.
//!
//! [`Router`] is the module: which host, whether to retry, what is turned away.
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
