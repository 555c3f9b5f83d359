//! Ballots: both phases of Paxos, as proposer and as voter.

use super::{Ballot, Consensus, Message, Output};
use crate::interface::Timestamp;
use crate::membership::view::{Identity, View, ViewChange};
use std::collections::{BTreeMap, BTreeSet};

/// A ballot opened by this process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    ballot: Ballot,
    /// The change to propose, unless an earlier proposal may already have been chosen.
    change: ViewChange,
    /// The voters that have promised, each with the proposal that it had accepted before.
    promises: BTreeMap<Identity, Option<(Ballot, View)>>,
    /// The view proposed in phase two; `None` during phase one.
    value: Option<View>,
    /// The voters that have accepted `value`.
    accepted: BTreeSet<Identity>,
    /// When the ballot is given up.
    pub(super) deadline: Timestamp,
}

impl Consensus {
    /// Opens a ballot for a change of the view. Has an effect only if this process votes and no later ballot
    /// supersedes it, so the caller has to check the outcome and propose again. A change without effect is
    /// not proposed unless an earlier proposal is undecided.
    pub fn propose(&mut self, now: Timestamp, change: ViewChange, out: &mut Vec<Output>) {
        let is_founded = self.view.epoch > 0;
        let is_without_effect = is_founded && self.view.next(&change).is_none();
        if !self.view.is_voter(&self.me) || (is_without_effect && !self.has_undecided_proposal()) {
            return;
        }
        let round = self.promised.as_ref().map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, by: self.me.clone() };
        self.proposal = Some(Proposal {
            ballot: ballot.clone(),
            change,
            promises: BTreeMap::new(),
            value: None,
            accepted: BTreeSet::new(),
            deadline: Timestamp(now.0 + self.terms.ballot_timeout_us),
        });
        self.broadcast_to_voters(now, &Message::Prepare { epoch: self.view.epoch, ballot }, out);
    }

    /// Returns whether the sender itself opened the ballot, and both the sender and this process are voters.
    pub(super) fn is_ballot_of_voter(&self, from: &Identity, ballot: &Ballot) -> bool {
        ballot.by == *from && self.view.is_voter(from) && self.view.is_voter(&self.me)
    }

    /// Returns the promise of a later ballot that keeps this process from taking part in this one, if there
    /// is one.
    fn later_promise(&self, ballot: &Ballot) -> Option<Ballot> {
        self.promised.clone().filter(|promised| promised > ballot)
    }

    pub(super) fn handle_prepare(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let epoch = self.view.epoch;
        if let Some(later) = self.later_promise(&ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.persist(out);
        let accepted = self.accepted.clone();
        self.send(now, from, Message::Promise { epoch, ballot, accepted }, out);
    }

    pub(super) fn handle_promise(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        out: &mut Vec<Output>,
    ) {
        let in_phase_one = |proposal: &&mut Proposal| proposal.ballot == *ballot && proposal.value.is_none();
        let Some(proposal) = self.proposal.as_mut().filter(in_phase_one) else { return };
        proposal.promises.insert(from.clone(), accepted);
        if distinct_names(proposal.promises.keys()) < self.view.quorum() {
            return;
        }
        match view_to_propose(proposal, &self.view) {
            Some(view) => {
                proposal.value = Some(view.clone());
                self.broadcast_to_voters(now, &Message::Accept { ballot: ballot.clone(), view }, out);
            }
            None => self.proposal = None,
        }
    }

    pub(super) fn handle_accept(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: Ballot,
        view: View,
        out: &mut Vec<Output>,
    ) {
        let epoch = self.view.epoch;
        if let Some(later) = self.later_promise(&ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.accepted = Some((ballot.clone(), view));
        self.persist(out);
        self.send(now, from, Message::Accepted { epoch, ballot }, out);
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: &Ballot,
        out: &mut Vec<Output>,
    ) {
        let quorum = self.view.quorum();
        let is_current = |proposal: &&mut Proposal| proposal.ballot == *ballot;
        let Some(proposal) = self.proposal.as_mut().filter(is_current) else { return };
        proposal.accepted.insert(from.clone());
        if distinct_names(proposal.accepted.iter()) < quorum {
            return;
        }
        let Some(view) = proposal.value.clone() else { return };
        self.announce_decision(&view, out);
        self.adopt_view(now, view, out);
    }

    /// Sends a decided view to the members of the current view and of the decided one.
    fn announce_decision(&self, view: &View, out: &mut Vec<Output>) {
        let current = self.view.members.iter().filter(|member| member.incarnation > 0);
        let mut receivers: BTreeSet<Identity> = current.chain(&view.members).cloned().collect();
        receivers.remove(&self.me);
        let decided = Message::Decided { view: view.clone() };
        out.extend(receivers.into_iter().map(|member| Output::Send(member, decided.clone())));
    }

    /// Records the later ballot, so that the next proposal supersedes it, and gives up the current proposal.
    pub(super) fn handle_reject(&mut self, epoch: u64, ballot: Ballot, out: &mut Vec<Output>) {
        let is_later = self.promised.as_ref().is_none_or(|promised| *promised < ballot);
        if epoch == self.view.epoch && is_later {
            self.promised = Some(ballot);
            self.persist(out);
            self.proposal = None;
        }
    }
}

/// Returns the view to propose in phase two. A view that any of the voters has accepted may have been chosen
/// already and takes precedence over the proposer's change. The first view consists of all voters that
/// promised.
fn view_to_propose(proposal: &Proposal, view: &View) -> Option<View> {
    let accepted = proposal.promises.values().flatten().max_by_key(|(ballot, _)| ballot.clone());
    match accepted {
        Some((_, accepted_view)) => Some(accepted_view.clone()),
        None if view.epoch == 0 => {
            let founders = proposal.promises.keys().cloned().collect();
            view.next(&ViewChange { join: founders, ..ViewChange::default() })
        }
        None => view.next(&proposal.change),
    }
}

/// Returns the number of distinct names among the voters: before the first view a voter may have had more
/// than one incarnation.
fn distinct_names<'a>(voters: impl Iterator<Item = &'a Identity>) -> usize {
    voters.map(|voter| &voter.name).collect::<BTreeSet<_>>().len()
}
