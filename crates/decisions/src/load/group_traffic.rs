//! Counts of the requests that arrive for a group and of those that its hosts serve. Rejected clients retry,
//! so many more requests may arrive than the hosts can serve.

use super::ByRole;
use crate::interface::{Role, TimeDelta, Timestamp};

#[cfg(test)]
mod tests;

/// Requests that are assumed to have arrived and been served before the first one, because the first few say
/// little.
const ASSUMED_REQUESTS: f64 = 2.0;

/// Decaying counts of requests.
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

/// Size and traffic of one group. Requests are counted by the role that serves them.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupTraffic {
    peak_members: usize,
    requests: ByRole<RequestCounts>,
}

impl GroupTraffic {
    /// Records the current number of members of the group.
    pub fn record_members(&mut self, members: usize) {
        self.peak_members = self.peak_members.max(members);
    }

    /// Returns the largest number of members that the group has had, at least 1.
    pub fn peak_members(&self) -> usize {
        self.peak_members.max(1)
    }

    /// Counts the arrival of a request for this role.
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

    /// Returns the fraction of the arriving requests for this role that are served, at most 1.
    pub fn served_fraction(&self, role: Role) -> f64 {
        let counts = self.requests.get(role);
        ((counts.served + ASSUMED_REQUESTS) / (counts.arrived + ASSUMED_REQUESTS)).min(1.0)
    }

    /// Returns the fraction of the arriving requests for this role that one host serves.
    ///
    /// The primary serves all requests for its role. Reads are divided by the peak number of members rather
    /// than the current one; otherwise the last remaining host would attract all of them.
    pub fn served_fraction_per_host(&self, role: Role) -> f64 {
        let hosts = match role {
            Role::Primary => 1,
            Role::Replica => self.peak_members(),
        };
        self.served_fraction(role) / hosts as f64
    }
}
