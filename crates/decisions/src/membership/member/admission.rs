//! Admission: how a process joins the fleet, founds it with others, leaves it, and continues as another
//! incarnation.

use super::{Member, MemberMessage, Output};
use crate::interface::Timestamp;
use crate::membership::consensus::{self, Consensus, DurableState};
use crate::membership::failure_detector::{FailureDetector, Suspicion};
use crate::membership::reconfiguration::ReachabilityMatrix;
use crate::membership::view::{Identity, Name, View, ViewChange};

/// Number of lease durations after which a process that is rejected because of another process of its name
/// reports the conflict. Until then the other one may be its own previous incarnation, whose removal is under
/// way.
const NAME_CONFLICT_LEASES: i64 = 4;
/// Maximum number of processes whose requests to join are remembered.
const MAX_JOINING: usize = 64;

/// The progress of this process in joining the fleet.
pub(super) struct JoinProgress {
    /// When the process starts to request admission. Before that it only looks for an existing fleet.
    request_from: Timestamp,
    /// Whether this incarnation may have been admitted: it has requested admission, or taken part in founding
    /// the fleet.
    may_have_joined: bool,
    /// When the process was first rejected because of another incarnation of its name.
    rejected_since: Option<Timestamp>,
    has_reported_conflict: bool,
}

impl JoinProgress {
    pub(super) fn new(request_from: Timestamp) -> Self {
        Self { request_from, may_have_joined: false, rejected_since: None, has_reported_conflict: false }
    }
}

impl Member {
    /// Records that this process takes part in founding the fleet, if the message is a ballot for the first
    /// view.
    pub(super) fn record_founding(&mut self, message: &consensus::Message) {
        let is_ballot =
            matches!(message, consensus::Message::Prepare { .. } | consensus::Message::Accept { .. });
        self.join.may_have_joined |= is_ballot && self.consensus.view().epoch == 0;
    }

    /// Records that a member is leaving, as reported by itself or by a voter.
    pub(super) fn record_leave(&mut self, member: &Identity, out: &mut Vec<Output>) {
        if self.consensus.view().contains(member) && self.leaving_members.insert(member.clone()) {
            out.push(Output::SuspicionChanged(member.clone(), Suspicion::Left));
        }
    }

    /// Handles a change of the view that may admit or remove this process. An incarnation is a member at most
    /// once: a process that was removed, or may have been admitted and removed in views that it missed,
    /// continues as another incarnation.
    pub(super) fn update_own_membership(
        &mut self,
        now: Timestamp,
        old: &View,
        view: &View,
        out: &mut Vec<Output>,
    ) {
        let was_member = old.contains(&self.me);
        if view.contains(&self.me) {
            if !was_member {
                self.joined_at = now;
                // The time before the admission does not count towards reporting a missing lease.
                self.fenced_since = Some(now);
            }
            return;
        }
        let missed_views = view.epoch > old.epoch + 1;
        if self.leaving {
            out.push(Output::Left);
        } else if was_member || (self.join.may_have_joined && missed_views) {
            self.start_new_incarnation(now, self.me.incarnation + 1, out);
        }
    }

    /// Continues as another incarnation of this process's name, which has not voted yet.
    fn start_new_incarnation(&mut self, now: Timestamp, incarnation: u64, out: &mut Vec<Output>) {
        self.me = Identity { incarnation, ..self.me.clone() };
        self.random_seed = self.random_seed.wrapping_add(1);
        let view = self.consensus.view().clone();
        let durable =
            DurableState { view: Some(view).filter(|view| view.epoch > 0), ..DurableState::default() };
        self.consensus =
            Consensus::new(self.me.clone(), self.config.terms, &self.config.founders, durable.clone(), now);
        self.failure_detector =
            FailureDetector::new(self.me.clone(), self.config.failure_detector, self.random_seed, now);
        out.push(Output::IncarnationChanged(self.me.clone()));
        out.push(Output::Persist(self.me.clone(), durable));
        let (me, members) = (self.me.clone(), self.consensus.view().members.clone());
        let is_other = |member: &&Identity| member.incarnation > 0 && member.name != me.name;
        for other in members.iter().filter(is_other) {
            self.with_failure_detector(now, out, |detector, now, outputs| {
                detector.add_member(now, other, outputs);
            });
        }
        self.fenced_since = Some(now);
        self.undecided_since = None;
        self.join.may_have_joined = false;
    }

    /// Remembers a process that requests to join, or rejects it while another incarnation of its name is a
    /// live member.
    pub(super) fn handle_join_request(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        let rows = self.fresh_rows(now);
        let matrix = ReachabilityMatrix { view: self.consensus.view(), rows: &rows };
        match matrix.name_conflict(from).cloned() {
            Some(namesake) => {
                out.push(Output::Send(from.clone(), MemberMessage::JoinRejected(namesake)));
            }
            None if self.joining.len() < MAX_JOINING => _ = self.joining.insert(from.clone(), now),
            None => {}
        }
    }

    /// Continues as a later incarnation than the one that is a member; reports a conflict of names if
    /// rejections go on.
    pub(super) fn handle_join_rejected(&mut self, now: Timestamp, namesake: Identity, out: &mut Vec<Output>) {
        if namesake.name != self.me.name || self.consensus.view().contains(&self.me) {
            return;
        }
        if namesake.incarnation >= self.me.incarnation {
            return self.start_new_incarnation(now, namesake.incarnation + 1, out);
        }
        let since = *self.join.rejected_since.get_or_insert(now);
        let report_after_us = NAME_CONFLICT_LEASES * self.config.terms.lease_us;
        if now.0 - since.0 >= report_after_us && !self.join.has_reported_conflict {
            self.join.has_reported_conflict = true;
            out.push(Output::NameConflict(namesake));
        }
    }

    /// Runs the periodic check of a process that is not a member: requests admission, or founds the fleet
    /// with the other founders.
    pub(super) fn check_as_outsider(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        let is_taken =
            |member: &&Identity| member.incarnation >= self.me.incarnation && member.incarnation > 0;
        if let Some(namesake) = view.member_named(&self.me.name).filter(is_taken) {
            self.start_new_incarnation(now, namesake.incarnation + 1, out);
        }
        self.request_to_join(now, out);
        if self.join.may_have_joined && view.epoch == 0 && view.is_voter(&self.me) {
            self.found_fleet(now, view, out);
        }
    }

    fn request_to_join(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let epoch = self.consensus.view().epoch;
        let requests_admission = epoch > 0 || now >= self.join.request_from;
        self.join.may_have_joined |= requests_admission;
        let view_request = MemberMessage::Consensus(consensus::Message::ViewRequest { epoch });
        for voter in self.consensus.view().voters().iter().filter(|voter| voter.name != self.me.name) {
            out.push(Output::Send(voter.clone(), view_request.clone()));
            if requests_admission {
                out.push(Output::Send(voter.clone(), MemberMessage::JoinRequest));
            }
        }
        // All voters of the view known here may have been replaced, so the latest view is requested from the
        // founders as well.
        for name in self.config.founders.iter().filter(|name| **name != self.me.name && epoch > 0) {
            let founder = Identity { name: Name::clone(name), incarnation: 0 };
            out.push(Output::Send(founder, view_request.clone()));
        }
    }

    /// Proposes the first view. The founders take turns of one ballot timeout each.
    fn found_fleet(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let position = view.members.iter().position(|member| member.name == self.me.name).unwrap_or(0) as i64;
        let waited_us = self.fenced_since.map_or(0, |since| now.0 - since.0);
        let turn = (waited_us / self.config.terms.ballot_timeout_us) % view.members.len().max(1) as i64;
        if turn == position && !self.consensus.is_proposing() {
            self.with_consensus(now, out, |consensus, outputs| {
                consensus.propose(now, ViewChange::default(), outputs);
            });
        }
    }
}
