//! One member of the fleet: its advice, its part in the agreement, and the policy between them, as one state machine. Events
//! and a moment go in, messages come out; the transport, the names' addresses and the keys are left to the caller.

use crate::interface::Timestamp;
use crate::membership::consensus::{self, Consensus, DurableState, Event};
use crate::membership::failure_detector::{self, FailureDetector, FailureDetectorConfig, Suspicion};
use crate::membership::reconfiguration::{self, FlapDamping, ReachabilityRow};
use crate::membership::view::{Change, Identity, Name, View};
use crate::membership::LeaseTerms;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Of the advice.
    FailureDetector(failure_detector::Message),
    /// Of the agreement.
    Consensus(consensus::Message),
    /// A voter tells another one what it hears.
    Reachability(ReachabilityRow),
    /// Somebody asks to be let in.
    JoinRequest,
    /// Not while that incarnation of its name is there.
    JoinRejected(Identity),
    /// A member has had no lease for long: it may hear nobody, though it is heard.
    LeaseStarved,
    /// A member takes its leave.
    Leaving,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// To be sent, to a incarnation or, where its number is 0, to any incarnation of the name.
    Send(Identity, MemberMessage),
    /// To be kept before anything that follows is sent.
    Persist(Identity, DurableState),
    /// Others build on it.
    Consensus(Event),
    /// Nobody may build on it.
    SuspicionChanged(Identity, Suspicion),
    /// This process goes on as another incarnation: it was put out, or its number is taken.
    IncarnationChanged(Identity),
    /// A process of the same name is there and alive: this one is not let in.
    NameConflict(Identity),
    /// This process stood still for so many microseconds.
    Stalled(i64),
    /// It has taken its leave.
    Left,
}

/// What a fleet goes by; the same for all its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Those who found the fleet, all of them together.
    pub seeds: Vec<Name>,
    /// Of leases.
    pub terms: LeaseTerms,
    /// Of the advice.
    pub failure_detector: FailureDetectorConfig,
}

/// A voter counts as unheard after this many quarters of a renewal interval: it sends twice in each.
const VOTER_SILENCE_QUARTERS: i64 = 5;
/// Any other member counts as unheard after this many quarters of a renewal interval: one lost request is tolerated.
const MEMBER_SILENCE_QUARTERS: i64 = 9;
/// What lasts for less than this part of the time between askings is a passing matter: messages get lost.
const TRANSIENT_DIVISOR: i64 = 4;
/// A voter's row holds for so many looks.
const ROW_LIFETIME_CHECKS: i64 = 4;
/// A member that most do not hear, or that has no lease, for so many leases goes, whatever the advice is.
const UNREACHABLE_LEASES: i64 = 2;
/// A voter that too few others spoke with for longer than one renewal hears them for so many before it judges anybody.
const SETTLING_RENEWALS: i64 = 2;
/// A process of the same name is told of after so many leases: until then it may be the last incarnation's echo.
const NAME_CONFLICT_LEASES: i64 = 4;
/// Who asks to be let in has to ask again within so many looks.
const JOIN_REQUEST_LIFETIME_CHECKS: i64 = 5;
/// Comers that are remembered at once.
const MAX_JOINING: usize = 64;

/// One member.
pub struct Member {
    me: Identity,
    config: FleetConfig,
    consensus: Consensus,
    failure_detector: FailureDetector,
    seed: u64,
    rows: BTreeMap<Identity, (ReachabilityRow, Timestamp)>,
    /// Since when most have not heard a member.
    unheard_since: BTreeMap<Identity, Timestamp>,
    joining: BTreeMap<Identity, Timestamp>,
    lease_starved: BTreeMap<Identity, Timestamp>,
    leaving_members: BTreeSet<Identity>,
    flap_damping: FlapDamping,
    next_check_at: Timestamp,
    /// Since when this process is fenced.
    fenced_since: Option<Timestamp>,
    /// Since when it has accepted what it knows nothing more of.
    undecided_since: Option<Timestamp>,
    /// Since when it is refused for another incarnation of its name.
    rejected_since: Option<Timestamp>,
    reported_name_conflict: bool,
    leaving: bool,
    /// Whether this incarnation may have been let in: it has asked for that, or taken part in founding the fleet.
    may_have_joined: bool,
    /// From when on it does so: before, it looks whether there is a fleet already.
    requests_join_from: Timestamp,
    /// When it was let in.
    joined_at: Timestamp,
    /// Since when too few voters speak for a view to follow.
    without_quorum_since: Option<Timestamp>,
    /// Whether that was for long: what was thought of the others meanwhile says nothing once they speak again.
    was_without_quorum: bool,
    /// From when on what is heard counts again.
    settled_at: Timestamp,
}

impl Member {
    /// A process that begins now as that incarnation, with what its disk has of it.
    pub fn new(me: Identity, config: FleetConfig, durable: DurableState, seed: u64, now: Timestamp) -> Self {
        let consensus = Consensus::new(me.clone(), config.terms, &config.seeds, durable, now);
        let failure_detector = FailureDetector::new(me.clone(), config.failure_detector, seed, now);
        let requests_join_from = Timestamp(now.0 + config.terms.ballot_timeout_us);
        Self {
            me,
            config,
            consensus,
            failure_detector,
            seed,
            rows: BTreeMap::new(),
            unheard_since: BTreeMap::new(),
            joining: BTreeMap::new(),
            lease_starved: BTreeMap::new(),
            leaving_members: BTreeSet::new(),
            flap_damping: FlapDamping::default(),
            next_check_at: now,
            fenced_since: Some(now),
            undecided_since: None,
            rejected_since: None,
            reported_name_conflict: false,
            leaving: false,
            may_have_joined: false,
            requests_join_from,
            joined_at: Timestamp(i64::MIN / 2),
            without_quorum_since: None,
            was_without_quorum: false,
            settled_at: now,
        }
    }

    /// Who this is now.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// The agreement, which may be built on.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// The advice, which may not.
    pub fn failure_detector(&self) -> &FailureDetector {
        &self.failure_detector
    }

    /// What the voters say of themselves and of the others, as far as this process is one.
    pub fn rows(&self) -> impl Iterator<Item = (&Identity, &ReachabilityRow)> + '_ {
        self.rows.iter().map(|(voter, (row, _))| (voter, row))
    }

    /// Whether it takes its leave.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// When [`Self::timer`] has to be called at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        let next = self.failure_detector.next_timeout().min(self.next_check_at);
        self.consensus.next_timeout().map_or(next, |at| at.min(next))
    }

    /// Timestamp has passed.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.with_failure_detector(now, out, |failure_detector, now, more| {
            if failure_detector.next_timeout() <= now {
                failure_detector.handle_timeout(now, more);
            }
        });
        self.with_consensus(now, out, |consensus, more| consensus.handle_timeout(now, more));
        if now >= self.next_check_at {
            self.next_check_at = Timestamp(now.0 + self.config.terms.renew_interval_us / 2);
            self.check(now, out);
        }
    }

    /// A message has come.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        message: MemberMessage,
        out: &mut Vec<Output>,
    ) {
        if from.name == self.me.name && *from != self.me {
            // Another process of this name, or this one's own last incarnation: it is not spoken with.
            return;
        }
        self.with_failure_detector(now, out, |failure_detector, now, more| {
            failure_detector.record_contact(now, from, more)
        });
        match message {
            MemberMessage::FailureDetector(message) => {
                self.with_failure_detector(now, out, |failure_detector, now, more| {
                    failure_detector.handle_message(now, from, message, more)
                });
            }
            MemberMessage::Consensus(message) => {
                let founds =
                    matches!(message, consensus::Message::Prepare { .. } | consensus::Message::Accept { .. });
                self.may_have_joined |= founds && self.consensus.view().epoch == 0;
                self.with_consensus(now, out, |consensus, more| {
                    consensus.handle_message(now, from, message, more)
                });
            }
            MemberMessage::Reachability(row) => {
                if self.consensus.view().is_voter(from) {
                    row.leaving.iter().for_each(|who| self.record_leave(who, out));
                    let told = self.rows.insert(from.clone(), (row, now));
                    self.reconfigure_if_reachability_changed(now, from, told.map(|(row, _)| row), out);
                }
            }
            MemberMessage::JoinRequest => self.handle_join_request(now, from, out),
            MemberMessage::JoinRejected(there) => self.handle_join_rejected(now, there, out),
            MemberMessage::LeaseStarved => _ = self.lease_starved.insert(from.clone(), now),
            MemberMessage::Leaving => self.record_leave(from, out),
        }
    }

    /// A member takes its leave, as it says itself or a voter says of it.
    fn record_leave(&mut self, who: &Identity, out: &mut Vec<Output>) {
        if self.consensus.view().contains(who) && self.leaving_members.insert(who.clone()) {
            out.push(Output::SuspicionChanged(who.clone(), Suspicion::Left));
        }
    }

    /// The process takes its leave; [`Output::Left`] tells when it is out by agreement.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.leaving = true;
        let me = self.me.clone();
        self.record_leave(&me, out);
        self.with_failure_detector(now, out, |failure_detector, _, more| failure_detector.leave(more));
        self.next_check_at = now;
    }

    // ---- The two layers --------------------------------------------------------------------------------

    fn with_failure_detector(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut FailureDetector, Timestamp, &mut Vec<failure_detector::Output>),
    ) {
        let mut more = Vec::new();
        act(&mut self.failure_detector, now, &mut more);
        for output in more {
            match output {
                failure_detector::Output::Send(to, message) => {
                    out.push(Output::Send(to, MemberMessage::FailureDetector(message)))
                }
                failure_detector::Output::Changed(who, suspicion) => {
                    if suspicion == Suspicion::Gone {
                        self.next_check_at = now;
                    }
                    out.push(Output::SuspicionChanged(who, suspicion));
                }
                failure_detector::Output::Stalled(span) => {
                    // What it knew of the others is old: it judges nobody until it has heard anew.
                    self.rows.clear();
                    self.unheard_since.clear();
                    self.lease_starved.clear();
                    out.push(Output::Stalled(span));
                }
            }
        }
    }

    fn with_consensus(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Consensus, &mut Vec<consensus::Output>),
    ) {
        let epoch = self.consensus.view().epoch;
        let mut more = Vec::new();
        act(&mut self.consensus, &mut more);
        for output in more {
            match output {
                consensus::Output::Send(to, message) => {
                    out.push(Output::Send(to, MemberMessage::Consensus(message)))
                }
                consensus::Output::Persist(durable) => out.push(Output::Persist(self.me.clone(), durable)),
                consensus::Output::Event(event) => self.handle_consensus_event(now, event, out),
            }
        }
        if self.consensus.view().epoch > epoch {
            self.view_changed(now, out);
        }
    }

    fn handle_consensus_event(&mut self, now: Timestamp, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Fenced => self.fenced_since = Some(now),
            Event::Unfenced => self.fenced_since = None,
            Event::View(_) | Event::ConflictingView(_) => {}
        }
        out.push(Output::Consensus(event));
    }

    fn view_changed(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let (old, view) = (self.consensus.previous_view().clone(), self.consensus.view().clone());
        let left = |who: &Identity| {
            self.leaving_members.contains(who)
                || self.failure_detector.suspicion(who) == Some(Suspicion::Left)
        };
        self.flap_damping.changed(now, &old, &view, left);
        self.rows.clear();
        self.unheard_since.clear();
        self.lease_starved.clear();
        self.leaving_members.retain(|who| view.contains(who));
        self.joining.retain(|who, _| !view.contains(who));
        let me = self.me.clone();
        for member in view.members.iter().filter(|member| **member != me) {
            self.with_failure_detector(now, out, |failure_detector, now, more| {
                failure_detector.add_member(now, member, more)
            });
        }
        if view.contains(&self.me) && !old.contains(&self.me) {
            self.joined_at = now;
            // What it waited before it was let in is no sign that it cannot get its lease.
            self.fenced_since = Some(now);
        }
        if self.leaving && !view.contains(&self.me) {
            out.push(Output::Left);
        } else if !view.contains(&self.me)
            && (old.contains(&self.me) || (self.may_have_joined && view.epoch > old.epoch + 1))
        {
            // It was a member, or may have been one in between: a incarnation is let in once at the most.
            self.start_new_incarnation(now, self.me.incarnation + 1, out);
        }
        self.next_check_at = now;
    }

    /// Whoever was put out comes back as another incarnation: whatever it was, others may be that by now.
    fn start_new_incarnation(&mut self, now: Timestamp, incarnation: u64, out: &mut Vec<Output>) {
        self.me = Identity { incarnation, ..self.me.clone() };
        self.seed = self.seed.wrapping_add(1);
        let durable = DurableState {
            view: Some(self.consensus.view().clone()).filter(|v| v.epoch > 0),
            ..DurableState::default()
        };
        self.consensus =
            Consensus::new(self.me.clone(), self.config.terms, &self.config.seeds, durable.clone(), now);
        let others: Vec<Identity> = self
            .consensus
            .view()
            .members
            .iter()
            .filter(|m| m.incarnation > 0 && m.name != self.me.name)
            .cloned()
            .collect();
        self.failure_detector =
            FailureDetector::new(self.me.clone(), self.config.failure_detector, self.seed, now);
        out.push(Output::IncarnationChanged(self.me.clone()));
        out.push(Output::Persist(self.me.clone(), durable));
        for other in others {
            self.with_failure_detector(now, out, |failure_detector, now, more| {
                failure_detector.add_member(now, &other, more)
            });
        }
        self.fenced_since = Some(now);
        self.undecided_since = None;
        self.may_have_joined = false;
    }

    // ---- Coming and going ------------------------------------------------------------------------------

    fn handle_join_request(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        let rows = self.fresh_rows(now);
        match reconfiguration::name_conflict(self.consensus.view(), from, &rows).cloned() {
            Some(there) => out.push(Output::Send(from.clone(), MemberMessage::JoinRejected(there))),
            None if self.joining.len() < MAX_JOINING => _ = self.joining.insert(from.clone(), now),
            None => {}
        }
    }

    fn handle_join_rejected(&mut self, now: Timestamp, there: Identity, out: &mut Vec<Output>) {
        if there.name != self.me.name || self.consensus.view().contains(&self.me) {
            return;
        }
        if there.incarnation >= self.me.incarnation {
            return self.start_new_incarnation(now, there.incarnation + 1, out);
        }
        let since = *self.rejected_since.get_or_insert(now);
        if now.0 - since.0 >= NAME_CONFLICT_LEASES * self.config.terms.lease_us
            && !self.reported_name_conflict
        {
            self.reported_name_conflict = true;
            out.push(Output::NameConflict(there));
        }
    }

    fn request_to_join(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let epoch = self.consensus.view().epoch;
        let offers = epoch > 0 || now >= self.requests_join_from;
        self.may_have_joined |= offers;
        for voter in self.consensus.view().voters() {
            if voter.name != self.me.name {
                out.push(Output::Send(
                    voter.clone(),
                    MemberMessage::Consensus(consensus::Message::ViewRequest { epoch }),
                ));
                if offers {
                    out.push(Output::Send(voter.clone(), MemberMessage::JoinRequest));
                }
            }
        }
        // The voters that it knows of may all be others by now: the seeds are asked as well.
        for name in self.config.seeds.iter().filter(|name| **name != self.me.name && epoch > 0) {
            let seed = Identity { name: Name::clone(name), incarnation: 0 };
            out.push(Output::Send(seed, MemberMessage::Consensus(consensus::Message::ViewRequest { epoch })));
        }
    }

    // ---- The look --------------------------------------------------------------------------------------

    fn check(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let view = self.consensus.view().clone();
        if !view.contains(&self.me) {
            if self.leaving {
                return;
            }
            if let Some(there) = view
                .member_named(&self.me.name)
                .filter(|there| there.incarnation >= self.me.incarnation && there.incarnation > 0)
            {
                let incarnation = there.incarnation + 1;
                self.start_new_incarnation(now, incarnation, out);
            }
            self.request_to_join(now, out);
            if self.may_have_joined && view.epoch == 0 && view.is_voter(&self.me) {
                self.found_fleet(now, &view, out);
            }
            return;
        }
        let me = self.me.clone();
        let tell = |message: MemberMessage, out: &mut Vec<Output>| {
            let others = view.voters().iter().filter(|voter| **voter != me);
            out.extend(others.map(|voter| Output::Send(voter.clone(), message.clone())));
        };
        let unreachable_us = UNREACHABLE_LEASES * self.config.terms.lease_us;
        if self.fenced_since.is_some_and(|since| now.0 - since.0 > unreachable_us) {
            tell(MemberMessage::LeaseStarved, out);
        }
        if self.leaving {
            tell(MemberMessage::Leaving, out);
            self.record_leave(&me, out);
        }
        if view.is_voter(&self.me) {
            let row = self.own_reachability(now, &view);
            tell(MemberMessage::Reachability(row.clone()), out);
            self.rows.insert(self.me.clone(), (row, now));
            self.reconfigure(now, &view, out);
        }
    }

    /// Seeds found the fleet together: the first of them sees to it, the others if it takes too long.
    fn found_fleet(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let place = view.members.iter().position(|m| m.name == self.me.name).unwrap_or(0) as i64;
        let since = self.fenced_since.map_or(0, |since| now.0 - since.0);
        let mine = (since / self.config.terms.ballot_timeout_us) % view.members.len().max(1) as i64 == place;
        if mine && !self.consensus.is_proposing() {
            self.with_consensus(now, out, |consensus, more| consensus.propose(now, Change::default(), more));
        }
    }

    fn own_reachability(&mut self, now: Timestamp, view: &View) -> ReachabilityRow {
        let terms = self.config.terms;
        let check_interval_us = terms.renew_interval_us / 2;
        self.joining.retain(|_, at| now.0 - at.0 < JOIN_REQUEST_LIFETIME_CHECKS * check_interval_us);
        self.lease_starved.retain(|_, at| now.0 - at.0 < ROW_LIFETIME_CHECKS * check_interval_us);
        let heard = |member: &Identity| {
            let quarters =
                if view.is_voter(member) { VOTER_SILENCE_QUARTERS } else { MEMBER_SILENCE_QUARTERS };
            // Whoever has just come in has heard nobody yet.
            let at = self.failure_detector.last_heard_at(member).max(Some(self.joined_at));
            *member == self.me || at.is_some_and(|at| now.0 - at.0 < quarters * terms.renew_interval_us / 4)
        };
        ReachabilityRow {
            epoch: view.epoch,
            hears: view.members.iter().map(heard).collect(),
            fenced: self.consensus.fenced(now),
            lease_starved: self.lease_starved.keys().cloned().collect(),
            joining: self.joining.keys().cloned().collect(),
            leaving: self.leaving_members.clone(),
        }
    }

    fn fresh_rows(&self, now: Timestamp) -> BTreeMap<Identity, ReachabilityRow> {
        let fresh =
            |at: &Timestamp| now.0 - at.0 <= ROW_LIFETIME_CHECKS * self.config.terms.renew_interval_us / 2;
        self.rows
            .iter()
            .filter(|(_, (_, at))| fresh(at))
            .map(|(voter, (row, _))| (voter.clone(), row.clone()))
            .collect()
    }

    /// A voter hears others than it said last: what follows from that need not wait for the next look.
    fn reconfigure_if_reachability_changed(
        &mut self,
        now: Timestamp,
        from: &Identity,
        before: Option<ReachabilityRow>,
        out: &mut Vec<Output>,
    ) {
        // Of the voters alone, and under one view: what comes right after a view, and of the others, is looked at together.
        let voters = self.consensus.view().voters().len();
        let row = self.rows.get(from).map(|(row, _)| row);
        let differs = before.zip(row).is_some_and(|(before, row)| {
            before.epoch == row.epoch && before.hears.iter().take(voters).ne(row.hears.iter().take(voters))
        });
        if differs && self.rows.contains_key(&self.me) {
            let view = self.consensus.view().clone();
            self.reconfigure(now, &view, out);
        }
    }

    /// Whether most voters speak, and have done so for long enough after a time in which they did not: those who come
    /// back do so one after the other, and whoever is heard last would seem to be gone.
    fn has_settled(&mut self, now: Timestamp, quorum_reports: bool) -> bool {
        let renew = self.config.terms.renew_interval_us;
        if !quorum_reports {
            let since = *self.without_quorum_since.get_or_insert(now);
            self.was_without_quorum |= now.0 - since.0 > renew;
            return false;
        }
        self.without_quorum_since = None;
        if std::mem::take(&mut self.was_without_quorum) {
            self.settled_at = Timestamp(now.0 + SETTLING_RENEWALS * renew);
        }
        if now < self.settled_at {
            self.unheard_since.clear();
        }
        now >= self.settled_at
    }

    /// Opens a ballot where it is this voter's turn and something ought to change.
    fn reconfigure(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let rows = self.fresh_rows(now);
        let undecided_since =
            self.consensus.has_undecided_proposal().then(|| *self.undecided_since.get_or_insert(now));
        self.undecided_since = undecided_since;
        let place = view.voters().iter().position(|voter| *voter == self.me).unwrap_or(0) as i64;
        // Whoever has accepted something grants no lease: it does not wait for the steward for long.
        let proposal_is_stalled = undecided_since
            .is_some_and(|since| now.0 - since.0 > self.config.terms.ballot_timeout_us * (2 + place));
        if !self.has_settled(now, reconfiguration::quorum_reports(view, &rows))
            || self.consensus.is_proposing()
        {
            return;
        }
        let unheard = reconfiguration::unheard_by_quorum(view, &self.me, &rows);
        self.unheard_since.retain(|who, _| unheard.contains(who));
        let transient_us = self.config.terms.renew_interval_us / TRANSIENT_DIVISOR;
        for member in unheard {
            self.unheard_since.entry(member).or_insert_with(|| {
                self.next_check_at = self.next_check_at.min(Timestamp(now.0 + transient_us));
                now
            });
        }
        if reconfiguration::proposer(view, &self.me, &rows) != Some(&self.me) && !proposal_is_stalled {
            return;
        }
        let unreachable_us = UNREACHABLE_LEASES * self.config.terms.lease_us;
        let confirmed = |who: &Identity| {
            let gone =
                matches!(self.failure_detector.suspicion(who), Some(Suspicion::Gone | Suspicion::Left));
            let unheard_for_us = self.unheard_since.get(who).map_or(0, |since| now.0 - since.0);
            (gone && unheard_for_us >= transient_us) || unheard_for_us > unreachable_us
        };
        let change = reconfiguration::propose(view, &self.me, &rows, &self.flap_damping, confirmed, now);
        if proposal_is_stalled || view.next(&change).is_some() {
            self.with_consensus(now, out, |consensus, more| consensus.propose(now, change, more));
        }
    }
}
