//! Decided views: how one is adopted, and when a member that it removes may be replaced.

use super::{Consensus, Event, Output};
use crate::interface::Timestamp;
use crate::membership::view::{Identity, View};

/// Bound on the removed members that are remembered. Those that are forgotten can never be taken over.
const MAX_EVICTED_REMEMBERED: usize = 4_096;

impl Consensus {
    /// Returns whether an incarnation was removed by consensus and knows it: another process may act in its place. Says
    /// no of one that this process has never seen as a member, since it may have been admitted meanwhile.
    pub fn can_take_over(&self, member: &Identity, now: Timestamp) -> bool {
        self.evicted.get(member).is_some_and(|at| now >= *at)
    }

    /// Adopts a decided view if it is later than the present one.
    pub(super) fn adopt_view(&mut self, now: Timestamp, view: View, out: &mut Vec<Output>) {
        if view.epoch <= self.view.epoch {
            if view.epoch == self.view.epoch && view != self.view && view.epoch > 0 {
                out.push(Output::Event(Event::ConflictingView(view)));
            }
            return;
        }
        self.previous_view = std::mem::replace(&mut self.view, view);
        self.record_evicted(now);
        self.delay_leases_of_admitted(now);
        self.promised = None;
        self.accepted = None;
        self.proposal = None;
        self.lease_requests.clear();
        self.persist(out);
        out.push(Output::Event(Event::View(self.view.clone())));
        self.report_fencing(now, out);
        if self.view.contains(&self.me) {
            self.request_lease(now, out);
        }
    }

    /// Records from when on each member that the present view removes may be replaced: its lease has run out by then.
    fn record_evicted(&mut self, now: Timestamp) {
        let expired_at = self.terms.grantor_expired_at(now);
        let before = self.previous_view.members.iter().filter(|member| member.incarnation > 0);
        for member in before.filter(|member| !self.view.members.contains(member)) {
            self.evicted.insert(member.clone(), expired_at);
        }
        while self.evicted.len() > MAX_EVICTED_REMEMBERED {
            let oldest = self.evicted.iter().min_by_key(|(_, at)| **at).map(|(member, _)| member.clone());
            oldest.into_iter().for_each(|member| _ = self.evicted.remove(&member));
        }
    }

    /// Withholds leases from members that the present view admits while another incarnation of their name may hold one:
    /// it was removed a moment ago, or views were missed in which that may have happened.
    fn delay_leases_of_admitted(&mut self, now: Timestamp) {
        let expired_at = self.terms.grantor_expired_at(now);
        self.not_before.retain(|_, at| *at > now);
        let missed_views = self.view.epoch > self.previous_view.epoch + 1;
        let admitted = self.view.members.iter().filter(|member| !self.previous_view.members.contains(member));
        for member in admitted {
            let namesake_may_hold_lease =
                |(evicted, at): (&Identity, &Timestamp)| evicted.name == member.name && *at > now;
            if missed_views || self.evicted.iter().any(namesake_may_hold_lease) {
                self.not_before.insert(member.clone(), expired_at);
            }
        }
    }
}
