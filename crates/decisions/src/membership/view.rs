//! Views: the members of the fleet in each epoch. This module computes the view that results from a change;
//! [`super::consensus`] guarantees that each epoch has only one view.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Maximum number of voters. More would add messages to each ballot and each lease; with fewer, a majority
/// would be too likely to fail together.
pub const MAX_VOTERS: usize = 7;

/// The name of a proxy, the same for all its incarnations.
pub type Name = Arc<str>;

/// One incarnation of a proxy. A process that restarts without its durable state is another incarnation: it
/// must neither vote in place of the one that it replaces nor be mistaken for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The name.
    pub name: Name,
    /// The number of the incarnation; 0 stands for any incarnation of the name.
    pub incarnation: u64,
}

impl Identity {
    /// Creates the identity of an incarnation.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// A numbered view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct View {
    /// The number of the view; 0 before the fleet is founded.
    pub epoch: u64,
    /// The members in the order of their admission, the earliest first.
    pub members: Vec<Identity>,
}

impl View {
    /// Returns the view before the first one: the names of the founders, all of which found the fleet
    /// together.
    pub fn genesis(founders: &[Name]) -> Self {
        let members =
            founders.iter().map(|name| Identity { name: Arc::clone(name), incarnation: 0 }).collect();
        Self { epoch: 0, members }
    }

    /// Returns whether an incarnation is a member. Before the first view there are no members.
    pub fn contains(&self, member: &Identity) -> bool {
        self.epoch > 0 && self.members.contains(member)
    }

    /// Returns the member with a name, whatever its incarnation.
    pub fn member_named(&self, name: &str) -> Option<&Identity> {
        self.members.iter().find(|member| *member.name == *name)
    }

    /// Returns the members that vote on the next view and grant leases under this one: those admitted
    /// earliest. Before the first view these are all founders, since some of them might not know that the
    /// fleet has been founded.
    pub fn voters(&self) -> &[Identity] {
        let max_voters = if self.epoch == 0 { self.members.len() } else { MAX_VOTERS };
        &self.members[..self.members.len().min(max_voters)]
    }

    /// Returns whether an incarnation votes. Before the first view any incarnation of a founder does:
    /// whatever state it has lost, nothing was decided without all the other founders.
    pub fn is_voter(&self, member: &Identity) -> bool {
        match self.epoch {
            0 => self.member_named(&member.name).is_some(),
            _ => self.voters().contains(member),
        }
    }

    /// Returns the number of votes needed for a decision. Any two quorums have a voter in common; the first
    /// view needs the votes of all founders.
    pub fn quorum(&self) -> usize {
        match self.epoch {
            0 => self.members.len().max(1),
            _ => self.voters().len() / 2 + 1,
        }
    }

    /// Returns the view after a change, or `None` if the change has no effect or would leave no members. A
    /// joining incarnation is added at the end and replaces an older one of its name. An incarnation that is
    /// named both for eviction and for joining joins.
    pub fn next(&self, change: &ViewChange) -> Option<Self> {
        let is_replaced = |member: &Identity| {
            let replaces =
                |joining: &Identity| joining.name == member.name && joining.incarnation > member.incarnation;
            change.join.iter().any(replaces)
        };
        let stays =
            |member: &&Identity| self.epoch > 0 && !change.evict.contains(*member) && !is_replaced(member);
        let mut members: Vec<Identity> = self.members.iter().filter(stays).cloned().collect();
        for joining in change.join.iter().filter(|joining| !is_replaced(joining)) {
            if !members.iter().any(|member| member.name == joining.name) {
                members.push(joining.clone());
            }
        }
        (members != self.members && !members.is_empty()).then_some(Self { epoch: self.epoch + 1, members })
    }
}

/// A proposed change of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ViewChange {
    /// Members to remove.
    pub evict: BTreeSet<Identity>,
    /// Incarnations to admit.
    pub join: BTreeSet<Identity>,
}

#[cfg(test)]
mod tests;
