//! Reconfiguration policy: which change of the view to propose, and which voter proposes it. A wrong proposal
//! costs a ballot, but cannot cause two processes to act as the same member.
//!
//! Removals depend on which members the voters hear themselves. A member that a quorum of voters hears stays,
//! however many of its other links are broken. One that no quorum hears, or that has reported for a long time
//! that it cannot obtain its lease, is removed. Links are directional; only the direction towards the voters
//! counts.

mod flap_damping;
mod reachability;
#[cfg(test)]
mod tests;

pub use flap_damping::FlapDamping;
pub use reachability::{ReachabilityMatrix, ReachabilityRow};

use super::view::{Identity, ViewChange};
use crate::interface::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// The policy of one voter, applied to the reports of all voters.
#[derive(Clone, Copy, Debug)]
pub struct ReconfigurationPolicy<'a> {
    /// The voter that decides.
    pub me: &'a Identity,
    /// The reports that this voter has received.
    pub matrix: ReachabilityMatrix<'a>,
}

impl<'a> ReconfigurationPolicy<'a> {
    /// Returns the voter whose turn it is to propose: the first one in the view that this voter hears and
    /// that has its lease, or this voter itself. Two voters may both consider it their turn; ballots resolve
    /// that. Returns `None` if this voter has no report of its own.
    pub fn proposer(&self) -> Option<&'a Identity> {
        let own = self.matrix.rows.get(self.me)?;
        self.matrix.view.voters().iter().enumerate().find_map(|(position, voter)| {
            let is_heard = own.hears.get(position) == Some(&true);
            let has_lease = self.matrix.report_of(voter).is_some_and(|row| !row.fenced);
            (voter == self.me || (is_heard && has_lease)).then_some(voter)
        })
    }

    /// Returns the change that the reports call for. `is_confirmed` says whether a member that no quorum
    /// hears has been unheard for long enough to be removed.
    pub fn propose(
        &self,
        flap_damping: &FlapDamping,
        is_confirmed: impl Fn(&Identity) -> bool,
        now: Timestamp,
    ) -> ViewChange {
        let evict = self.members_to_evict(is_confirmed);
        let join = self.members_to_admit(&evict, flap_damping, now);
        ViewChange { evict, join }
    }

    /// Returns the members whose unheard state is confirmed, that a voter reports as leaving, or that a
    /// quorum of voters reports as having no lease.
    fn members_to_evict(&self, is_confirmed: impl Fn(&Identity) -> bool) -> BTreeSet<Identity> {
        let view = self.matrix.view;
        let unheard = self.matrix.unheard_by_quorum(self.me);
        let lease_starved = self.count_reports(|row| &row.lease_starved);
        let leaving = self.count_reports(|row| &row.leaving);
        let should_be_evicted = |member: &&Identity| {
            (unheard.contains(*member) && is_confirmed(member))
                || leaving.contains_key(*member)
                || lease_starved.get(*member).is_some_and(|voters| *voters >= view.quorum())
        };
        view.members.iter().filter(should_be_evicted).cloned().collect()
    }

    /// Returns the joining incarnations to admit. An incarnation that stays in the view is not replaced,
    /// since the joining one would be a second process of its name.
    fn members_to_admit(
        &self,
        evict: &BTreeSet<Identity>,
        flap_damping: &FlapDamping,
        now: Timestamp,
    ) -> BTreeSet<Identity> {
        let view = self.matrix.view;
        let may_join = |joining: &&Identity| {
            let namesake = view.member_named(&joining.name);
            let namesake_stays = namesake.is_some_and(|member| member != *joining && !evict.contains(member));
            let is_held_off = flap_damping.held_off_until(&joining.name).is_some_and(|until| now < until);
            !view.contains(joining) && !namesake_stays && !is_held_off
        };
        self.count_reports(|row| &row.joining).into_keys().filter(may_join).cloned().collect()
    }

    /// Returns the number of reports that name each member in the list selected by `members_of`.
    fn count_reports(
        &self,
        members_of: fn(&ReachabilityRow) -> &BTreeSet<Identity>,
    ) -> BTreeMap<&'a Identity, usize> {
        let mut counts = BTreeMap::new();
        for member in self.matrix.rows.values().flat_map(members_of) {
            *counts.entry(member).or_insert(0) += 1;
        }
        counts
    }
}
