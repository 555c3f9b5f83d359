//! Messages between members, the configuration that they share, and the outputs that a member's owner has to
//! process.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::membership::consensus::{self, DurableState, Event};
use crate::membership::failure_detector::{self, FailureDetectorConfig, Suspicion};
use crate::membership::lease::LeaseTerms;
use crate::membership::reconfiguration::ReachabilityRow;
use crate::membership::view::{Identity, Name};
use serde::{Deserialize, Serialize};

/// A message between two members, or between a member and a process that requests to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// A message between the failure detectors.
    FailureDetector(failure_detector::Message),
    /// A message of the consensus protocol.
    Consensus(consensus::Message),
    /// A voter's report to another voter.
    Reachability(ReachabilityRow),
    /// The sender requests to be admitted.
    JoinRequest,
    /// The receiver is not admitted while this incarnation of its name is a member.
    JoinRejected(Identity),
    /// The sender has had no lease for a long time: it may hear no voter although the voters hear it.
    LeaseStarved,
    /// The sender is leaving the fleet.
    Leaving,
}

/// An action for the owner of a member. Outputs have to be processed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an incarnation or, where its number is 0, to any incarnation of the name.
    Send(Identity, MemberMessage),
    /// Store this state of an incarnation before sending any message that follows.
    Persist(Identity, DurableState),
    /// Handle an event of the consensus, which is safe to act on.
    Consensus(Event),
    /// The state of a member according to the failure detector has changed. Not safe to act on.
    SuspicionChanged(Identity, Suspicion),
    /// This process continues as another incarnation: it was removed, or the number of its incarnation is
    /// taken.
    IncarnationChanged(Identity),
    /// This process is not admitted, because another process of its name is a live member.
    NameConflict(Identity),
    /// This process was paused for this many microseconds.
    Stalled(i64),
    /// This process has left the fleet.
    Left,
}

/// Configuration of a fleet, identical for all its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The names of the founders, all of which found the fleet together.
    pub founders: Vec<Name>,
    /// Terms of the leases.
    pub terms: LeaseTerms,
    /// Intervals and timeouts of the failure detector.
    pub failure_detector: FailureDetectorConfig,
}
