//! Messages between the failure detectors of two members.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::membership::view::{Identity, Name};
use serde::{Deserialize, Serialize};

/// The state of a member according to one failure detector. It may be wrong at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Gone,
    /// The member announced that it leaves.
    Left,
}

impl Suspicion {
    /// Returns whether the member is still probed and sent gossip.
    pub(super) fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A statement about one member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The member that the statement is about.
    pub subject: Identity,
    /// The state of the subject.
    pub suspicion: Suspicion,
    /// Number of suspicions that the subject had refuted when the statement was made. A higher count
    /// supersedes a lower one.
    pub refutations: u32,
    /// The member that made the statement.
    pub reporter: Name,
}

/// A message between two failure detectors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a [`Message::Ack`] from the receiver.
    Probe {
        /// Sequence number of the probe at its sender.
        sequence: u32,
        /// Gossip sent along with the message.
        updates: Vec<GossipUpdate>,
    },
    /// Answers a probe, also on behalf of the target of an indirect probe.
    Ack {
        /// Sequence number of the probe that is answered.
        sequence: u32,
        /// Gossip sent along with the message.
        updates: Vec<GossipUpdate>,
    },
    /// Asks the receiver to probe another member.
    IndirectProbe {
        /// Sequence number of the probe at its sender.
        sequence: u32,
        /// The member to probe.
        target: Identity,
        /// Gossip sent along with the message.
        updates: Vec<GossipUpdate>,
    },
    /// The target of an indirect probe did not answer; the sender, which probed it, is itself reachable.
    Nack {
        /// Sequence number of the indirect probe at the member that requested it.
        sequence: u32,
    },
    /// The full state of the sender.
    StateSync {
        /// A statement about each member.
        known: Vec<GossipUpdate>,
        /// Whether the receiver has to send its own state in return.
        wanted: bool,
    },
}

/// An action for the owner of a failure detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a member.
    Send(Identity, Message),
    /// The state of a member has changed.
    Changed(Identity, Suspicion),
    /// The process was paused for this many microseconds: its observations of other members are outdated.
    Stalled(i64),
}
