//! Configuration errors.

use thiserror::Error;

/// Error of a configuration with which the proxy cannot start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("configuration key `{key}`: {problem}")]
pub struct ConfigError {
    /// The invalid key or environment variable.
    pub key: String,
    /// Problem of its value.
    pub problem: String,
}

impl ConfigError {
    /// Returns an error of this key.
    pub(super) fn new(key: &str, problem: impl ToString) -> Self {
        Self { key: key.to_owned(), problem: problem.to_string() }
    }
}
