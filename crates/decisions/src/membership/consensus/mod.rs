//! Consensus on views and leases. What it says is safe to act on: a member that is out, or has lost its lease, knows so
//! itself before another one may act in its place.
//!
//! It guarantees safety alone. Whom to remove and when is decided by [`crate::membership::reconfiguration`]; a wrong
//! proposal costs a ballot. Messages may be lost, doubled, late and out of order; a process may be stopped at any
//! moment and for any time. Clocks are monotonic, each process reads its own, and they run within a stated drift.
//!
//! *Views.* The next view is chosen by the voters of the present one in two-phase ballots (Paxos, one instance for each
//! epoch). A voter that has lost its promises is another incarnation and no voter until a view admits it.
//!
//! *Leases.* A member asks all voters, and holds a lease for a time counted from its request once a majority has granted
//! it. A voter that has accepted a proposal grants nothing until a view is decided, so every lease under an earlier view
//! was granted before a later one was learnt of. `docs/design/006-membership.md` has the argument and the limits.

mod ballots;
mod leases;
mod message;
#[cfg(test)]
mod model_test;
mod views;

pub use message::{Ballot, DurableState, Event, Message, Output};

use super::lease::LeaseTerms;
use super::view::{Identity, Name, View};
use crate::interface::Timestamp;
use ballots::Proposal;
use std::collections::{BTreeMap, BTreeSet};

/// One member's part in the consensus.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    me: Identity,
    terms: LeaseTerms,
    view: View,
    /// The view that was known here before the present one.
    previous_view: View,
    /// The highest ballot promised under this view.
    promised: Option<Ballot>,
    /// What was accepted last under this view. While it is set this process grants no lease.
    accepted: Option<(Ballot, View)>,
    /// The ballot that this process has open.
    proposal: Option<Proposal>,
    /// Members that get no lease before a time: another incarnation of their name may still hold one.
    not_before: BTreeMap<Identity, Timestamp>,
    /// Members that were removed, and from when on each may be replaced.
    evicted: BTreeMap<Identity, Timestamp>,
    /// From when on this process grants leases: those that it granted before it started have run out by then.
    grants_from: Timestamp,
    /// Until when this process holds its lease.
    lease_until: Option<Timestamp>,
    /// Open lease requests by the time they were sent, and the voters that have granted each.
    lease_requests: BTreeMap<Timestamp, BTreeSet<Identity>>,
    renew_lease_at: Timestamp,
    /// The state of fencing that was last put out as an event.
    reported_fenced: bool,
}

impl Consensus {
    /// Starts an incarnation with the state that it had stored. If there is none the incarnation must be a new one.
    pub fn new(
        me: Identity,
        terms: LeaseTerms,
        seeds: &[Name],
        durable: DurableState,
        now: Timestamp,
    ) -> Self {
        let view = durable.view.unwrap_or_else(|| View::genesis(seeds));
        Self {
            me,
            terms,
            previous_view: View::genesis(&[]),
            view,
            promised: durable.promised,
            accepted: durable.accepted,
            proposal: None,
            not_before: BTreeMap::new(),
            evicted: BTreeMap::new(),
            grants_from: terms.grantor_expired_at(now),
            lease_until: None,
            lease_requests: BTreeMap::new(),
            renew_lease_at: now,
            reported_fenced: true,
        }
    }

    /// Returns who this process is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the latest view; its epoch is 0 before the fleet is founded.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the view that was known before the latest one.
    pub fn previous_view(&self) -> &View {
        &self.previous_view
    }

    /// Returns whether this process has accepted a proposal whose outcome it does not know. It grants no lease
    /// meanwhile, so somebody should open a ballot.
    pub fn has_undecided_proposal(&self) -> bool {
        self.accepted.is_some()
    }

    /// Returns whether this process has a ballot open.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Returns when [`Self::handle_timeout`] has to be called at the latest.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let renewal = self.view.contains(&self.me).then_some(self.renew_lease_at);
        let expiry = self.lease_until.filter(|_| !self.reported_fenced);
        let ballot = self.proposal.as_ref().map(|proposal| proposal.deadline);
        [renewal, expiry, ballot].into_iter().flatten().min()
    }

    /// Does what is due at this time.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.report_fencing(now, out);
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.proposal = None;
        }
        if self.view.contains(&self.me) && now >= self.renew_lease_at {
            self.request_lease(now, out);
        }
    }

    /// Handles a message from a member, or from a process that wants to become one.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::ViewRequest { epoch } => _ = self.is_same_epoch(from, epoch, out),
            Message::Decided { view } => self.adopt_view(now, view, out),
            Message::LeaseRequest { epoch, sent_at } => {
                if self.is_same_epoch(from, epoch, out) && self.may_grant(now, from) {
                    self.send(now, from, Message::LeaseGrant { epoch, sent_at }, out);
                }
            }
            Message::LeaseGrant { epoch, sent_at } => {
                if epoch == self.view.epoch {
                    self.handle_lease_grant(now, from, sent_at, out);
                }
            }
            Message::Prepare { epoch, ballot } => {
                if self.is_same_epoch(from, epoch, out) && self.is_ballot_of_voter(from, &ballot) {
                    self.handle_prepare(now, from, ballot, out);
                }
            }
            Message::Promise { epoch, ballot, accepted } => {
                if self.is_same_epoch(from, epoch, out) && self.view.is_voter(from) {
                    self.handle_promise(now, from, &ballot, accepted, out);
                }
            }
            Message::Accept { ballot, view } => {
                let epoch = view.epoch.saturating_sub(1);
                if self.is_same_epoch(from, epoch, out) && self.is_ballot_of_voter(from, &ballot) {
                    self.handle_accept(now, from, ballot, view, out);
                }
            }
            Message::Accepted { epoch, ballot } => {
                if self.is_same_epoch(from, epoch, out) && self.view.is_voter(from) {
                    self.handle_accepted(now, from, &ballot, out);
                }
            }
            Message::Reject { epoch, ballot } => self.handle_reject(epoch, ballot, out),
        }
    }

    /// Returns whether the sender is at the same epoch. One that is behind is sent the latest view; one that is ahead is
    /// asked for it.
    fn is_same_epoch(&self, from: &Identity, epoch: u64, out: &mut Vec<Output>) -> bool {
        let answer = match epoch.cmp(&self.view.epoch) {
            std::cmp::Ordering::Less => Message::Decided { view: self.view.clone() },
            std::cmp::Ordering::Greater => Message::ViewRequest { epoch: self.view.epoch },
            std::cmp::Ordering::Equal => return true,
        };
        out.push(Output::Send(from.clone(), answer));
        false
    }

    fn persist(&self, out: &mut Vec<Output>) {
        out.push(Output::Persist(DurableState {
            view: Some(self.view.clone()).filter(|view| view.epoch > 0),
            promised: self.promised.clone(),
            accepted: self.accepted.clone(),
        }));
    }

    fn broadcast_to_voters(&mut self, now: Timestamp, message: &Message, out: &mut Vec<Output>) {
        for voter in self.view.voters().to_vec() {
            self.send(now, &voter, message.clone(), out);
        }
    }

    /// Sends a message; one to this process itself is handled at once. Before the first view voters are known by name
    /// alone.
    fn send(&mut self, now: Timestamp, to: &Identity, message: Message, out: &mut Vec<Output>) {
        if *to == self.me || (to.incarnation == 0 && to.name == self.me.name) {
            let me = self.me.clone();
            return self.handle_message(now, &me, message, out);
        }
        out.push(Output::Send(to.clone(), message));
    }
}
