//! Errors from reading settings.

use thiserror::Error;

/// An error from reading settings from JSON.
#[derive(Debug, Error)]
pub enum SettingsReadError {
    /// The text is not valid JSON, a key is missing, or a value has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// There are more or fewer freshness values than request classes.
    #[error("familyInfo.freshness: must have as many entries as grades")]
    FreshnessCount,
    /// A class with bounded staleness has no bound.
    #[error("familyInfo.classBound: no bound for class {class}")]
    MissingBound {
        /// Index of the class.
        class: usize,
    },
}
