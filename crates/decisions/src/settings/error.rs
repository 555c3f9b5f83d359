//! Errors of reading the settings.

use thiserror::Error;

/// Why a text is no settings object.
#[derive(Debug, Error)]
pub enum SettingsReadError {
    /// The text is no JSON, or a key is missing or has a value of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// There are more or fewer freshness words than request classes.
    #[error("familyInfo.freshness: must have one word for each of grades")]
    FreshnessCount,
    /// A class of bounded staleness has no bound.
    #[error("familyInfo.classBound: no bound for class {class}")]
    MissingBound {
        /// Index of the class.
        class: usize,
    },
}
