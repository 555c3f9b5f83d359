//! The platform's configuration file, in JSON. Only this module maps its keys to the terms of the code.
//!
//! Messages about a malformed file show the names of these structures, which are therefore part of the
//! interface. The settings in the file are parsed by [`crate::settings`], except for the keys that only the
//! proxy needs.

use super::error::ConfigError;
use crate::endpoint_list::RawListing;
use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct File {
    pub(super) name: Option<String>,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    pub(super) console: Option<String>,
    pub(super) seed: Option<serde_json::Value>,
    #[serde(default)]
    pub(super) limits: FileLimits,
    /// The last cached endpoint list.
    #[serde(rename = "known")]
    pub(super) cached_endpoints: Option<RawListing>,
    pub(super) settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct FileLimits {
    pub(super) cores: Option<f64>,
    pub(super) memory_mb: Option<f64>,
    pub(super) sockets: Option<usize>,
}

#[derive(Deserialize)]
pub(super) struct Named {
    pub(super) name: String,
}

#[derive(Deserialize)]
pub(super) struct Customer {
    pub(super) name: String,
    #[serde(default)]
    pub(super) share: f64,
}

/// Keys of the settings that only the proxy needs.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct SettingsNames {
    #[serde(rename = "areas")]
    pub(super) zones: Vec<String>,
    #[serde(rename = "grades")]
    pub(super) classes: Vec<Named>,
    #[serde(rename = "customers")]
    pub(super) tenants: Vec<Customer>,
    pub(super) limits: SettingsLimits,
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct SettingsLimits {
    #[serde(rename = "connectTimeout")]
    pub(super) connect_timeout_seconds: f64,
    #[serde(rename = "keepalive")]
    pub(super) keepalive_seconds: f64,
    #[serde(rename = "mostHeld")]
    pub(super) max_pending_requests: usize,
    #[serde(rename = "maxAttempts")]
    pub(super) max_attempts: u32,
    #[serde(rename = "mayTell")]
    pub(super) peers_allowed: bool,
}

impl Default for SettingsLimits {
    fn default() -> Self {
        Self {
            connect_timeout_seconds: 0.25,
            keepalive_seconds: 15.0,
            max_pending_requests: 30_000,
            max_attempts: 8,
            peers_allowed: true,
        }
    }
}

impl File {
    pub(super) fn parse(text: &str) -> Result<Self, ConfigError> {
        serde_json::from_str(text)
            .map_err(|error| ConfigError::new(&key_in_message(&error.to_string()), error))
    }
}

/// Returns the key that serde quotes with backticks in an error message, or `GW_CONFIG` if there is none.
fn key_in_message(message: &str) -> String {
    let quoted = message.split('`').nth(1).filter(|key| !key.contains(' '));
    quoted.unwrap_or("GW_CONFIG").to_owned()
}
