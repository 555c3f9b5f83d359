//! Decided views: their adoption, and when a removed member may be replaced.

use super::{Consensus, Event, Output};
use crate::interface::Timestamp;
use crate::membership::view::{Identity, View};

/// Maximum number of removed members that are remembered. One that is forgotten can never be taken over.
const MAX_EVICTED: usize = 4_096;

impl Consensus {
    /// Returns whether another process may act in place of an incarnation: consensus has removed it, and it
    /// knows so, since its lease has expired. Returns `false` for an incarnation that this process has never
    /// seen as a member, since it may have been admitted meanwhile.
    pub fn can_take_over(&self, member: &Identity, now: Timestamp) -> bool {
        self.evicted.get(member).is_some_and(|at| now >= *at)
    }

    /// Adopts a decided view if it is later than the current one.
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

    /// Records when each member that the current view removes may be replaced: once its lease has certainly
    /// expired.
    fn record_evicted(&mut self, now: Timestamp) {
        let expired_at = self.terms.grantor_expired_at(now);
        let previous = self.previous_view.members.iter().filter(|member| member.incarnation > 0);
        for member in previous.filter(|member| !self.view.members.contains(member)) {
            self.evicted.insert(member.clone(), expired_at);
        }
        while self.evicted.len() > MAX_EVICTED {
            let oldest = self.evicted.iter().min_by_key(|(_, at)| **at).map(|(member, _)| member.clone());
            oldest.into_iter().for_each(|member| _ = self.evicted.remove(&member));
        }
    }

    /// Withholds leases from members that the current view admits while another incarnation of their name may
    /// still hold one: it was removed a short time ago, or this process missed views in which it may have
    /// been removed.
    fn delay_leases_of_admitted(&mut self, now: Timestamp) {
        let expired_at = self.terms.grantor_expired_at(now);
        self.no_grant_before.retain(|_, at| *at > now);
        let missed_views = self.view.epoch > self.previous_view.epoch + 1;
        let admitted = self.view.members.iter().filter(|member| !self.previous_view.members.contains(member));
        for member in admitted {
            let namesake_may_hold_lease =
                |(evicted, at): (&Identity, &Timestamp)| evicted.name == member.name && *at > now;
            if missed_views || self.evicted.iter().any(namesake_may_hold_lease) {
                self.no_grant_before.insert(member.clone(), expired_at);
            }
        }
    }
}
