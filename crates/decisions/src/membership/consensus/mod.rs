//! Consensus: numbered views, one with each number, and leases from their voters. What it says may be built on: a member
//! that is out, or has lost its lease, knows so itself before anybody else may act in its place.
//!
//! It guards safety alone. Who ought to go, and when, is for [`crate::membership::failure_detector`] and the policy above it to say: a wrong
//! wish costs work and breaks nothing. Messages may be lost, doubled, late and out of order; a process may stand still
//! at any moment and for any time. Clocks are monotonic, each process reads its own, and they run within a stated drift.
//!
//! *Views.* The next view is chosen by the voters of the present one, by ballots in two phases (Paxos, one instance for
//! each number). A voter that has lost what it promised is another incarnation and no voter, until a view lets it in.
//!
//! *Leases.* A member asks all voters and holds a lease for a time counted from its asking once a majority has granted
//! it. A voter that has accepted a proposal grants nothing until the matter is decided. So whoever learns of a view
//! knows that each lease under an earlier one was granted before: it has run out one lease's time later.
//! `docs/design/006-membership.md` has the argument and the limits.

use crate::interface::Timestamp;
use crate::membership::lease::LeaseTerms;
use crate::membership::view::{Change, Identity, Name, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A ballot: later rounds go before earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Its round.
    pub round: u64,
    /// Who holds it.
    pub by: Identity,
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Whoever knows a later view than this one is asked for it.
    ViewRequest {
        /// The latest view that is known.
        epoch: u64,
    },
    /// A view that has been decided.
    Decided {
        /// The view.
        view: View,
    },
    /// A member asks for its lease.
    LeaseRequest {
        /// Under this view.
        epoch: u64,
        /// When it asked, by its own clock: it gets this back.
        sent_at: Timestamp,
    },
    /// A voter grants it.
    LeaseGrant {
        /// Under this view.
        epoch: u64,
        /// As it was asked.
        sent_at: Timestamp,
    },
    /// A ballot for the view after this one is opened.
    Prepare {
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter takes part in no earlier ballot from now on.
    Promise {
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
        /// What it has accepted before.
        accepted: Option<(Ballot, View)>,
    },
    /// The voters are asked to accept a view.
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The next view.
        view: View,
    },
    /// A voter has accepted it.
    Accepted {
        /// The present view.
        epoch: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A voter has promised a later ballot.
    Reject {
        /// The present view.
        epoch: u64,
        /// The later ballot.
        ballot: Ballot,
    },
}

/// What must not be lost while a incarnation lasts: where a disk keeps it, a process that comes back is still the same voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The latest view.
    pub view: Option<View>,
    /// No earlier ballot is taken part in.
    pub promised: Option<Ballot>,
    /// What was accepted last.
    pub accepted: Option<(Ballot, View)>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// To be kept before anything that follows is sent.
    Persist(DurableState),
    /// To be sent to another member.
    Send(Identity, Message),
    /// Something that others build on.
    Event(Event),
}

/// What others build on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// There is a new view. Who is out by it is free to be replaced once [`Consensus::can_take_over`] says so.
    View(View),
    /// This process may act as a member from now on, until [`Consensus::fenced`] says otherwise.
    Unfenced,
    /// This process may not act as a member: it is out, or its lease has run out.
    Fenced,
    /// Another view with a number that is known already. It must never be seen: somebody voted twice.
    ConflictingView(View),
}

/// An own ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    ballot: Ballot,
    change: Change,
    /// What each voter had accepted before.
    promises: BTreeMap<Identity, Option<(Ballot, View)>>,
    /// What is asked for, once enough have promised.
    value: Option<View>,
    accepted: BTreeSet<Identity>,
    deadline: Timestamp,
}

/// Those that were seen to go are remembered up to this number: of older ones nobody may say that they are free.
const MAX_EVICTED_REMEMBERED: usize = 4_096;

/// One member's part in the consensus.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    me: Identity,
    terms: LeaseTerms,
    view: View,
    /// The one before it that was known here.
    previous_view: View,
    promised: Option<Ballot>,
    accepted: Option<(Ballot, View)>,
    proposal: Option<Proposal>,
    /// Whoever was let in while this process did not look, or stands in another incarnation's place, gets no lease before.
    not_before: BTreeMap<Identity, Timestamp>,
    /// From when on each of those that were seen to go may be replaced.
    evicted: BTreeMap<Identity, Timestamp>,
    /// What was granted before this process began has run out by then.
    grants_from: Timestamp,
    /// Until when the lease is believed in.
    lease_until: Option<Timestamp>,
    /// When it was asked for, and who has granted it since.
    lease_requests: BTreeMap<Timestamp, BTreeSet<Identity>>,
    renew_lease_at: Timestamp,
    /// What was told last.
    reported_fenced: bool,
}

impl Consensus {
    /// A incarnation that begins now. `kept` is what a disk has of it; without any, the incarnation must be a new one.
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

    // ---- What others build on --------------------------------------------------------------------------

    /// Who this is.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// The latest view; its number is 0 before there is one.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The view that was known before the latest one.
    pub fn previous_view(&self) -> &View {
        &self.previous_view
    }

    /// Whether this process must not act as a member at that moment of its clock. It is to be asked right before each
    /// act: a process may have stood still since it was told anything.
    pub fn fenced(&self, now: Timestamp) -> bool {
        !self.view.contains(&self.me) || self.lease_until.is_none_or(|until| now >= until)
    }

    /// How long the lease still lasts, in microseconds; 0 where there is none.
    pub fn lease_left(&self, now: Timestamp) -> i64 {
        if self.fenced(now) {
            return 0;
        }
        self.lease_until.map_or(0, |until| until.0 - now.0)
    }

    /// Until when the last lease is, or was, believed in by this process's own clock.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.lease_until
    }

    /// Whether that incarnation is out by consensus and knows it: somebody else may act in its place. Only of a incarnation that
    /// this process has seen as a member: one that it has never seen may have been let in meanwhile.
    pub fn can_take_over(&self, who: &Identity, now: Timestamp) -> bool {
        self.evicted.get(who).is_some_and(|at| now >= *at)
    }

    /// Whether this process has accepted a proposal of which it does not know what became of it. It grants nothing
    /// meanwhile: somebody should open a ballot.
    pub fn has_undecided_proposal(&self) -> bool {
        self.accepted.is_some()
    }

    /// Whether a ballot of its own is open.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    // ---- What it is told -------------------------------------------------------------------------------

    /// When [`Self::handle_timeout`] has to be called at the latest.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let renews = self.view.contains(&self.me).then_some(self.renew_lease_at);
        let lapses = self.lease_until.filter(|_| !self.reported_fenced);
        [renews, lapses, self.proposal.as_ref().map(|proposal| proposal.deadline)].into_iter().flatten().min()
    }

    /// Timestamp has passed.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.report_fencing(now, out);
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.proposal = None;
        }
        if self.view.contains(&self.me) && now >= self.renew_lease_at {
            self.request_lease(now, out);
        }
    }

    /// A change of the view is wished for. Only a voter's wish comes to anything, and only if no other ballot goes
    /// before; whoever wishes has to look at what came of it and to wish again.
    pub fn propose(&mut self, now: Timestamp, change: Change, out: &mut Vec<Output>) {
        let moot = !self.has_undecided_proposal() && self.view.epoch > 0 && self.view.next(&change).is_none();
        if !self.view.is_voter(&self.me) || moot {
            return;
        }
        let round = self.promised.as_ref().map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, by: self.me.clone() };
        let deadline = Timestamp(now.0 + self.terms.ballot_timeout_us);
        let (promises, accepted) = (BTreeMap::new(), BTreeSet::new());
        self.proposal =
            Some(Proposal { ballot: ballot.clone(), change, promises, value: None, accepted, deadline });
        self.broadcast_to_voters(now, &Message::Prepare { epoch: self.view.epoch, ballot }, out);
    }

    /// A message has come from a member, or from whoever wants to be one.
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
                if self.is_same_epoch(from, epoch, out) && self.is_voters_ballot(from, &ballot) {
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
                if self.is_same_epoch(from, epoch, out) && self.is_voters_ballot(from, &ballot) {
                    self.handle_accept(now, from, ballot, view, out);
                }
            }
            Message::Accepted { epoch, ballot } => {
                if self.is_same_epoch(from, epoch, out) && self.view.is_voter(from) {
                    self.handle_accepted(now, from, &ballot, out);
                }
            }
            Message::Reject { epoch, ballot } => {
                // The next try goes before what it lost against.
                if epoch == self.view.epoch && self.promised.as_ref().is_none_or(|own| *own < ballot) {
                    self.promised = Some(ballot);
                    self.persist(out);
                    self.proposal = None;
                }
            }
        }
    }

    // ---- Views -----------------------------------------------------------------------------------------

    /// Whether the other side stands where this one does; whoever is behind hears the latest view, and whoever is
    /// ahead is asked for it.
    fn is_same_epoch(&self, from: &Identity, epoch: u64, out: &mut Vec<Output>) -> bool {
        let answer = match epoch.cmp(&self.view.epoch) {
            std::cmp::Ordering::Less => Message::Decided { view: self.view.clone() },
            std::cmp::Ordering::Greater => Message::ViewRequest { epoch: self.view.epoch },
            std::cmp::Ordering::Equal => return true,
        };
        out.push(Output::Send(from.clone(), answer));
        false
    }

    /// Whether a ballot is held by who says so, between voters.
    fn is_voters_ballot(&self, from: &Identity, ballot: &Ballot) -> bool {
        ballot.by == *from && self.view.is_voter(from) && self.view.is_voter(&self.me)
    }

    fn handle_prepare(&mut self, now: Timestamp, from: &Identity, ballot: Ballot, out: &mut Vec<Output>) {
        let epoch = self.view.epoch;
        if let Some(later) = self.promised.clone().filter(|own| *own > ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.persist(out);
        let accepted = self.accepted.clone();
        self.send(now, from, Message::Promise { epoch, ballot, accepted }, out);
    }

    fn handle_promise(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        out: &mut Vec<Output>,
    ) {
        let Some(proposal) =
            self.proposal.as_mut().filter(|proposal| proposal.ballot == *ballot && proposal.value.is_none())
        else {
            return;
        };
        proposal.promises.insert(from.clone(), accepted);
        if distinct_names(proposal.promises.keys()) < self.view.quorum() {
            return;
        }
        // What may have been chosen already goes before any wish.
        let before = proposal.promises.values().flatten().max_by_key(|(ballot, _)| ballot.clone());
        let founders = || Change { join: proposal.promises.keys().cloned().collect(), ..Change::default() };
        let value = match before {
            Some((_, view)) => Some(view.clone()),
            None if self.view.epoch == 0 => self.view.next(&founders()),
            None => self.view.next(&proposal.change),
        };
        match value {
            Some(view) => {
                proposal.value = Some(view.clone());
                self.broadcast_to_voters(now, &Message::Accept { ballot: ballot.clone(), view }, out);
            }
            None => self.proposal = None,
        }
    }

    fn handle_accept(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: Ballot,
        view: View,
        out: &mut Vec<Output>,
    ) {
        let epoch = self.view.epoch;
        if let Some(later) = self.promised.clone().filter(|own| *own > ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.accepted = Some((ballot.clone(), view));
        self.persist(out);
        self.send(now, from, Message::Accepted { epoch, ballot }, out);
    }

    fn handle_accepted(&mut self, now: Timestamp, from: &Identity, ballot: &Ballot, out: &mut Vec<Output>) {
        let quorum = self.view.quorum();
        let Some(proposal) = self.proposal.as_mut().filter(|proposal| proposal.ballot == *ballot) else {
            return;
        };
        proposal.accepted.insert(from.clone());
        let Some(view) =
            proposal.value.clone().filter(|_| distinct_names(proposal.accepted.iter()) >= quorum)
        else {
            return;
        };
        let mut all: BTreeSet<Identity> =
            self.view.members.iter().filter(|m| m.incarnation > 0).cloned().collect();
        all.extend(view.members.iter().cloned());
        all.remove(&self.me);
        let decided = Message::Decided { view: view.clone() };
        out.extend(all.into_iter().map(|member| Output::Send(member, decided.clone())));
        self.adopt_view(now, view, out);
    }

    /// Takes a view that has been decided.
    fn adopt_view(&mut self, now: Timestamp, view: View, out: &mut Vec<Output>) {
        if view.epoch <= self.view.epoch {
            if view.epoch == self.view.epoch && view != self.view && view.epoch > 0 {
                out.push(Output::Event(Event::ConflictingView(view)));
            }
            return;
        }
        let old = std::mem::replace(&mut self.view, view);
        let passed = self.terms.grantor_expired_at(now);
        self.not_before.retain(|_, at| *at > now);
        for out_by_this in old.members.iter().filter(|m| m.incarnation > 0 && !self.view.members.contains(m))
        {
            self.evicted.insert(out_by_this.clone(), passed);
        }
        while self.evicted.len() > MAX_EVICTED_REMEMBERED {
            let oldest = self.evicted.iter().min_by_key(|(_, at)| **at).map(|(who, _)| who.clone());
            oldest.into_iter().for_each(|who| _ = self.evicted.remove(&who));
        }
        let unseen = self.view.epoch > old.epoch + 1;
        for comes in self.view.members.iter().filter(|member| !old.members.contains(member)) {
            // Another incarnation of its name may still believe in its lease.
            if unseen || self.evicted.iter().any(|(evicted, at)| evicted.name == comes.name && *at > now) {
                self.not_before.insert(comes.clone(), passed);
            }
        }
        self.previous_view = old;
        (self.promised, self.accepted, self.proposal) = (None, None, None);
        self.lease_requests.clear();
        self.persist(out);
        out.push(Output::Event(Event::View(self.view.clone())));
        self.report_fencing(now, out);
        if self.view.contains(&self.me) {
            self.request_lease(now, out);
        }
    }

    // ---- Leases ----------------------------------------------------------------------------------------

    fn request_lease(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        // Where answers get lost it asks oftener, before the lease runs out and after.
        let late = self.lease_until.is_none_or(|until| until.0 - now.0 < self.terms.lease_us / 2);
        self.renew_lease_at = Timestamp(
            now.0 + if late { self.terms.renew_interval_us / 4 } else { self.terms.renew_interval_us },
        );
        // What was asked so long ago would give nothing any more.
        let terms = self.terms;
        self.lease_requests.retain(|sent_at, _| terms.holder_valid_until(*sent_at) > now);
        self.lease_requests.insert(now, BTreeSet::new());
        self.broadcast_to_voters(now, &Message::LeaseRequest { epoch: self.view.epoch, sent_at: now }, out);
    }

    /// Whether a lease may be granted: to a member, by a voter that has accepted nothing since this view began, and
    /// not while another incarnation of its name may hold one.
    fn may_grant(&self, now: Timestamp, to: &Identity) -> bool {
        self.view.contains(to)
            && self.view.is_voter(&self.me)
            && self.accepted.is_none()
            && now >= self.grants_from
            && self.not_before.get(to).is_none_or(|at| now >= *at)
    }

    fn handle_lease_grant(
        &mut self,
        now: Timestamp,
        from: &Identity,
        sent_at: Timestamp,
        out: &mut Vec<Output>,
    ) {
        let (is_voter, quorum) = (self.view.is_voter(from), self.view.quorum());
        let Some(by) = self.lease_requests.get_mut(&sent_at).filter(|_| is_voter) else { return };
        by.insert(from.clone());
        if by.len() >= quorum {
            let until = self.terms.holder_valid_until(sent_at);
            self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
            self.lease_requests.retain(|other, _| *other > sent_at);
            self.report_fencing(now, out);
        }
    }

    /// Tells once when it changes whether this process may act.
    fn report_fencing(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let fenced = self.fenced(now);
        if fenced != self.reported_fenced {
            self.reported_fenced = fenced;
            out.push(Output::Event(if fenced { Event::Fenced } else { Event::Unfenced }));
        }
    }

    // ---- Sending ---------------------------------------------------------------------------------------

    fn persist(&self, out: &mut Vec<Output>) {
        let view = Some(self.view.clone()).filter(|view| view.epoch > 0);
        out.push(Output::Persist(DurableState {
            view,
            promised: self.promised.clone(),
            accepted: self.accepted.clone(),
        }));
    }

    fn broadcast_to_voters(&mut self, now: Timestamp, message: &Message, out: &mut Vec<Output>) {
        for voter in self.view.voters().to_vec() {
            self.send(now, &voter, message.clone(), out);
        }
    }

    /// What it says to itself it hears at once. Before the first view voters are known by their names alone.
    fn send(&mut self, now: Timestamp, to: &Identity, message: Message, out: &mut Vec<Output>) {
        if *to == self.me || (to.incarnation == 0 && to.name == self.me.name) {
            let me = self.me.clone();
            return self.handle_message(now, &me, message, out);
        }
        out.push(Output::Send(to.clone(), message));
    }
}

/// How many names there are: before the first view a voter may have had more than one incarnation.
fn distinct_names<'a>(voters: impl Iterator<Item = &'a Identity>) -> usize {
    voters.map(|voter| &voter.name).collect::<BTreeSet<_>>().len()
}

#[cfg(test)]
mod model_test;
