//! What can be wrong with the simulator's input.

use thiserror::Error;

/// A line that cannot be accepted; the input is at fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// A field of a message is missing, or its value is not allowed.
    #[error("{message}, field `{field}`: {problem}")]
    Field {
        /// The message's name, as on the wire.
        message: String,
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        problem: String,
    },
    /// A message has more fields than its form allows.
    #[error("{0}: more fields than it has")]
    ExcessFields(String),
    /// Another message came where an endpoint list still lacks entries.
    #[error("`{message}` where a list still lacks {missing} rows")]
    ListIncomplete {
        /// The message that came.
        message: String,
        /// Entries that are still to come.
        missing: u64,
    },
    /// A batch began inside another one.
    #[error("clock: the batch before it has not ended")]
    NestedBatch,
    /// A message came between two batches.
    #[error("`{0}` outside a batch")]
    OutsideBatch(String),
    /// The protocol has no such message.
    #[error("`{0}` is no known message")]
    UnknownMessage(String),
    /// The input ended before its last batch did.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
}
