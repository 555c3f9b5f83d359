//! Agreement: numbered views, one with each number, and leases from their voters. What it says may be built on: a member
//! that is out, or has lost its lease, knows so itself before anybody else may act in its place.
//!
//! It guards safety alone. Who ought to go, and when, is for [`crate::membership::failure_detector`] and the policy above it to say: a wrong
//! wish costs work and breaks nothing. Messages may be lost, doubled, late and out of order; a process may stand still
//! at any moment and for any time. Clocks are monotonic, each process reads its own, and they run within a stated drift.
//!
//! *Views.* The next view is chosen by the voters of the present one, by ballots in two phases (Paxos, one instance for
//! each number). A voter that has lost what it promised is another life and no voter, until a view lets it in.
//!
//! *Leases.* A member asks all voters and holds a lease for a time counted from its asking once a majority has granted
//! it. A voter that has accepted a proposal grants nothing until the matter is decided. So whoever learns of a view
//! knows that each lease under an earlier one was granted before: it has run out one lease's time later.
//! `docs/design/006-membership.md` has the argument and the limits.

use crate::interface::Timestamp;
use crate::membership::lease::Terms;
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
    Ask {
        /// The latest view that is known.
        epoch: u64,
    },
    /// A view that has been decided.
    Decided {
        /// The view.
        view: View,
    },
    /// A member asks for its lease.
    Renew {
        /// Under this view.
        epoch: u64,
        /// When it asked, by its own clock: it gets this back.
        sent: Timestamp,
    },
    /// A voter grants it.
    Granted {
        /// Under this view.
        epoch: u64,
        /// As it was asked.
        sent: Timestamp,
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

/// What must not be lost while a life lasts: where a disk keeps it, a process that comes back is still the same voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Durable {
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
    Keep(Durable),
    /// To be sent to another member.
    Send(Identity, Message),
    /// Something that others build on.
    Event(Event),
}

/// What others build on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// There is a new view. Who is out by it is free to be replaced once [`Agreement::free`] says so.
    View(View),
    /// This process may act as a member from now on, until [`Agreement::fenced`] says otherwise.
    Unfenced,
    /// This process may not act as a member: it is out, or its lease has run out.
    Fenced,
    /// Another view with a number that is known already. It must never be seen: somebody voted twice.
    Forked(View),
}

/// An own ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    ballot: Ballot,
    wish: Change,
    /// What each voter had accepted before.
    promises: BTreeMap<Identity, Option<(Ballot, View)>>,
    /// What is asked for, once enough have promised.
    value: Option<View>,
    accepted: BTreeSet<Identity>,
    over: Timestamp,
}

/// Those that were seen to go are remembered up to this number: of older ones nobody may say that they are free.
const MOST_GONE: usize = 4_096;

/// One member's part in the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: Identity,
    terms: Terms,
    view: View,
    /// The one before it that was known here.
    before: View,
    promised: Option<Ballot>,
    accepted: Option<(Ballot, View)>,
    round: Option<Round>,
    /// Whoever was let in while this process did not look, or stands in another life's place, gets no lease before.
    not_before: BTreeMap<Identity, Timestamp>,
    /// From when on each of those that were seen to go may be replaced.
    gone: BTreeMap<Identity, Timestamp>,
    /// What was granted before this process began has run out by then.
    quiet: Timestamp,
    /// Until when the lease is believed in.
    lease: Option<Timestamp>,
    /// When it was asked for, and who has granted it since.
    asked: BTreeMap<Timestamp, BTreeSet<Identity>>,
    renew_at: Timestamp,
    /// What was told last.
    told_fenced: bool,
}

impl Agreement {
    /// A life that begins now. `kept` is what a disk has of it; without any, the life must be a new one.
    pub fn new(me: Identity, terms: Terms, seeds: &[Name], kept: Durable, now: Timestamp) -> Self {
        let view = kept.view.unwrap_or_else(|| View::genesis(seeds));
        Self {
            me,
            terms,
            before: View::genesis(&[]),
            view,
            promised: kept.promised,
            accepted: kept.accepted,
            round: None,
            not_before: BTreeMap::new(),
            gone: BTreeMap::new(),
            quiet: terms.passed(now),
            lease: None,
            asked: BTreeMap::new(),
            renew_at: now,
            told_fenced: true,
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
    pub fn before(&self) -> &View {
        &self.before
    }

    /// Whether this process must not act as a member at that moment of its clock. It is to be asked right before each
    /// act: a process may have stood still since it was told anything.
    pub fn fenced(&self, now: Timestamp) -> bool {
        !self.view.contains(&self.me) || self.lease.is_none_or(|until| now >= until)
    }

    /// How long the lease still lasts, in microseconds; 0 where there is none.
    pub fn lease_left(&self, now: Timestamp) -> i64 {
        if self.fenced(now) {
            return 0;
        }
        self.lease.map_or(0, |until| until.0 - now.0)
    }

    /// Until when the last lease is, or was, believed in by this process's own clock.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.lease
    }

    /// Whether that life is out by agreement and knows it: somebody else may act in its place. Only of a life that
    /// this process has seen as a member: one that it has never seen may have been let in meanwhile.
    pub fn free(&self, who: &Identity, now: Timestamp) -> bool {
        self.gone.get(who).is_some_and(|at| now >= *at)
    }

    /// Whether this process has accepted a proposal of which it does not know what became of it. It grants nothing
    /// meanwhile: somebody should open a ballot.
    pub fn undecided(&self) -> bool {
        self.accepted.is_some()
    }

    /// Whether a ballot of its own is open.
    pub fn proposing(&self) -> bool {
        self.round.is_some()
    }

    // ---- What it is told -------------------------------------------------------------------------------

    /// When [`Self::timer`] has to be called at the latest.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let renews = self.view.contains(&self.me).then_some(self.renew_at);
        let lapses = self.lease.filter(|_| !self.told_fenced);
        [renews, lapses, self.round.as_ref().map(|round| round.over)].into_iter().flatten().min()
    }

    /// Timestamp has passed.
    pub fn timer(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.tell_fence(now, out);
        if self.round.as_ref().is_some_and(|round| now >= round.over) {
            self.round = None;
        }
        if self.view.contains(&self.me) && now >= self.renew_at {
            self.renew(now, out);
        }
    }

    /// A change of the view is wished for. Only a voter's wish comes to anything, and only if no other ballot goes
    /// before; whoever wishes has to look at what came of it and to wish again.
    pub fn propose(&mut self, now: Timestamp, wish: Change, out: &mut Vec<Output>) {
        let moot = !self.undecided() && self.view.epoch > 0 && self.view.next(&wish).is_none();
        if !self.view.elects(&self.me) || moot {
            return;
        }
        let round = self.promised.as_ref().map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, by: self.me.clone() };
        let over = Timestamp(now.0 + self.terms.ballot);
        let (promises, accepted) = (BTreeMap::new(), BTreeSet::new());
        self.round = Some(Round { ballot: ballot.clone(), wish, promises, value: None, accepted, over });
        self.tell_voters(now, &Message::Prepare { epoch: self.view.epoch, ballot }, out);
    }

    /// A message has come from a member, or from whoever wants to be one.
    pub fn heard(&mut self, now: Timestamp, from: &Identity, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Ask { epoch } => _ = self.same_view(from, epoch, out),
            Message::Decided { view } => self.adopt(now, view, out),
            Message::Renew { epoch, sent } => {
                if self.same_view(from, epoch, out) && self.grants(now, from) {
                    self.send(now, from, Message::Granted { epoch, sent }, out);
                }
            }
            Message::Granted { epoch, sent } => {
                if epoch == self.view.epoch {
                    self.granted(now, from, sent, out);
                }
            }
            Message::Prepare { epoch, ballot } => {
                if self.same_view(from, epoch, out) && self.votes(from, &ballot) {
                    self.prepare(now, from, ballot, out);
                }
            }
            Message::Promise { epoch, ballot, accepted } => {
                if self.same_view(from, epoch, out) && self.view.elects(from) {
                    self.promise(now, from, &ballot, accepted, out);
                }
            }
            Message::Accept { ballot, view } => {
                let epoch = view.epoch.saturating_sub(1);
                if self.same_view(from, epoch, out) && self.votes(from, &ballot) {
                    self.accept(now, from, ballot, view, out);
                }
            }
            Message::Accepted { epoch, ballot } => {
                if self.same_view(from, epoch, out) && self.view.elects(from) {
                    self.accepted(now, from, &ballot, out);
                }
            }
            Message::Reject { epoch, ballot } => {
                // The next try goes before what it lost against.
                if epoch == self.view.epoch && self.promised.as_ref().is_none_or(|own| *own < ballot) {
                    self.promised = Some(ballot);
                    self.keep(out);
                    self.round = None;
                }
            }
        }
    }

    // ---- Views -----------------------------------------------------------------------------------------

    /// Whether the other side stands where this one does; whoever is behind hears the latest view, and whoever is
    /// ahead is asked for it.
    fn same_view(&self, from: &Identity, epoch: u64, out: &mut Vec<Output>) -> bool {
        let answer = match epoch.cmp(&self.view.epoch) {
            std::cmp::Ordering::Less => Message::Decided { view: self.view.clone() },
            std::cmp::Ordering::Greater => Message::Ask { epoch: self.view.epoch },
            std::cmp::Ordering::Equal => return true,
        };
        out.push(Output::Send(from.clone(), answer));
        false
    }

    /// Whether a ballot is held by who says so, between voters.
    fn votes(&self, from: &Identity, ballot: &Ballot) -> bool {
        ballot.by == *from && self.view.elects(from) && self.view.elects(&self.me)
    }

    fn prepare(&mut self, now: Timestamp, from: &Identity, ballot: Ballot, out: &mut Vec<Output>) {
        let epoch = self.view.epoch;
        if let Some(later) = self.promised.clone().filter(|own| *own > ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.keep(out);
        let accepted = self.accepted.clone();
        self.send(now, from, Message::Promise { epoch, ballot, accepted }, out);
    }

    fn promise(
        &mut self,
        now: Timestamp,
        from: &Identity,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        out: &mut Vec<Output>,
    ) {
        let Some(round) =
            self.round.as_mut().filter(|round| round.ballot == *ballot && round.value.is_none())
        else {
            return;
        };
        round.promises.insert(from.clone(), accepted);
        if distinct(round.promises.keys()) < self.view.quorum() {
            return;
        }
        // What may have been chosen already goes before any wish.
        let before = round.promises.values().flatten().max_by_key(|(ballot, _)| ballot.clone());
        let founders = || Change { join: round.promises.keys().cloned().collect(), ..Change::default() };
        let value = match before {
            Some((_, view)) => Some(view.clone()),
            None if self.view.epoch == 0 => self.view.next(&founders()),
            None => self.view.next(&round.wish),
        };
        match value {
            Some(view) => {
                round.value = Some(view.clone());
                self.tell_voters(now, &Message::Accept { ballot: ballot.clone(), view }, out);
            }
            None => self.round = None,
        }
    }

    fn accept(&mut self, now: Timestamp, from: &Identity, ballot: Ballot, view: View, out: &mut Vec<Output>) {
        let epoch = self.view.epoch;
        if let Some(later) = self.promised.clone().filter(|own| *own > ballot) {
            return self.send(now, from, Message::Reject { epoch, ballot: later }, out);
        }
        self.promised = Some(ballot.clone());
        self.accepted = Some((ballot.clone(), view));
        self.keep(out);
        self.send(now, from, Message::Accepted { epoch, ballot }, out);
    }

    fn accepted(&mut self, now: Timestamp, from: &Identity, ballot: &Ballot, out: &mut Vec<Output>) {
        let quorum = self.view.quorum();
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == *ballot) else { return };
        round.accepted.insert(from.clone());
        let Some(view) = round.value.clone().filter(|_| distinct(round.accepted.iter()) >= quorum) else {
            return;
        };
        let mut all: BTreeSet<Identity> = self.view.members.iter().filter(|m| m.life > 0).cloned().collect();
        all.extend(view.members.iter().cloned());
        all.remove(&self.me);
        let decided = Message::Decided { view: view.clone() };
        out.extend(all.into_iter().map(|member| Output::Send(member, decided.clone())));
        self.adopt(now, view, out);
    }

    /// Takes a view that has been decided.
    fn adopt(&mut self, now: Timestamp, view: View, out: &mut Vec<Output>) {
        if view.epoch <= self.view.epoch {
            if view.epoch == self.view.epoch && view != self.view && view.epoch > 0 {
                out.push(Output::Event(Event::Forked(view)));
            }
            return;
        }
        let old = std::mem::replace(&mut self.view, view);
        let passed = self.terms.passed(now);
        self.not_before.retain(|_, at| *at > now);
        for out_by_this in old.members.iter().filter(|m| m.life > 0 && !self.view.members.contains(m)) {
            self.gone.insert(out_by_this.clone(), passed);
        }
        while self.gone.len() > MOST_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, at)| **at).map(|(who, _)| who.clone());
            oldest.into_iter().for_each(|who| _ = self.gone.remove(&who));
        }
        let unseen = self.view.epoch > old.epoch + 1;
        for comes in self.view.members.iter().filter(|member| !old.members.contains(member)) {
            // Another life of its name may still believe in its lease.
            if unseen || self.gone.iter().any(|(gone, at)| gone.name == comes.name && *at > now) {
                self.not_before.insert(comes.clone(), passed);
            }
        }
        self.before = old;
        (self.promised, self.accepted, self.round) = (None, None, None);
        self.asked.clear();
        self.keep(out);
        out.push(Output::Event(Event::View(self.view.clone())));
        self.tell_fence(now, out);
        if self.view.contains(&self.me) {
            self.renew(now, out);
        }
    }

    // ---- Leases ----------------------------------------------------------------------------------------

    fn renew(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        // Where answers get lost it asks oftener, before the lease runs out and after.
        let late = self.lease.is_none_or(|until| until.0 - now.0 < self.terms.lease / 2);
        self.renew_at = Timestamp(now.0 + if late { self.terms.renew / 4 } else { self.terms.renew });
        // What was asked so long ago would give nothing any more.
        let terms = self.terms;
        self.asked.retain(|sent, _| terms.held(*sent) > now);
        self.asked.insert(now, BTreeSet::new());
        self.tell_voters(now, &Message::Renew { epoch: self.view.epoch, sent: now }, out);
    }

    /// Whether a lease may be granted: to a member, by a voter that has accepted nothing since this view began, and
    /// not while another life of its name may hold one.
    fn grants(&self, now: Timestamp, to: &Identity) -> bool {
        self.view.contains(to)
            && self.view.elects(&self.me)
            && self.accepted.is_none()
            && now >= self.quiet
            && self.not_before.get(to).is_none_or(|at| now >= *at)
    }

    fn granted(&mut self, now: Timestamp, from: &Identity, sent: Timestamp, out: &mut Vec<Output>) {
        let (elects, quorum) = (self.view.elects(from), self.view.quorum());
        let Some(by) = self.asked.get_mut(&sent).filter(|_| elects) else { return };
        by.insert(from.clone());
        if by.len() >= quorum {
            let until = self.terms.held(sent);
            self.lease = Some(self.lease.map_or(until, |old| old.max(until)));
            self.asked.retain(|other, _| *other > sent);
            self.tell_fence(now, out);
        }
    }

    /// Tells once when it changes whether this process may act.
    fn tell_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let fenced = self.fenced(now);
        if fenced != self.told_fenced {
            self.told_fenced = fenced;
            out.push(Output::Event(if fenced { Event::Fenced } else { Event::Unfenced }));
        }
    }

    // ---- Sending ---------------------------------------------------------------------------------------

    fn keep(&self, out: &mut Vec<Output>) {
        let view = Some(self.view.clone()).filter(|view| view.epoch > 0);
        out.push(Output::Keep(Durable {
            view,
            promised: self.promised.clone(),
            accepted: self.accepted.clone(),
        }));
    }

    fn tell_voters(&mut self, now: Timestamp, message: &Message, out: &mut Vec<Output>) {
        for voter in self.view.electors().to_vec() {
            self.send(now, &voter, message.clone(), out);
        }
    }

    /// What it says to itself it hears at once. Before the first view voters are known by their names alone.
    fn send(&mut self, now: Timestamp, to: &Identity, message: Message, out: &mut Vec<Output>) {
        if *to == self.me || (to.life == 0 && to.name == self.me.name) {
            let me = self.me.clone();
            return self.heard(now, &me, message, out);
        }
        out.push(Output::Send(to.clone(), message));
    }
}

/// How many names there are: before the first view a voter may have had more than one life.
fn distinct<'a>(voters: impl Iterator<Item = &'a Identity>) -> usize {
    voters.map(|voter| &voter.name).collect::<BTreeSet<_>>().len()
}

#[cfg(test)]
mod model_test;
