//! Views: who is in the fleet. How one view becomes the next is computed here; [`super::consensus`] guarantees that there is
//! only one with each epoch.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Bound on the members that vote. More would cost each ballot and each lease more messages; fewer would be lost together
/// too easily.
pub const MAX_VOTERS: usize = 7;

/// The name of a proxy, the same for all its incarnations.
pub type Name = Arc<str>;

/// One incarnation of a proxy. A process that restarts without its durable state is another incarnation: it must not vote in
/// place of the one that it replaces, nor be taken for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The name.
    pub name: Name,
    /// The number of the incarnation; 0 stands for any one of the name.
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
    /// The members in the order of their admission, the longest-standing first.
    pub members: Vec<Identity>,
}

impl View {
    /// Returns the view before the first one: the names of the seeds, all of which found the fleet together.
    pub fn genesis(seeds: &[Name]) -> Self {
        let members = seeds.iter().map(|name| Identity { name: Arc::clone(name), incarnation: 0 }).collect();
        Self { epoch: 0, members }
    }

    /// Returns whether an incarnation is a member. Before the first view nobody is.
    pub fn contains(&self, member: &Identity) -> bool {
        self.epoch > 0 && self.members.contains(member)
    }

    /// Returns the member of a name.
    pub fn member_named(&self, name: &str) -> Option<&Identity> {
        self.members.iter().find(|member| *member.name == *name)
    }

    /// Returns the members that vote on the next view and grant leases under this one: the longest-standing, or all seeds
    /// before the first view, since a part of them might not know that the fleet has been founded.
    pub fn voters(&self) -> &[Identity] {
        let max_voters = if self.epoch == 0 { self.members.len() } else { MAX_VOTERS };
        &self.members[..self.members.len().min(max_voters)]
    }

    /// Returns whether an incarnation votes. Before the first view any incarnation of a seed does: whatever one has lost,
    /// nothing was decided without all the others.
    pub fn is_voter(&self, member: &Identity) -> bool {
        match self.epoch {
            0 => self.member_named(&member.name).is_some(),
            _ => self.voters().contains(member),
        }
    }

    /// Returns the number of votes that decide: two such sets have a voter in common. The first view takes all seeds.
    pub fn quorum(&self) -> usize {
        match self.epoch {
            0 => self.members.len().max(1),
            _ => self.voters().len() / 2 + 1,
        }
    }

    /// Returns the view after a change, or `None` if the change makes no difference or leaves nobody. A joining
    /// incarnation is added at the end and takes the place of an older one of its name; one that is both to be evicted
    /// and to join joins.
    pub fn next(&self, change: &ViewChange) -> Option<Self> {
        let is_replaced = |member: &Identity| {
            let replaces =
                |joins: &Identity| joins.name == member.name && joins.incarnation > member.incarnation;
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
    /// Members to be removed.
    pub evict: BTreeSet<Identity>,
    /// Incarnations to be admitted.
    pub join: BTreeSet<Identity>,
}

#[cfg(test)]
mod tests;
