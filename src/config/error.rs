//! Errors of the configuration.

use thiserror::Error;

/// A configuration that the proxy cannot start with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration key `{key}`: {problem}")]
pub struct ConfigError {
    /// The key or environment variable at fault.
    pub key: String,
    /// What is wrong with its value.
    pub problem: String,
}

impl ConfigError {
    /// Returns the error of a key.
    pub(super) fn new(key: &str, problem: impl ToString) -> Self {
        Self { key: key.to_owned(), problem: problem.to_string() }
    }
}
