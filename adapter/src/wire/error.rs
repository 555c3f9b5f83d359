//! Errors of the simulator's input.

use thiserror::Error;

/// Error of a line that the protocol does not allow.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// A field of a message is missing or invalid.
    #[error("{message}, field `{field}`: {problem}")]
    Field {
        /// Name of the message in the protocol.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// Problem of the field.
        problem: String,
    },
    /// A message has too many fields.
    #[error("`{0}`: too many fields")]
    ExcessFields(String),
    /// Another message came before an endpoint list was complete.
    #[error("`{message}` while a list still lacks {missing} rows")]
    ListIncomplete {
        /// Name of the message that came.
        message: String,
        /// Number of entries that the list still lacks.
        missing: u64,
    },
    /// A batch began inside another one.
    #[error("clock: the previous batch has not ended")]
    NestedBatch,
    /// A message came outside of a batch.
    #[error("`{0}` outside a batch")]
    OutsideBatch(String),
    /// The protocol does not define this message.
    #[error("unknown message `{0}`")]
    UnknownMessage(String),
    /// The input ended before its last batch.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
}
