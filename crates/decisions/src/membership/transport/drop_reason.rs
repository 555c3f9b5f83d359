//! Reasons for dropping a message.

/// The reason for dropping a message. The displayed name is part of the metric `gw.fleet.dropped.NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// The bytes are not a message of this protocol, or cannot be decoded.
    #[error("garbage")]
    Garbage,
    /// The message has another version of the protocol.
    #[error("version")]
    Version,
    /// The message belongs to another fleet.
    #[error("fleet")]
    Fleet,
    /// The message is not authenticated with a key of the fleet.
    #[error("forged")]
    Forged,
    /// The message is addressed to another name or incarnation, or was sent by this process itself.
    #[error("astray")]
    Astray,
    /// The sequence number was received before or is too old, or the message answers no open challenge.
    #[error("replayed")]
    Replayed,
    /// The sender was challenged recently and has not answered, or cannot be challenged.
    #[error("unproved")]
    Unproved,
    /// The message is longer than allowed.
    #[error("oversized")]
    Oversized,
    /// The address of the receiver is not known.
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
