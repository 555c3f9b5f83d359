//! Messages of the consensus, its durable state, and what its owner has to do.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::interface::Timestamp;
use crate::membership::view::{Identity, View};
use serde::{Deserialize, Serialize};

/// The number of a ballot. Ballots of later rounds supersede those of earlier ones.
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
    /// Asks for the latest view if the receiver knows a later one.
    ViewRequest {
        /// The latest view that the sender knows.
        epoch: u64,
    },
    /// A decided view.
    Decided {
        /// The view.
        view: View,
    },
    /// A member asks a voter for its lease.
    LeaseRequest {
        /// The view under which it asks.
        epoch: u64,
        /// When it asked, on its own clock; the grant returns it.
        sent_at: Timestamp,
    },
    /// A voter grants a lease.
    LeaseGrant {
        /// The view under which it grants.
        epoch: u64,
        /// The time given in the request.
        sent_at: Timestamp,
    },
    /// Phase one: a proposer opens a ballot for the view after the present one.
    Prepare {
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter takes part in no earlier ballot from now on.
    Promise {
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
        /// What the voter has accepted last.
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
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has promised a later ballot.
    Reject {
        /// The present view.
        epoch: u64,
        /// The later ballot.
        ballot: Ballot,
    },
}

/// State that must survive as long as an incarnation does. A process that restarts with it is still the same voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The latest view.
    pub view: Option<View>,
    /// The highest ballot promised: no earlier one is taken part in.
    pub promised: Option<Ballot>,
    /// What was accepted last.
    pub accepted: Option<(Ballot, View)>,
}

/// What the owner of the consensus has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Store this state before any message that follows is sent.
    Persist(DurableState),
    /// Send a message to another member.
    Send(Identity, Message),
    /// Act on an event.
    Event(Event),
}

/// A fact that may be relied on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// There is a new view. A member that it removes may be replaced once [`super::Consensus::can_take_over`] says so.
    View(View),
    /// This process may act as a member, until [`super::Consensus::is_fenced`] says otherwise.
    Unfenced,
    /// This process may not act as a member: it is out, or its lease has run out.
    Fenced,
    /// A second view with a number that is already known: a voter voted twice, safety is lost.
    ConflictingView(View),
}
