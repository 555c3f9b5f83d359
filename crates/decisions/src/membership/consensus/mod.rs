//! Consensus on views and leases. Its decisions are safe to act on: a member that was removed, or has lost
//! its lease, knows so itself before another process may act in its place.
//!
//! Only safety is guaranteed here. [`crate::membership::reconfiguration`] decides which members to remove and
//! when; a wrong proposal costs a ballot. Messages may be lost, duplicated, delayed and reordered, and a
//! process may be paused at any moment for any time. Each process reads its own monotonic clock, whose rate
//! is exact to within a configured drift.
//!
//! *Views.* The voters of the current view choose the next one in two-phase ballots (Paxos, one instance for
//! each epoch). A voter that has lost its promises is another incarnation, and does not vote until a view
//! admits it.
//!
//! *Leases.* A member requests its lease from all voters. Once a majority has granted it, the member holds it
//! for a time counted from the request. A voter that has accepted a proposal grants no leases until a view is
//! decided, so every lease under an earlier view was granted before any process knew a later one.
//! `docs/design/006-membership.md` has the argument and the limits.

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

/// One process's state in the consensus protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    me: Identity,
    terms: LeaseTerms,
    view: View,
    /// The view that this process knew before the current one.
    previous_view: View,
    /// The highest ballot promised under the current view.
    promised: Option<Ballot>,
    /// The ballot and view accepted last under the current view. While it is set, this process grants no
    /// leases.
    accepted: Option<(Ballot, View)>,
    /// The ballot that this process has opened, until it is decided or given up.
    proposal: Option<Proposal>,
    /// Members that are granted no lease before a given time, since another incarnation of their name may
    /// still hold one.
    no_grant_before: BTreeMap<Identity, Timestamp>,
    /// Removed members, each with the time from which it may be replaced.
    evicted: BTreeMap<Identity, Timestamp>,
    /// When this process starts to grant leases. Those that it granted before a restart have expired by then.
    grants_from: Timestamp,
    /// When the last lease of this process ends.
    lease_until: Option<Timestamp>,
    /// Open lease requests by the time they were sent, each with the voters that have granted it.
    lease_requests: BTreeMap<Timestamp, BTreeSet<Identity>>,
    /// When the lease is requested next.
    renew_lease_at: Timestamp,
    /// Whether the last event said that this process is fenced.
    reported_fenced: bool,
}

impl Consensus {
    /// Starts an incarnation with its stored state. Without stored state the incarnation must be a new one.
    pub fn new(
        me: Identity,
        terms: LeaseTerms,
        founders: &[Name],
        durable: DurableState,
        now: Timestamp,
    ) -> Self {
        let view = durable.view.unwrap_or_else(|| View::genesis(founders));
        Self {
            me,
            terms,
            previous_view: View::genesis(&[]),
            view,
            promised: durable.promised,
            accepted: durable.accepted,
            proposal: None,
            no_grant_before: BTreeMap::new(),
            evicted: BTreeMap::new(),
            grants_from: terms.grantor_expired_at(now),
            lease_until: None,
            lease_requests: BTreeMap::new(),
            renew_lease_at: now,
            reported_fenced: true,
        }
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the latest view; its epoch is 0 before the fleet is founded.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the view that this process knew before the latest one.
    pub fn previous_view(&self) -> &View {
        &self.previous_view
    }

    /// Returns whether this process has accepted a proposal whose outcome it does not know. Until it does, it
    /// grants no leases, so a voter should open a ballot.
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

    /// Handles what is due at this time: the end of a lease or ballot, and the next lease request.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.report_fencing(now, out);
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.proposal = None;
        }
        if self.view.contains(&self.me) && now >= self.renew_lease_at {
            self.request_lease(now, out);
        }
    }

    /// Handles a message from a member, or from a process that requests to join.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::ViewRequest { epoch } => _ = self.check_epoch(from, epoch, out),
            Message::Decided { view } => self.adopt_view(now, view, out),
            Message::LeaseRequest { epoch, sent_at } => {
                if self.check_epoch(from, epoch, out) && self.may_grant(now, from) {
                    self.send(now, from, Message::LeaseGrant { epoch, sent_at }, out);
                }
            }
            Message::LeaseGrant { epoch, sent_at } => {
                if epoch == self.view.epoch {
                    self.handle_lease_grant(now, from, sent_at, out);
                }
            }
            Message::Prepare { epoch, ballot } => {
                if self.check_epoch(from, epoch, out) && self.is_ballot_of_voter(from, &ballot) {
                    self.handle_prepare(now, from, ballot, out);
                }
            }
            Message::Promise { epoch, ballot, accepted } => {
                if self.check_epoch(from, epoch, out) && self.view.is_voter(from) {
                    self.handle_promise(now, from, &ballot, accepted, out);
                }
            }
            Message::Accept { ballot, view } => {
                let epoch = view.epoch.saturating_sub(1);
                if self.check_epoch(from, epoch, out) && self.is_ballot_of_voter(from, &ballot) {
                    self.handle_accept(now, from, ballot, view, out);
                }
            }
            Message::Accepted { epoch, ballot } => {
                if self.check_epoch(from, epoch, out) && self.view.is_voter(from) {
                    self.handle_accepted(now, from, &ballot, out);
                }
            }
            Message::Reject { epoch, ballot } => self.handle_reject(epoch, ballot, out),
        }
    }

    /// Returns whether the sender is at the same epoch as this process. Sends the latest view to a sender
    /// that is behind, and requests it from one that is ahead.
    fn check_epoch(&self, from: &Identity, epoch: u64, out: &mut Vec<Output>) -> bool {
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

    /// Sends a message, or handles it at once if the receiver is this process itself. Before the first view,
    /// voters are known by name only.
    fn send(&mut self, now: Timestamp, to: &Identity, message: Message, out: &mut Vec<Output>) {
        if *to == self.me || (to.incarnation == 0 && to.name == self.me.name) {
            let me = self.me.clone();
            return self.handle_message(now, &me, message, out);
        }
        out.push(Output::Send(to.clone(), message));
    }
}
