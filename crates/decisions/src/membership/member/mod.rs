//! One member of the fleet: its advice, its part in the agreement, and the policy between them, as one state machine. Events
//! and a moment go in, messages come out; the transport, the names' addresses and the keys are left to the caller.

use crate::interface::Timestamp;
use crate::membership::consensus::{self, Agreement, Durable, Event};
use crate::membership::failure_detector::{self, Advice, Opinion, Tempo};
use crate::membership::reconfiguration::{self, Flaps, Row};
use crate::membership::view::{Change, Identity, Name, View};
use crate::membership::Terms;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Of the advice.
    Advice(failure_detector::Message),
    /// Of the agreement.
    Agreement(consensus::Message),
    /// A voter tells another one what it hears.
    Row(Row),
    /// Somebody asks to be let in.
    Hello,
    /// Not while that life of its name is there.
    Refused(Identity),
    /// A member has had no lease for long: it may hear nobody, though it is heard.
    Stuck,
    /// A member takes its leave.
    Leaving,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// To be sent, to a life or, where its number is 0, to any life of the name.
    Send(Identity, Message),
    /// To be kept before anything that follows is sent.
    Keep(Identity, Durable),
    /// Others build on it.
    Agreed(Event),
    /// Nobody may build on it.
    Advised(Identity, Opinion),
    /// This process goes on as another life: it was put out, or its number is taken.
    Life(Identity),
    /// A process of the same name is there and alive: this one is not let in.
    Twin(Identity),
    /// This process stood still for so many microseconds.
    Stood(i64),
    /// It has taken its leave.
    Parted,
}

/// What a fleet goes by; the same for all its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Those who found the fleet, all of them together.
    pub seeds: Vec<Name>,
    /// Of leases.
    pub terms: Terms,
    /// Of the advice.
    pub tempo: Tempo,
}

/// A member whose word has not come for so many quarters of the time between its askings is not heard: a voter, which
/// speaks twice as often, and any other, of which one asking may get lost.
const UNHEARD: (i64, i64) = (5, 9);
/// What lasts for less than this part of the time between askings is a passing matter: messages get lost.
const PASSING: i64 = 4;
/// A voter's row holds for so many looks.
const ROW: i64 = 4;
/// A member that most do not hear, or that has no lease, for so many leases goes, whatever the advice is.
const DULL: i64 = 2;
/// A voter that too few others spoke with for longer than one renewal hears them for so many before it judges anybody.
const SETTLING: i64 = 2;
/// A process of the same name is told of after so many leases: until then it may be the last life's echo.
const TWIN: i64 = 4;
/// Who asks to be let in has to ask again within so many looks.
const COMER: i64 = 5;
/// Comers that are remembered at once.
const MOST_COMERS: usize = 64;

/// One member.
pub struct Member {
    me: Identity,
    rules: Rules,
    agreement: Agreement,
    advice: Advice,
    seed: u64,
    rows: BTreeMap<Identity, (Row, Timestamp)>,
    /// Since when most have not heard a member.
    unheard: BTreeMap<Identity, Timestamp>,
    comers: BTreeMap<Identity, Timestamp>,
    stuck: BTreeMap<Identity, Timestamp>,
    leavers: BTreeSet<Identity>,
    flaps: Flaps,
    look_at: Timestamp,
    /// Since when this process is fenced.
    fenced_since: Option<Timestamp>,
    /// Since when it has accepted what it knows nothing more of.
    undecided_since: Option<Timestamp>,
    /// Since when it is refused for another life of its name.
    refused_since: Option<Timestamp>,
    told_twin: bool,
    leaving: bool,
    /// Whether this life may have been let in: it has asked for that, or taken part in founding the fleet.
    offered: bool,
    /// From when on it does so: before, it looks whether there is a fleet already.
    offers_at: Timestamp,
    /// When it was let in.
    in_since: Timestamp,
    /// Since when too few voters speak for a view to follow.
    alone_since: Option<Timestamp>,
    /// Whether that was for long: what was thought of the others meanwhile says nothing once they speak again.
    apart: bool,
    /// From when on what is heard counts again.
    settled_at: Timestamp,
}

impl Member {
    /// A process that begins now as that life, with what its disk has of it.
    pub fn new(me: Identity, rules: Rules, kept: Durable, seed: u64, now: Timestamp) -> Self {
        let agreement = Agreement::new(me.clone(), rules.terms, &rules.seeds, kept, now);
        let advice = Advice::new(me.clone(), rules.tempo, seed, now);
        let offers_at = Timestamp(now.0 + rules.terms.ballot);
        Self {
            me,
            rules,
            agreement,
            advice,
            seed,
            rows: BTreeMap::new(),
            unheard: BTreeMap::new(),
            comers: BTreeMap::new(),
            stuck: BTreeMap::new(),
            leavers: BTreeSet::new(),
            flaps: Flaps::default(),
            look_at: now,
            fenced_since: Some(now),
            undecided_since: None,
            refused_since: None,
            told_twin: false,
            leaving: false,
            offered: false,
            offers_at,
            in_since: Timestamp(i64::MIN / 2),
            alone_since: None,
            apart: false,
            settled_at: now,
        }
    }

    /// Who this is now.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// The agreement, which may be built on.
    pub fn agreement(&self) -> &Agreement {
        &self.agreement
    }

    /// The advice, which may not.
    pub fn advice(&self) -> &Advice {
        &self.advice
    }

    /// What the voters say of themselves and of the others, as far as this process is one.
    pub fn rows(&self) -> impl Iterator<Item = (&Identity, &Row)> + '_ {
        self.rows.iter().map(|(voter, (row, _))| (voter, row))
    }

    /// Whether it takes its leave.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// When [`Self::timer`] has to be called at the latest.
    pub fn next_timer(&self) -> Timestamp {
        let next = self.advice.next_timer().min(self.look_at);
        self.agreement.next_timer().map_or(next, |at| at.min(next))
    }

    /// Timestamp has passed.
    pub fn timer(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.advise(now, out, |advice, now, more| {
            if advice.next_timer() <= now {
                advice.timer(now, more);
            }
        });
        self.agree(now, out, |agreement, more| agreement.timer(now, more));
        if now >= self.look_at {
            self.look_at = Timestamp(now.0 + self.rules.terms.renew / 2);
            self.look(now, out);
        }
    }

    /// A message has come.
    pub fn heard(&mut self, now: Timestamp, from: &Identity, message: Message, out: &mut Vec<Output>) {
        if from.name == self.me.name && *from != self.me {
            // Another process of this name, or this one's own last life: it is not spoken with.
            return;
        }
        self.advise(now, out, |advice, now, more| advice.heard_from(now, from, more));
        match message {
            Message::Advice(message) => {
                self.advise(now, out, |advice, now, more| advice.heard(now, from, message, more));
            }
            Message::Agreement(message) => {
                let founds =
                    matches!(message, consensus::Message::Prepare { .. } | consensus::Message::Accept { .. });
                self.offered |= founds && self.agreement.view().epoch == 0;
                self.agree(now, out, |agreement, more| agreement.heard(now, from, message, more));
            }
            Message::Row(row) => {
                if self.agreement.view().elects(from) {
                    row.leavers.iter().for_each(|who| self.leaves(who, out));
                    let told = self.rows.insert(from.clone(), (row, now));
                    self.told_anew(now, from, told.map(|(row, _)| row), out);
                }
            }
            Message::Hello => self.hello(now, from, out),
            Message::Refused(there) => self.refused(now, there, out),
            Message::Stuck => _ = self.stuck.insert(from.clone(), now),
            Message::Leaving => self.leaves(from, out),
        }
    }

    /// A member takes its leave, as it says itself or a voter says of it.
    fn leaves(&mut self, who: &Identity, out: &mut Vec<Output>) {
        if self.agreement.view().contains(who) && self.leavers.insert(who.clone()) {
            out.push(Output::Advised(who.clone(), Opinion::Left));
        }
    }

    /// The process takes its leave; [`Output::Parted`] tells when it is out by agreement.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.leaving = true;
        let me = self.me.clone();
        self.leaves(&me, out);
        self.advise(now, out, |advice, _, more| advice.leave(more));
        self.look_at = now;
    }

    // ---- The two layers --------------------------------------------------------------------------------

    fn advise(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Advice, Timestamp, &mut Vec<failure_detector::Output>),
    ) {
        let mut more = Vec::new();
        act(&mut self.advice, now, &mut more);
        for output in more {
            match output {
                failure_detector::Output::Send(to, message) => {
                    out.push(Output::Send(to, Message::Advice(message)))
                }
                failure_detector::Output::Changed(who, opinion) => {
                    if opinion == Opinion::Gone {
                        self.look_at = now;
                    }
                    out.push(Output::Advised(who, opinion));
                }
                failure_detector::Output::Stood(span) => {
                    // What it knew of the others is old: it judges nobody until it has heard anew.
                    self.rows.clear();
                    self.unheard.clear();
                    self.stuck.clear();
                    out.push(Output::Stood(span));
                }
            }
        }
    }

    fn agree(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Agreement, &mut Vec<consensus::Output>),
    ) {
        let epoch = self.agreement.view().epoch;
        let mut more = Vec::new();
        act(&mut self.agreement, &mut more);
        for output in more {
            match output {
                consensus::Output::Send(to, message) => {
                    out.push(Output::Send(to, Message::Agreement(message)))
                }
                consensus::Output::Keep(kept) => out.push(Output::Keep(self.me.clone(), kept)),
                consensus::Output::Event(event) => self.agreed(now, event, out),
            }
        }
        if self.agreement.view().epoch > epoch {
            self.view_changed(now, out);
        }
    }

    fn agreed(&mut self, now: Timestamp, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Fenced => self.fenced_since = Some(now),
            Event::Unfenced => self.fenced_since = None,
            Event::View(_) | Event::Forked(_) => {}
        }
        out.push(Output::Agreed(event));
    }

    fn view_changed(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let (old, view) = (self.agreement.before().clone(), self.agreement.view().clone());
        let left =
            |who: &Identity| self.leavers.contains(who) || self.advice.opinion(who) == Some(Opinion::Left);
        self.flaps.changed(now, &old, &view, left);
        self.rows.clear();
        self.unheard.clear();
        self.stuck.clear();
        self.leavers.retain(|who| view.contains(who));
        self.comers.retain(|who, _| !view.contains(who));
        let me = self.me.clone();
        for member in view.members.iter().filter(|member| **member != me) {
            self.advise(now, out, |advice, now, more| advice.met(now, member, more));
        }
        if view.contains(&self.me) && !old.contains(&self.me) {
            self.in_since = now;
            // What it waited before it was let in is no sign that it cannot get its lease.
            self.fenced_since = Some(now);
        }
        if self.leaving && !view.contains(&self.me) {
            out.push(Output::Parted);
        } else if !view.contains(&self.me)
            && (old.contains(&self.me) || (self.offered && view.epoch > old.epoch + 1))
        {
            // It was a member, or may have been one in between: a life is let in once at the most.
            self.reborn(now, self.me.life + 1, out);
        }
        self.look_at = now;
    }

    /// Whoever was put out comes back as another life: whatever it was, others may be that by now.
    fn reborn(&mut self, now: Timestamp, life: u64, out: &mut Vec<Output>) {
        self.me = Identity { life, ..self.me.clone() };
        self.seed = self.seed.wrapping_add(1);
        let kept = Durable {
            view: Some(self.agreement.view().clone()).filter(|v| v.epoch > 0),
            ..Durable::default()
        };
        self.agreement =
            Agreement::new(self.me.clone(), self.rules.terms, &self.rules.seeds, kept.clone(), now);
        let others: Vec<Identity> = self
            .agreement
            .view()
            .members
            .iter()
            .filter(|m| m.life > 0 && m.name != self.me.name)
            .cloned()
            .collect();
        self.advice = Advice::new(self.me.clone(), self.rules.tempo, self.seed, now);
        out.push(Output::Life(self.me.clone()));
        out.push(Output::Keep(self.me.clone(), kept));
        for other in others {
            self.advise(now, out, |advice, now, more| advice.met(now, &other, more));
        }
        self.fenced_since = Some(now);
        self.undecided_since = None;
        self.offered = false;
    }

    // ---- Coming and going ------------------------------------------------------------------------------

    fn hello(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        let rows = self.fresh_rows(now);
        match reconfiguration::twin(self.agreement.view(), from, &rows).cloned() {
            Some(there) => out.push(Output::Send(from.clone(), Message::Refused(there))),
            None if self.comers.len() < MOST_COMERS => _ = self.comers.insert(from.clone(), now),
            None => {}
        }
    }

    fn refused(&mut self, now: Timestamp, there: Identity, out: &mut Vec<Output>) {
        if there.name != self.me.name || self.agreement.view().contains(&self.me) {
            return;
        }
        if there.life >= self.me.life {
            return self.reborn(now, there.life + 1, out);
        }
        let since = *self.refused_since.get_or_insert(now);
        if now.0 - since.0 >= TWIN * self.rules.terms.lease && !self.told_twin {
            self.told_twin = true;
            out.push(Output::Twin(there));
        }
    }

    fn ask_in(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let epoch = self.agreement.view().epoch;
        let offers = epoch > 0 || now >= self.offers_at;
        self.offered |= offers;
        for voter in self.agreement.view().electors() {
            if voter.name != self.me.name {
                out.push(Output::Send(voter.clone(), Message::Agreement(consensus::Message::Ask { epoch })));
                if offers {
                    out.push(Output::Send(voter.clone(), Message::Hello));
                }
            }
        }
        // The voters that it knows of may all be others by now: the seeds are asked as well.
        for name in self.rules.seeds.iter().filter(|name| **name != self.me.name && epoch > 0) {
            let seed = Identity { name: Name::clone(name), life: 0 };
            out.push(Output::Send(seed, Message::Agreement(consensus::Message::Ask { epoch })));
        }
    }

    // ---- The look --------------------------------------------------------------------------------------

    fn look(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let view = self.agreement.view().clone();
        if !view.contains(&self.me) {
            if self.leaving {
                return;
            }
            if let Some(there) =
                view.named(&self.me.name).filter(|there| there.life >= self.me.life && there.life > 0)
            {
                let life = there.life + 1;
                self.reborn(now, life, out);
            }
            self.ask_in(now, out);
            if self.offered && view.epoch == 0 && view.elects(&self.me) {
                self.found(now, &view, out);
            }
            return;
        }
        let me = self.me.clone();
        let tell = |message: Message, out: &mut Vec<Output>| {
            let others = view.electors().iter().filter(|voter| **voter != me);
            out.extend(others.map(|voter| Output::Send(voter.clone(), message.clone())));
        };
        let dull = DULL * self.rules.terms.lease;
        if self.fenced_since.is_some_and(|since| now.0 - since.0 > dull) {
            tell(Message::Stuck, out);
        }
        if self.leaving {
            tell(Message::Leaving, out);
            self.leaves(&me, out);
        }
        if view.elects(&self.me) {
            let row = self.own_row(now, &view);
            tell(Message::Row(row.clone()), out);
            self.rows.insert(self.me.clone(), (row, now));
            self.steer(now, &view, out);
        }
    }

    /// Seeds found the fleet together: the first of them sees to it, the others if it takes too long.
    fn found(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let place = view.members.iter().position(|m| m.name == self.me.name).unwrap_or(0) as i64;
        let since = self.fenced_since.map_or(0, |since| now.0 - since.0);
        let mine = (since / self.rules.terms.ballot) % view.members.len().max(1) as i64 == place;
        if mine && !self.agreement.proposing() {
            self.agree(now, out, |agreement, more| agreement.propose(now, Change::default(), more));
        }
    }

    fn own_row(&mut self, now: Timestamp, view: &View) -> Row {
        let terms = self.rules.terms;
        let look = terms.renew / 2;
        self.comers.retain(|_, at| now.0 - at.0 < COMER * look);
        self.stuck.retain(|_, at| now.0 - at.0 < ROW * look);
        let heard = |member: &Identity| {
            let quarters = if view.elects(member) { UNHEARD.0 } else { UNHEARD.1 };
            // Whoever has just come in has heard nobody yet.
            let at = self.advice.heard_at(member).max(Some(self.in_since));
            *member == self.me || at.is_some_and(|at| now.0 - at.0 < quarters * terms.renew / 4)
        };
        Row {
            epoch: view.epoch,
            hears: view.members.iter().map(heard).collect(),
            fenced: self.agreement.fenced(now),
            stuck: self.stuck.keys().cloned().collect(),
            comers: self.comers.keys().cloned().collect(),
            leavers: self.leavers.clone(),
        }
    }

    fn fresh_rows(&self, now: Timestamp) -> BTreeMap<Identity, Row> {
        let fresh = |at: &Timestamp| now.0 - at.0 <= ROW * self.rules.terms.renew / 2;
        self.rows
            .iter()
            .filter(|(_, (_, at))| fresh(at))
            .map(|(voter, (row, _))| (voter.clone(), row.clone()))
            .collect()
    }

    /// A voter hears others than it said last: what follows from that need not wait for the next look.
    fn told_anew(&mut self, now: Timestamp, from: &Identity, before: Option<Row>, out: &mut Vec<Output>) {
        // Of the voters alone, and under one view: what comes right after a view, and of the others, is looked at together.
        let voters = self.agreement.view().electors().len();
        let row = self.rows.get(from).map(|(row, _)| row);
        let differs = before.zip(row).is_some_and(|(before, row)| {
            before.epoch == row.epoch && before.hears.iter().take(voters).ne(row.hears.iter().take(voters))
        });
        if differs && self.rows.contains_key(&self.me) {
            let view = self.agreement.view().clone();
            self.steer(now, &view, out);
        }
    }

    /// Whether most voters speak, and have done so for long enough after a time in which they did not: those who come
    /// back do so one after the other, and whoever is heard last would seem to be gone.
    fn settled(&mut self, now: Timestamp, most_speak: bool) -> bool {
        let renew = self.rules.terms.renew;
        if !most_speak {
            let since = *self.alone_since.get_or_insert(now);
            self.apart |= now.0 - since.0 > renew;
            return false;
        }
        self.alone_since = None;
        if std::mem::take(&mut self.apart) {
            self.settled_at = Timestamp(now.0 + SETTLING * renew);
        }
        if now < self.settled_at {
            self.unheard.clear();
        }
        now >= self.settled_at
    }

    /// Opens a ballot where it is this voter's turn and something ought to change.
    fn steer(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let rows = self.fresh_rows(now);
        let waits = self.agreement.undecided().then(|| *self.undecided_since.get_or_insert(now));
        self.undecided_since = waits;
        let place = view.electors().iter().position(|voter| *voter == self.me).unwrap_or(0) as i64;
        // Whoever has accepted something grants no lease: it does not wait for the steward for long.
        let stalled = waits.is_some_and(|since| now.0 - since.0 > self.rules.terms.ballot * (2 + place));
        if !self.settled(now, reconfiguration::most_speak(view, &rows)) || self.agreement.proposing() {
            return;
        }
        let unheard = reconfiguration::unheard_by_most(view, &self.me, &rows);
        self.unheard.retain(|who, _| unheard.contains(who));
        let passing = self.rules.terms.renew / PASSING;
        for member in unheard {
            self.unheard.entry(member).or_insert_with(|| {
                self.look_at = self.look_at.min(Timestamp(now.0 + passing));
                now
            });
        }
        if reconfiguration::steward(view, &self.me, &rows) != Some(&self.me) && !stalled {
            return;
        }
        let dull = DULL * self.rules.terms.lease;
        let sure = |who: &Identity| {
            let gone = matches!(self.advice.opinion(who), Some(Opinion::Gone | Opinion::Left));
            let unheard = self.unheard.get(who).map_or(0, |since| now.0 - since.0);
            (gone && unheard >= passing) || unheard > dull
        };
        let wish = reconfiguration::wish(view, &self.me, &rows, &self.flaps, sure, now);
        if stalled || view.next(&wish).is_some() {
            self.agree(now, out, |agreement, more| agreement.propose(now, wish, more));
        }
    }
}
