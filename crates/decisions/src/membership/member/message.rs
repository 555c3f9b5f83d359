//! Messages between members, the configuration that they share, and what a member's owner has to do.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::membership::consensus::{self, DurableState, Event};
use crate::membership::failure_detector::{self, FailureDetectorConfig, Suspicion};
use crate::membership::lease::LeaseTerms;
use crate::membership::reconfiguration::ReachabilityRow;
use crate::membership::view::{Identity, Name};
use serde::{Deserialize, Serialize};

/// A message between two members, or a member and a process that wants to become one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Between the failure detectors.
    FailureDetector(failure_detector::Message),
    /// Between the parts in the consensus.
    Consensus(consensus::Message),
    /// A voter's report to another voter.
    Reachability(ReachabilityRow),
    /// The sender asks to be admitted.
    JoinRequest,
    /// The receiver is not admitted while this incarnation of its name is a member.
    JoinRejected(Identity),
    /// The sender has had no lease for long: it may hear nobody though it is heard.
    LeaseStarved,
    /// The sender leaves the fleet.
    Leaving,
}

/// What the owner of a member has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an incarnation or, where its number is 0, to any incarnation of the name.
    Send(Identity, MemberMessage),
    /// Store this state before any message that follows is sent.
    Persist(Identity, DurableState),
    /// An event of the consensus, which may be relied on.
    Consensus(Event),
    /// The failure detector changed its mind about a member. Not safe to act on.
    SuspicionChanged(Identity, Suspicion),
    /// This process continues as another incarnation: it was removed, or its number is taken.
    IncarnationChanged(Identity),
    /// Another process of the same name is a member and alive: this one is not admitted.
    NameConflict(Identity),
    /// This process was stopped for this many microseconds.
    Stalled(i64),
    /// This process has left the fleet.
    Left,
}

/// Configuration of a fleet; the same for all its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The names of the members that found the fleet, all of them together.
    pub founders: Vec<Name>,
    /// Terms of the leases.
    pub terms: LeaseTerms,
    /// Intervals and timeouts of the failure detector.
    pub failure_detector: FailureDetectorConfig,
}
