//! Why a message is dropped.

/// Why a message is dropped. The displayed name is part of the counter `gw.fleet.dropped.NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// It is no message of this protocol, or does not decode.
    #[error("garbage")]
    Garbage,
    /// It is of another version of the protocol.
    #[error("version")]
    Version,
    /// It is of another fleet.
    #[error("fleet")]
    Fleet,
    /// It is not authenticated with a key of the fleet.
    #[error("forged")]
    Forged,
    /// It is for another name or incarnation, or was sent by this process itself.
    #[error("astray")]
    Astray,
    /// Its sequence number was received before or is too old, or it answers no open challenge.
    #[error("replayed")]
    Replayed,
    /// Its sender was challenged a moment ago and has not answered, or cannot be challenged.
    #[error("unproved")]
    Unproved,
    /// It is longer than allowed.
    #[error("oversized")]
    Oversized,
    /// The address of its receiver is not known.
    #[error("unknown")]
    Unknown,
}

impl DropReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 9] = [
        Self::Garbage,
        Self::Version,
        Self::Fleet,
        Self::Forged,
        Self::Astray,
        Self::Replayed,
        Self::Unproved,
        Self::Oversized,
        Self::Unknown,
    ];
}
