//! Reachability: the members that each voter hears.

use crate::membership::view::{Identity, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A voter's report about itself and the other members.
///
/// The encoding is positional: the order of the fields is part of the protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachabilityRow {
    /// The epoch of the view that the report is about.
    pub epoch: u64,
    /// Whether the voter hears each member, by the member's position in the view.
    pub hears: Vec<bool>,
    /// Whether the voter has no lease.
    pub fenced: bool,
    /// Members that told the voter that they have had no lease for a long time.
    pub lease_starved: BTreeSet<Identity>,
    /// Processes that request admission.
    pub joining: BTreeSet<Identity>,
    /// Members that are leaving.
    pub leaving: BTreeSet<Identity>,
}

/// The reports of the voters of one view. Reports about other views are ignored for reachability.
#[derive(Clone, Copy, Debug)]
pub struct ReachabilityMatrix<'a> {
    /// The view.
    pub view: &'a View,
    /// The latest report of each voter.
    pub rows: &'a BTreeMap<Identity, ReachabilityRow>,
}

impl<'a> ReachabilityMatrix<'a> {
    /// Returns a voter's report about this view.
    pub(super) fn report_of(&self, voter: &Identity) -> Option<&'a ReachabilityRow> {
        self.rows.get(voter).filter(|row| row.epoch == self.view.epoch)
    }

    /// Returns whether a quorum of voters has reported. Without one, no member could count as heard by a
    /// quorum.
    pub fn has_quorum_of_reports(&self) -> bool {
        let has_reported = |voter: &&Identity| self.report_of(voter).is_some();
        self.view.voters().iter().filter(has_reported).count() >= self.view.quorum()
    }

    /// Returns the members that a quorum of voters reports hearing. A voter that has not reported counts as
    /// hearing no member.
    pub fn heard_by_quorum(&self) -> BTreeSet<Identity> {
        let members = self.view.members.iter().enumerate();
        let heard =
            members.filter(|(position, member)| self.voters_hearing(*position, member) >= self.view.quorum());
        heard.map(|(_, member)| member.clone()).collect()
    }

    /// Returns the members that no quorum can hear, as far as the voter `me` can tell. A voter that `me`
    /// hears, but that has not yet reported about this view, may hear all members.
    pub fn unheard_by_quorum(&self, me: &Identity) -> BTreeSet<Identity> {
        let own = self.report_of(me);
        let voters = self.view.voters().iter().enumerate();
        let is_pending = |(position, voter): &(usize, &Identity)| {
            self.report_of(voter).is_none() && own.is_some_and(|own| own.hears.get(*position) == Some(&true))
        };
        let pending = voters.filter(is_pending).count();
        let members = self.view.members.iter().enumerate();
        let unheard = members.filter(|(position, member)| {
            self.voters_hearing(*position, member) + pending < self.view.quorum()
        });
        unheard.map(|(_, member)| member.clone()).collect()
    }

    /// Returns the member that has the name of a joining process and is heard by a quorum. While there is
    /// one, the joining process is not admitted.
    pub fn name_conflict(&self, joining: &Identity) -> Option<&'a Identity> {
        let namesake = self.view.member_named(&joining.name).filter(|member| *member != joining)?;
        self.heard_by_quorum().contains(namesake).then_some(namesake)
    }

    /// Returns the number of voters that hear the member at this position in the view. A voter hears itself.
    fn voters_hearing(&self, position: usize, member: &Identity) -> usize {
        let hears = |voter: &&Identity| {
            self.report_of(voter)
                .is_some_and(|row| *voter == member || row.hears.get(position) == Some(&true))
        };
        self.view.voters().iter().filter(hears).count()
    }
}
