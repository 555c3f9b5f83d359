//! Messages and durable state of the consensus protocol, and the outputs that its owner has to process.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::interface::Timestamp;
use crate::membership::view::{Identity, View};
use serde::{Deserialize, Serialize};

/// The number of a ballot. A ballot of a later round supersedes those of earlier rounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// The round; compared before the proposer.
    pub round: u64,
    /// The proposer.
    pub by: Identity,
}

/// A message between members about views and leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Requests the latest view if the receiver knows a later one than the sender.
    ViewRequest {
        /// The epoch of the latest view that the sender knows.
        epoch: u64,
    },
    /// A decided view.
    Decided {
        /// The view.
        view: View,
    },
    /// A member requests its lease from a voter.
    LeaseRequest {
        /// The epoch of the view under which it is requested.
        epoch: u64,
        /// When it was requested, on the clock of the member; returned in the grant.
        sent_at: Timestamp,
    },
    /// A voter grants a lease.
    LeaseGrant {
        /// The epoch of the view under which it is granted.
        epoch: u64,
        /// The `sent_at` of the request.
        sent_at: Timestamp,
    },
    /// Phase one: a proposer opens a ballot for the view after the current one.
    Prepare {
        /// The epoch of the current view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter promises to take part in no earlier ballot from now on.
    Promise {
        /// The epoch of the current view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
        /// The ballot and view that the voter accepted last, if any.
        accepted: Option<(Ballot, View)>,
    },
    /// Phase two: a proposer asks the voters to accept a view.
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The next view.
        view: View,
    },
    /// A voter has accepted the view.
    Accepted {
        /// The epoch of the current view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter rejects a ballot, since it has promised a later one.
    Reject {
        /// The epoch of the current view.
        epoch: u64,
        /// The later ballot.
        ballot: Ballot,
    },
}

/// State that must be kept as long as the incarnation exists. A process that restarts with it is still the
/// same voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The latest view.
    pub view: Option<View>,
    /// The highest ballot promised. The process takes part in no earlier one.
    pub promised: Option<Ballot>,
    /// The ballot and view accepted last.
    pub accepted: Option<(Ballot, View)>,
}

/// An action for the owner of the consensus. Outputs have to be processed in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Store this state before sending any message that follows.
    Persist(DurableState),
    /// Send a message to another member.
    Send(Identity, Message),
    /// Handle an event.
    Event(Event),
}

/// A fact that is safe to act on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A new view was adopted. A member that it removes may be replaced once
    /// [`super::Consensus::can_take_over`] returns `true`.
    View(View),
    /// This process may act as a member as long as [`super::Consensus::is_fenced`] returns `false`.
    Unfenced,
    /// This process must not act as a member: it was removed, or its lease has expired.
    Fenced,
    /// Another view with the epoch of the current one: a voter has voted twice, and safety is lost.
    ConflictingView(View),
}
