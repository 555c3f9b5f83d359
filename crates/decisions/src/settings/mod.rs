//! Reading of the operator's settings from JSON ([`read`]), and their validation ([`validate`]).
//!
//! The proxy reads settings from its configuration, the simulator adapter from the simulator's first message.
//! Their types are in [`crate::interface`].

mod error;
mod example;
mod validate;
mod wire;

pub use error::SettingsReadError;
pub use validate::validate;
pub use wire::{micros_from_seconds, read, ReportFormat};
