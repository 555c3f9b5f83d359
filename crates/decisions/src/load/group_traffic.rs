//! Requests that arrive for a group, and those that its hosts serve. Rejected clients come again, so that
//! arrivals may be many times what the hosts can serve.

use super::ByRole;
use crate::interface::{Role, TimeDelta, Timestamp};

#[cfg(test)]
mod tests;

/// Requests presumed to have arrived and been served before the first: the first few tell nothing.
const PRESUMED_REQUESTS: f64 = 2.0;

/// Recent requests; older ones count less.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    arrived: f64,
    served: f64,
    updated_at: Timestamp,
}

impl RequestCounts {
    fn decay(&mut self, now: Timestamp, time_constant: TimeDelta) {
        let age_us = (now.0 - self.updated_at.0).max(0) as f64;
        let remaining = (-age_us / time_constant.0.max(1) as f64).exp();
        self.arrived *= remaining;
        self.served *= remaining;
        self.updated_at = now;
    }
}

/// Size and traffic of one group. Requests are told apart by the role that serves them.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupTraffic {
    peak_members: usize,
    requests: ByRole<RequestCounts>,
}

impl GroupTraffic {
    /// Records how many members the group has now.
    pub fn record_members(&mut self, members: usize) {
        self.peak_members = self.peak_members.max(members);
    }

    /// Returns the most members that the group has had at once, at least 1.
    pub fn peak_members(&self) -> usize {
        self.peak_members.max(1)
    }

    /// Counts a request for this role that has arrived.
    pub fn record_arrival(&mut self, role: Role, now: Timestamp, time_constant: TimeDelta) {
        let counts = self.requests.get_mut(role);
        counts.decay(now, time_constant);
        counts.arrived += 1.0;
    }

    /// Counts a request for this role that a host has served.
    pub fn record_served(&mut self, role: Role, now: Timestamp, time_constant: TimeDelta) {
        let counts = self.requests.get_mut(role);
        counts.decay(now, time_constant);
        counts.served += 1.0;
    }

    /// Returns the fraction of the arriving requests for this role that is served, at most 1.
    pub fn served_fraction(&self, role: Role) -> f64 {
        let counts = self.requests.get(role);
        ((counts.served + PRESUMED_REQUESTS) / (counts.arrived + PRESUMED_REQUESTS)).min(1.0)
    }

    /// Returns the fraction of the arriving requests for this role that one host serves. The primary serves
    /// all of its own; reads are shared by as many members as the group has had at most, or the last one
    /// left would draw all.
    pub fn served_fraction_per_host(&self, role: Role) -> f64 {
        let hosts = match role {
            Role::Primary => 1,
            Role::Replica => self.peak_members(),
        };
        self.served_fraction(role) / hosts as f64
    }
}
