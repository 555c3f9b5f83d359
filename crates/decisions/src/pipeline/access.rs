//! Conflicts between requests of one connection.

use crate::interface::SessionId;

/// The key that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Access {
    /// The group that holds the key.
    pub group: u32,
    /// Hash of the key.
    pub key: SessionId,
    /// Whether the request writes the key.
    pub is_write: bool,
}

impl Access {
    /// Returns whether the effects of two requests depend on which of them runs first.
    pub fn conflicts_with(self, other: Self) -> bool {
        self.group == other.group && self.key == other.key && (self.is_write || other.is_write)
    }
}
