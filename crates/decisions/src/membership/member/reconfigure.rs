//! Reports of a member to the voters, and the decision of a voter to open a ballot for another view.

use super::{Member, MemberMessage, Output, ReceivedRow};
use crate::interface::Timestamp;
use crate::membership::failure_detector::Suspicion;
use crate::membership::reconfiguration::{ReachabilityMatrix, ReachabilityRow, ReconfigurationPolicy};
use crate::membership::view::{Identity, View};
use std::collections::{BTreeMap, BTreeSet};

/// Number of checks of the view in each interval between lease requests.
const CHECKS_PER_RENEWAL: i64 = 2;
/// Silence after which a voter counts as unheard, in quarters of the interval between lease requests. A voter
/// sends twice in each interval.
const VOTER_SILENCE_QUARTERS: i64 = 5;
/// Silence after which any other member counts as unheard, in quarters of the interval between lease
/// requests. One request may get lost.
const MEMBER_SILENCE_QUARTERS: i64 = 9;
/// A member that is gone is removed once it has been unheard for the interval between lease requests divided
/// by this.
const TRANSIENT_DIVISOR: i64 = 4;
/// Number of check intervals for which the reports of voters, and of missing leases, remain valid.
const REPORT_LIFETIME_CHECKS: i64 = 4;
/// Number of check intervals for which a request to join remains valid.
const JOIN_REQUEST_LIFETIME_CHECKS: i64 = 5;
/// Number of lease durations after which a member without contact to a quorum, or without a lease, is removed
/// even if the failure detector considers it alive.
const UNREACHABLE_LEASES: i64 = 2;
/// Number of intervals between lease requests for which a voter proposes no change after a long time without
/// a quorum.
const SETTLING_RENEWALS: i64 = 2;

/// Tracks whether a quorum of voters has been reporting for long enough to act on the reports. Voters that
/// return after an outage are heard again one after the other, and the last ones would seem to be gone. So
/// after a long time without a quorum, reports are ignored for a while.
pub(super) struct QuorumHistory {
    without_quorum_since: Option<Timestamp>,
    /// Whether the current or last time without a quorum was longer than one interval between lease requests.
    was_long_without_quorum: bool,
    /// When reports start to count again.
    settled_at: Timestamp,
}

impl QuorumHistory {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { without_quorum_since: None, was_long_without_quorum: false, settled_at: now }
    }

    /// Records whether a quorum reports at this time. Returns whether it has done so for long enough.
    fn record(&mut self, now: Timestamp, has_quorum: bool, renew_interval_us: i64) -> bool {
        if !has_quorum {
            let since = *self.without_quorum_since.get_or_insert(now);
            self.was_long_without_quorum |= now.0 - since.0 > renew_interval_us;
            return false;
        }
        self.without_quorum_since = None;
        if std::mem::take(&mut self.was_long_without_quorum) {
            self.settled_at = Timestamp(now.0 + SETTLING_RENEWALS * renew_interval_us);
        }
        now >= self.settled_at
    }
}

impl Member {
    pub(super) fn check_interval_us(&self) -> i64 {
        self.config.terms.renew_interval_us / CHECKS_PER_RENEWAL
    }

    fn unreachable_after_us(&self) -> i64 {
        UNREACHABLE_LEASES * self.config.terms.lease_us
    }

    /// Reports to the voters and, if this process votes, looks for a change to propose.
    pub(super) fn check(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let view = self.consensus.view().clone();
        if !view.contains(&self.me) {
            return self.check_as_outsider(now, &view, out);
        }
        let unreachable_after_us = self.unreachable_after_us();
        if self.fenced_since.is_some_and(|since| now.0 - since.0 > unreachable_after_us) {
            self.send_to_other_voters(&view, &MemberMessage::LeaseStarved, out);
        }
        if self.leaving {
            self.send_to_other_voters(&view, &MemberMessage::Leaving, out);
            let me = self.me.clone();
            self.record_leave(&me, out);
        }
        if view.is_voter(&self.me) {
            let row = self.own_row(now, &view);
            self.send_to_other_voters(&view, &MemberMessage::Reachability(row.clone()), out);
            self.rows.insert(self.me.clone(), ReceivedRow { row, received_at: now });
            self.reconfigure(now, &view, out);
        }
    }

    fn send_to_other_voters(&self, view: &View, message: &MemberMessage, out: &mut Vec<Output>) {
        let others = view.voters().iter().filter(|voter| **voter != self.me);
        out.extend(others.map(|voter| Output::Send(voter.clone(), message.clone())));
    }

    /// Returns the report of this voter, without join requests and reports of missing leases that are too
    /// old.
    fn own_row(&mut self, now: Timestamp, view: &View) -> ReachabilityRow {
        let check_us = self.check_interval_us();
        self.joining.retain(|_, at| now.0 - at.0 < JOIN_REQUEST_LIFETIME_CHECKS * check_us);
        self.lease_starved.retain(|_, at| now.0 - at.0 < REPORT_LIFETIME_CHECKS * check_us);
        ReachabilityRow {
            epoch: view.epoch,
            hears: view.members.iter().map(|member| self.hears(now, view, member)).collect(),
            fenced: self.consensus.is_fenced(now),
            lease_starved: self.lease_starved.keys().cloned().collect(),
            joining: self.joining.keys().cloned().collect(),
            leaving: self.leaving_members.clone(),
        }
    }

    /// Returns whether this process has heard a member recently. A process counts as having heard all members
    /// at the moment of its own admission.
    fn hears(&self, now: Timestamp, view: &View, member: &Identity) -> bool {
        let quarters = match view.is_voter(member) {
            true => VOTER_SILENCE_QUARTERS,
            false => MEMBER_SILENCE_QUARTERS,
        };
        let silence_us = quarters * self.config.terms.renew_interval_us / 4;
        let heard_at = self.failure_detector.last_heard_at(member).max(Some(self.joined_at));
        *member == self.me || heard_at.is_some_and(|at| now.0 - at.0 < silence_us)
    }

    /// Returns the reports that are still valid.
    pub(super) fn fresh_rows(&self, now: Timestamp) -> BTreeMap<Identity, ReachabilityRow> {
        let lifetime_us = REPORT_LIFETIME_CHECKS * self.config.terms.renew_interval_us / CHECKS_PER_RENEWAL;
        self.rows
            .iter()
            .filter(|(_, received)| now.0 - received.received_at.0 <= lifetime_us)
            .map(|(voter, received)| (voter.clone(), received.row.clone()))
            .collect()
    }

    /// Handles a voter's report. If the voters that it hears differ from those in its last report on the same
    /// view, the reports are evaluated at once. Changes that concern other members, or follow a new view,
    /// wait for the next check and are evaluated together.
    pub(super) fn handle_reachability(
        &mut self,
        now: Timestamp,
        from: &Identity,
        row: ReachabilityRow,
        out: &mut Vec<Output>,
    ) {
        if !self.consensus.view().is_voter(from) {
            return;
        }
        row.leaving.iter().for_each(|member| self.record_leave(member, out));
        let voters = self.consensus.view().voters().len();
        let heard_voters =
            |row: &ReachabilityRow| -> Vec<bool> { row.hears.iter().take(voters).copied().collect() };
        let (epoch, hears) = (row.epoch, heard_voters(&row));
        let previous = self.rows.insert(from.clone(), ReceivedRow { row, received_at: now });
        let has_changed = previous
            .is_some_and(|previous| previous.row.epoch == epoch && heard_voters(&previous.row) != hears);
        if has_changed && self.rows.contains_key(&self.me) {
            let view = self.consensus.view().clone();
            self.reconfigure(now, &view, out);
        }
    }

    /// Opens a ballot if the view should change and it is this voter's turn to propose.
    fn reconfigure(&mut self, now: Timestamp, view: &View, out: &mut Vec<Output>) {
        let (me, rows) = (self.me.clone(), self.fresh_rows(now));
        let matrix = ReachabilityMatrix { view, rows: &rows };
        let is_stalled = self.undecided_proposal_is_stalled(now, view);
        let has_quorum = matrix.has_quorum_of_reports();
        if !self.quorum_history.record(now, has_quorum, self.config.terms.renew_interval_us) {
            if has_quorum {
                self.unheard_since.clear();
            }
            return;
        }
        if self.consensus.is_proposing() {
            return;
        }
        self.update_unheard(now, matrix.unheard_by_quorum(&me));
        let policy = ReconfigurationPolicy { me: &me, matrix };
        if policy.proposer() != Some(&me) && !is_stalled {
            return;
        }
        let is_confirmed = |member: &Identity| self.is_confirmed_unreachable(now, member);
        let change = policy.propose(&self.flap_damping, is_confirmed, now);
        if is_stalled || view.next(&change).is_some() {
            self.with_consensus(now, out, |consensus, outputs| consensus.propose(now, change, outputs));
        }
    }

    /// Returns whether a proposal accepted here has been undecided for so long that this voter opens a ballot
    /// without waiting for its turn, since it grants no leases meanwhile. The timeout grows with the voter's
    /// position in the view.
    fn undecided_proposal_is_stalled(&mut self, now: Timestamp, view: &View) -> bool {
        let is_undecided = self.consensus.has_undecided_proposal();
        self.undecided_since = is_undecided.then(|| self.undecided_since.unwrap_or(now));
        let position = view.voters().iter().position(|voter| *voter == self.me).unwrap_or(0) as i64;
        let timeout_us = self.config.terms.ballot_timeout_us * (2 + position);
        self.undecided_since.is_some_and(|since| now.0 - since.0 > timeout_us)
    }

    /// Returns the duration up to which a silence may be a transient loss of messages, in microseconds.
    fn transient_us(&self) -> i64 {
        self.config.terms.renew_interval_us / TRANSIENT_DIVISOR
    }

    /// Records since when each member is unheard, and schedules a check for when that is no longer transient.
    fn update_unheard(&mut self, now: Timestamp, unheard: BTreeSet<Identity>) {
        let confirmed_at = Timestamp(now.0 + self.transient_us());
        self.unheard_since.retain(|member, _| unheard.contains(member));
        for member in unheard {
            self.unheard_since.entry(member).or_insert_with(|| {
                self.next_check_at = self.next_check_at.min(confirmed_at);
                now
            });
        }
    }

    /// Returns whether a member that no quorum hears should be removed: the failure detector agrees and the
    /// silence is longer than a transient loss of messages, or the silence has lasted for a long time.
    fn is_confirmed_unreachable(&self, now: Timestamp, member: &Identity) -> bool {
        let suspicion = self.failure_detector.suspicion(member);
        let is_gone = matches!(suspicion, Some(Suspicion::Gone | Suspicion::Left));
        let unheard_us = self.unheard_since.get(member).map_or(0, |since| now.0 - since.0);
        (is_gone && unheard_us >= self.transient_us()) || unheard_us > self.unreachable_after_us()
    }
}
