//! Why something is turned away, as figures and logs name it. Which it is, is for whoever turns it away.

use std::fmt;

/// A reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The statement is not UTF-8.
    Encoding,
    /// The statement is none of those that are served.
    Form,
    /// The comment lacks what each statement here needs.
    Lacks,
    /// The comment says something twice.
    Twice,
    /// A value of the comment cannot be read.
    Value,
    /// The settings name no such class, or take no more requests of it.
    Class,
    /// It writes where its class reads, or the other way round.
    Kind,
    /// Discovery names no such group.
    Group,
    /// A request of the same id is open.
    Id,
    /// A part of the protocol that is not served, or another protocol.
    Unsupported,
    /// A message is longer than is taken.
    TooLong,
    /// The stream breaks the protocol.
    Broken,
    /// The login cannot be accepted.
    Login,
    /// The list of ledger hosts has not come yet, or the proxy is drained.
    NotReady,
    /// As many requests are held as may be.
    Held,
    /// There is no memory for it.
    Memory,
    /// All seats are taken.
    Seat,
    /// The module turns it away.
    Policy,
    /// The answer to a request behind it on its connection was due.
    Order,
    /// This machine lacks a port, a descriptor or a buffer for the moment.
    Local,
}

/// All of them, in their order.
pub const REJECTION_REASONS: [RejectionReason; 20] = [
    RejectionReason::Encoding,
    RejectionReason::Form,
    RejectionReason::Lacks,
    RejectionReason::Twice,
    RejectionReason::Value,
    RejectionReason::Class,
    RejectionReason::Kind,
    RejectionReason::Group,
    RejectionReason::Id,
    RejectionReason::Unsupported,
    RejectionReason::TooLong,
    RejectionReason::Broken,
    RejectionReason::Login,
    RejectionReason::NotReady,
    RejectionReason::Held,
    RejectionReason::Memory,
    RejectionReason::Seat,
    RejectionReason::Policy,
    RejectionReason::Order,
    RejectionReason::Local,
];

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Encoding => "encoding",
            Self::Form => "form",
            Self::Lacks => "lacks",
            Self::Twice => "twice",
            Self::Value => "value",
            Self::Class => "class",
            Self::Kind => "kind",
            Self::Group => "group",
            Self::Id => "id",
            Self::Unsupported => "unsupported",
            Self::TooLong => "too_long",
            Self::Broken => "broken",
            Self::Login => "login",
            Self::NotReady => "not_ready",
            Self::Held => "held",
            Self::Memory => "memory",
            Self::Seat => "seat",
            Self::Policy => "policy",
            Self::Order => "order",
            Self::Local => "local",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_reason_stands_at_its_own_place() {
        for (n, reason) in REJECTION_REASONS.into_iter().enumerate() {
            assert_eq!(reason as usize, n);
        }
    }
}
