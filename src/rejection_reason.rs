//! Reasons for rejecting requests and connections, with their names in metrics and log lines.

use std::fmt;

#[cfg(test)]
mod tests;

/// Reason for rejecting a request or a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The statement is not UTF-8.
    InvalidEncoding,
    /// The statement has a form that is not supported.
    UnsupportedStatement,
    /// The comment lacks a required field.
    MissingField,
    /// The comment has a field twice.
    DuplicateField,
    /// The value of a field in the comment cannot be read.
    InvalidValue,
    /// The class is not configured, or was removed by a reload.
    UnknownClass,
    /// The statement writes although its class only reads, or reads although its class writes.
    ReadWriteMismatch,
    /// Discovery does not list the replication group.
    UnknownGroup,
    /// A request with the same id is in flight.
    DuplicateId,
    /// The client uses an unsupported part of the protocol, or another protocol.
    UnsupportedFeature,
    /// A message exceeds the largest accepted length.
    MessageTooLong,
    /// The client's bytes violate the protocol.
    ProtocolViolation,
    /// The login is invalid.
    InvalidLogin,
    /// No endpoint list has been received yet, or the proxy is draining.
    NotReady,
    /// The limit of pending requests is reached.
    TooManyRequests,
    /// The memory budget is exceeded.
    MemoryExceeded,
    /// All client connection slots are in use.
    NoConnectionSlot,
    /// The router decided to reject the request.
    RouterDecision,
    /// The answer to a later request of the same connection was due.
    PipelineOrder,
    /// This machine is temporarily out of ports, descriptors or buffers.
    LocalResources,
}

/// All reasons, in the order of their discriminants.
pub const REJECTION_REASONS: [RejectionReason; 20] = [
    RejectionReason::InvalidEncoding,
    RejectionReason::UnsupportedStatement,
    RejectionReason::MissingField,
    RejectionReason::DuplicateField,
    RejectionReason::InvalidValue,
    RejectionReason::UnknownClass,
    RejectionReason::ReadWriteMismatch,
    RejectionReason::UnknownGroup,
    RejectionReason::DuplicateId,
    RejectionReason::UnsupportedFeature,
    RejectionReason::MessageTooLong,
    RejectionReason::ProtocolViolation,
    RejectionReason::InvalidLogin,
    RejectionReason::NotReady,
    RejectionReason::TooManyRequests,
    RejectionReason::MemoryExceeded,
    RejectionReason::NoConnectionSlot,
    RejectionReason::RouterDecision,
    RejectionReason::PipelineOrder,
    RejectionReason::LocalResources,
];

/// Formats the name in metrics (`gw.turned.NAME`, `turned_NAME`) and log lines.
impl fmt::Display for RejectionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InvalidEncoding => "encoding",
            Self::UnsupportedStatement => "form",
            Self::MissingField => "lacks",
            Self::DuplicateField => "twice",
            Self::InvalidValue => "value",
            Self::UnknownClass => "class",
            Self::ReadWriteMismatch => "kind",
            Self::UnknownGroup => "group",
            Self::DuplicateId => "id",
            Self::UnsupportedFeature => "unsupported",
            Self::MessageTooLong => "too_long",
            Self::ProtocolViolation => "broken",
            Self::InvalidLogin => "login",
            Self::NotReady => "not_ready",
            Self::TooManyRequests => "held",
            Self::MemoryExceeded => "memory",
            Self::NoConnectionSlot => "seat",
            Self::RouterDecision => "policy",
            Self::PipelineOrder => "order",
            Self::LocalResources => "local",
        })
    }
}
