//! Leases, which allow a process to act as a member for a limited time: requests, grants and fencing.

use super::{Consensus, Event, Message, Output};
use crate::interface::Timestamp;
use crate::membership::view::Identity;
use std::collections::BTreeSet;

/// Factor by which requests become more frequent while less than half of the lease is left, since grants may
/// get lost.
const URGENT_RENEWAL_FACTOR: i64 = 4;

impl Consensus {
    /// Returns whether this process must not act as a member at this time. Has to be called immediately
    /// before each act, since the process may have been paused since the last event.
    pub fn is_fenced(&self, now: Timestamp) -> bool {
        !self.view.contains(&self.me) || self.lease_until.is_none_or(|until| now >= until)
    }

    /// Returns how long the lease remains valid, in microseconds; 0 while fenced.
    pub fn lease_left_us(&self, now: Timestamp) -> i64 {
        if self.is_fenced(now) {
            return 0;
        }
        self.lease_until.map_or(0, |until| until.0 - now.0)
    }

    /// Returns when the last lease ends on this process's own clock; it may have ended already.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.lease_until
    }

    /// Requests the lease from all voters.
    pub(super) fn request_lease(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let is_urgent = self.lease_until.is_none_or(|until| until.0 - now.0 < self.terms.lease_us / 2);
        let interval_us = match is_urgent {
            true => self.terms.renew_interval_us / URGENT_RENEWAL_FACTOR,
            false => self.terms.renew_interval_us,
        };
        self.renew_lease_at = Timestamp(now.0 + interval_us);
        // A lease granted for an older request would have expired by now.
        let terms = self.terms;
        self.lease_requests.retain(|sent_at, _| terms.holder_valid_until(*sent_at) > now);
        self.lease_requests.insert(now, BTreeSet::new());
        let request = Message::LeaseRequest { epoch: self.view.epoch, sent_at: now };
        self.broadcast_to_voters(now, &request, out);
    }

    /// Returns whether this process may grant a lease to a member: this process votes, has accepted no
    /// proposal under this view, the leases that it granted before a restart have expired, and no other
    /// incarnation of the member's name may still hold a lease.
    pub(super) fn may_grant(&self, now: Timestamp, to: &Identity) -> bool {
        self.view.contains(to)
            && self.view.is_voter(&self.me)
            && self.accepted.is_none()
            && now >= self.grants_from
            && self.no_grant_before.get(to).is_none_or(|at| now >= *at)
    }

    pub(super) fn handle_lease_grant(
        &mut self,
        now: Timestamp,
        from: &Identity,
        sent_at: Timestamp,
        out: &mut Vec<Output>,
    ) {
        let is_voter = self.view.is_voter(from);
        let Some(grantors) = self.lease_requests.get_mut(&sent_at).filter(|_| is_voter) else { return };
        grantors.insert(from.clone());
        if grantors.len() >= self.view.quorum() {
            let until = self.terms.holder_valid_until(sent_at);
            self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
            self.lease_requests.retain(|other, _| *other > sent_at);
            self.report_fencing(now, out);
        }
    }

    /// Emits an event if this process has become fenced or unfenced since the last one.
    pub(super) fn report_fencing(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let is_fenced = self.is_fenced(now);
        if is_fenced != self.reported_fenced {
            self.reported_fenced = is_fenced;
            out.push(Output::Event(if is_fenced { Event::Fenced } else { Event::Unfenced }));
        }
    }
}
