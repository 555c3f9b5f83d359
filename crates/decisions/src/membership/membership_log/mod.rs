//! Membership log for operators: who is in the fleet, what changed and why. It only observes the outputs of
//! the member and makes no decisions.

mod status;
#[cfg(test)]
mod tests;

pub use status::{ChangeStatus, FleetStatus, MemberStatus, VoterLinks};

use super::consensus::{Consensus, Event};
use super::failure_detector::Suspicion;
use super::member::Output;
use super::view::{Identity, View};
use crate::interface::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of changes that are kept, and of removed members that are watched until they can be
/// replaced.
const MAX_CHANGES: usize = 64;

/// The reason for a change in the membership. The names are part of the response of `GET /admin/fleet` and of
/// log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The member founded the fleet with the others.
    Founded,
    /// The member was admitted at its request.
    Joined,
    /// The member left the fleet.
    Left,
    /// The member was removed after the failure detector declared it gone.
    Gone,
    /// Another incarnation of the member's name replaced it.
    Replaced,
    /// The member was removed because most voters did not hear it or it could not renew its lease, although
    /// it seemed alive.
    CutOff,
    /// This process obtained its lease.
    LeaseHeld,
    /// This process lost its lease or was removed, and does not act as a member.
    Fenced,
    /// This process was paused.
    Stood,
    /// The member was removed and its lease has expired: another process may act in its place.
    Free,
}

/// A change in the membership, or in the state of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// The epoch of the latest view when the change was recorded.
    pub epoch: u64,
    /// The member's name and incarnation.
    pub member: String,
    /// The reason for the change.
    pub cause: Cause,
}

#[derive(Clone, Debug)]
struct LoggedChange {
    at: Timestamp,
    change: MembershipChange,
}

/// The latest changes of the membership, as one process saw them.
#[derive(Clone, Debug)]
pub struct MembershipLog {
    view: View,
    /// The recorded changes, the latest first.
    changes: VecDeque<LoggedChange>,
    /// The last state of each member according to the failure detector. Determines the cause if the member is
    /// removed.
    last_suspicions: BTreeMap<Identity, Suspicion>,
    /// Removed members that could not be replaced yet at the last check.
    awaiting_takeover: Vec<Identity>,
}

impl Default for MembershipLog {
    fn default() -> Self {
        Self {
            view: View::genesis(&[]),
            changes: VecDeque::new(),
            last_suspicions: BTreeMap::new(),
            awaiting_takeover: Vec::new(),
        }
    }
}

impl MembershipLog {
    /// Records an output of the member `me`. Returns the changes that it implies.
    pub fn record(&mut self, now: Timestamp, me: &Identity, output: &Output) -> Vec<MembershipChange> {
        let changes = match output {
            Output::SuspicionChanged(member, suspicion) => {
                self.last_suspicions.insert(member.clone(), *suspicion);
                Vec::new()
            }
            Output::Consensus(Event::View(view)) => self.record_view(view),
            Output::Consensus(Event::Fenced) => vec![self.change(me, Cause::Fenced)],
            Output::Consensus(Event::Unfenced) => vec![self.change(me, Cause::LeaseHeld)],
            Output::Stalled(_) => vec![self.change(me, Cause::Stood)],
            _ => Vec::new(),
        };
        self.remember(now, changes)
    }

    /// Records and returns a change for each removed member that became replaceable since the last call.
    pub fn record_takeovers(&mut self, now: Timestamp, consensus: &Consensus) -> Vec<MembershipChange> {
        if self.awaiting_takeover.is_empty() {
            return Vec::new();
        }
        let (replaceable, waiting): (Vec<_>, Vec<_>) =
            self.awaiting_takeover.drain(..).partition(|member| consensus.can_take_over(member, now));
        self.awaiting_takeover = waiting;
        let epoch = consensus.view().epoch;
        let change =
            |member: &Identity| MembershipChange { epoch, member: member.to_string(), cause: Cause::Free };
        self.remember(now, replaceable.iter().map(change).collect())
    }

    fn change(&self, member: &Identity, cause: Cause) -> MembershipChange {
        MembershipChange { epoch: self.view.epoch, member: member.to_string(), cause }
    }

    fn remember(&mut self, now: Timestamp, changes: Vec<MembershipChange>) -> Vec<MembershipChange> {
        for change in &changes {
            self.changes.push_front(LoggedChange { at: now, change: change.clone() });
        }
        self.changes.truncate(MAX_CHANGES);
        changes
    }

    fn record_view(&mut self, view: &View) -> Vec<MembershipChange> {
        let old = std::mem::replace(&mut self.view, view.clone());
        let is_removed = |member: &&Identity| member.incarnation > 0 && !view.members.contains(member);
        let removed: Vec<Identity> = old.members.iter().filter(is_removed).cloned().collect();
        let admitted = view.members.iter().filter(|member| !old.members.contains(member));
        let cause_of_admission = if view.epoch == 1 { Cause::Founded } else { Cause::Joined };
        let changes = removed
            .iter()
            .map(|member| self.change(member, self.cause_of_removal(member)))
            .chain(admitted.map(|member| self.change(member, cause_of_admission)))
            .collect();
        self.last_suspicions.retain(|member, _| view.contains(member));
        self.awaiting_takeover.extend(removed);
        let excess = self.awaiting_takeover.len().saturating_sub(MAX_CHANGES);
        self.awaiting_takeover.drain(..excess);
        changes
    }

    fn cause_of_removal(&self, member: &Identity) -> Cause {
        match self.last_suspicions.get(member) {
            Some(Suspicion::Left) => Cause::Left,
            _ if self.view.member_named(&member.name).is_some() => Cause::Replaced,
            Some(Suspicion::Gone) => Cause::Gone,
            _ => Cause::CutOff,
        }
    }
}
