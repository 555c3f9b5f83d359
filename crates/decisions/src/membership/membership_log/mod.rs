//! Log of the membership for people: who is in the fleet, what changed and why. It only reads the member's outputs and
//! decides nothing.

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

/// Bound on the changes that are remembered, and on the removed members that are watched until they can be replaced.
const MAX_CHANGES: usize = 64;

/// Why the standing of a member changed. The names are part of the answer of `GET /admin/fleet` and of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The member founded the fleet with the others.
    Founded,
    /// The member asked to be admitted.
    Joined,
    /// The member left.
    Left,
    /// The member answered nobody.
    Gone,
    /// Another process of the member's name took its place.
    Replaced,
    /// Most voters did not hear the member, or it could not renew its lease, though it seemed alive.
    CutOff,
    /// This process has got its lease.
    LeaseHeld,
    /// This process has lost its lease or was removed, and does not act as a member.
    Fenced,
    /// This process was stopped for a while.
    Stood,
    /// The member was removed and knows it by now: another process may act in its place.
    Free,
}

/// A change of the standing of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// The view since.
    pub epoch: u64,
    /// The member's name and incarnation.
    pub member: String,
    /// Why.
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
    /// The latest first.
    changes: VecDeque<LoggedChange>,
    /// What the failure detector last said about members: the cause if they are removed.
    last_suspicions: BTreeMap<Identity, Suspicion>,
    /// Removed members that could not be replaced yet when last checked.
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
    /// Records an output of the member `me`; returns the changes that it means.
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

    /// Returns the removed members that became replaceable since the last call.
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
