//! Reloads the configuration while the proxy runs.
//!
//! A reload applies changes of the address of discovery, the request classes, the router's other settings,
//! the tenants with their quotas, and the number of attempts. Everything else is kept until a restart.
//! Classes and tenants keep their indices, which requests in flight refer to: a class that is removed accepts
//! no new requests, a tenant that is removed has no quota, and new ones are appended. A class whose effect
//! changes is removed, and a new one of its name is appended.

use super::file::File;
use super::missing_key::first_missing;
use super::{ClassName, Config, ConfigError, TenantName};
use crate::interface::{RequestClass, Settings};

impl Config {
    /// Rereads the file and returns this configuration with the changes that a reload may apply. A
    /// configuration that was not read from a file is returned unchanged.
    ///
    /// # Errors
    /// Returns an error if the proxy could not start with the file, or it lacks a key that the configuration in
    /// force has.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let Some(path) = &self.file else { return Ok(self.clone()) };
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::new("GW_CONFIG", error))?;
        self.reload_from(&text)
    }

    /// Like [`Config::reload`], with `text` in place of the file's content.
    ///
    /// # Errors
    /// Returns an error as [`Config::reload`] does.
    pub fn reload_from(&self, text: &str) -> Result<Self, ConfigError> {
        let new = self.read_for_reload(text)?;
        if let Some(key) = first_missing(&self.source, &new.source) {
            return Err(ConfigError::new(&key, "is missing, and the configuration in force has it"));
        }
        Ok(self.with_changes_of(new))
    }

    /// Reads the text as at startup, but with the name and the listening address of this process.
    fn read_for_reload(&self, text: &str) -> Result<Self, ConfigError> {
        let file = File::parse(text)?;
        let discovery = file.discovery.is_none().then(|| self.discovery.to_string());
        Self::read(text, |variable| match variable {
            "GW_NAME" => Some(self.name.clone()),
            "GW_LISTEN" => Some(self.listen.to_string()),
            "GW_DISCOVERY" => discovery.clone(),
            _ => None,
        })
    }

    /// Returns this configuration with the changes in `new` that a reload may apply.
    fn with_changes_of(&self, new: Self) -> Self {
        let old_names = self.names.classes.iter();
        let old_names = old_names.map(|class| ClassName { is_configured: false, ..class.clone() });
        let old_classes = old_names.zip(self.settings.classes.iter().cloned());
        let new_classes = new.names.classes.into_iter().zip(new.settings.classes);
        // A class of another effect is another one, since requests in flight keep theirs.
        let (class_names, classes) = merge(old_classes, new_classes, |(old_name, old), (new_name, new)| {
            old_name.name == new_name.name && has_same_effect(old, new)
        });

        let old_names = self.names.tenants.iter();
        let old_names = old_names.map(|tenant| TenantName { is_configured: false, ..tenant.clone() });
        let old_tenants = old_names.map(|tenant| (tenant, 0.0));
        let new_tenants = new.names.tenants.into_iter().zip(new.settings.tenant_quotas);
        let (tenant_names, tenant_quotas) =
            merge(old_tenants, new_tenants, |(old, _), (new, _)| old.name == new.name);

        let mut merged = self.clone();
        merged.settings = Settings { classes, tenant_quotas, ..new.settings };
        merged.names.classes = class_names;
        merged.names.tenants = tenant_names;
        merged.source = new.source;
        merged.discovery = new.discovery;
        merged.max_attempts = new.max_attempts;
        merged
    }
}

/// Returns whether requests of both classes may be repeated, and their reads answered, under the same
/// conditions.
fn has_same_effect(old: &RequestClass, new: &RequestClass) -> bool {
    old.idempotency == new.idempotency
        && old.idempotency_key_window == new.idempotency_key_window
        && old.freshness == new.freshness
}

/// Replaces old entries with new ones that are the same, and appends the remaining new ones.
fn merge<N, V>(
    old: impl Iterator<Item = (N, V)>,
    new: impl Iterator<Item = (N, V)>,
    is_same: impl Fn(&(N, V), &(N, V)) -> bool,
) -> (Vec<N>, Vec<V>) {
    let mut merged: Vec<(N, V)> = old.collect();
    for entry in new {
        match merged.iter().position(|old| is_same(old, &entry)) {
            Some(index) => merged[index] = entry,
            None => merged.push(entry),
        }
    }
    merged.into_iter().unzip()
}
