//! Why a request or a connection is rejected, with the names that figures and log lines use.

use std::fmt;

#[cfg(test)]
mod tests;

/// Why a request or a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The statement is not UTF-8.
    InvalidEncoding,
    /// The statement is of no form that is served.
    UnsupportedStatement,
    /// The comment lacks a field that every statement must have here.
    MissingField,
    /// The comment has a field twice.
    DuplicateField,
    /// The value of a field in the comment cannot be read.
    InvalidValue,
    /// The settings have no such class, or accept no more requests of it.
    UnknownClass,
    /// The statement writes although its class reads, or the other way round.
    ReadWriteMismatch,
    /// Discovery lists no such replication group.
    UnknownGroup,
    /// A request with the same id is in flight.
    DuplicateId,
    /// The client uses a part of the protocol that is not served, or another protocol.
    UnsupportedFeature,
    /// A message is longer than the largest accepted.
    MessageTooLong,
    /// The client's bytes violate the protocol.
    ProtocolViolation,
    /// The login is invalid.
    InvalidLogin,
    /// No endpoint list has arrived yet, or the proxy is draining.
    NotReady,
    /// As many requests are pending as the settings allow.
    TooManyRequests,
    /// The memory budget is exceeded.
    MemoryExceeded,
    /// All client connection slots are in use.
    NoConnectionSlot,
    /// The router rejects it.
    RouterDecision,
    /// The answer to a later request on its connection was due.
    PipelineOrder,
    /// This machine lacks a port, a descriptor or a buffer at the moment.
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

/// The name in figures (`gw.turned.NAME`, `turned_NAME`) and log lines.
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
