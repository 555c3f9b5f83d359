//! Settings as operators write them: read from JSON by [`read`], checked by [`validate`].
//!
//! The proxy reads them from its configuration, the simulator adapter from the simulator's first message. Their types
//! are in [`crate::interface`].

mod error;
mod example;
mod validate;
mod wire;

pub use error::SettingsReadError;
pub use validate::validate;
pub use wire::{micros_from_seconds, read, ReportFormat};
