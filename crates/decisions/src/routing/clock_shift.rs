//! Corrections of the difference between the hosts' clock and the router's.

use super::freshness::NO_POSITION;
use super::Router;
use crate::interface::{LogPosition, TimeDelta, Timestamp};

impl Router {
    /// Corrects what was derived from the hosts' clock, which is further ahead by `shift_us` microseconds
    /// than was presumed. In doubt data counts as older than it is.
    pub fn shift_host_clock(&mut self, now: Timestamp, shift_us: i64) {
        self.now = now;
        self.shift_hosts(TimeDelta(shift_us));
        if shift_us < 0 {
            // Commits that are remembered look older now than they are.
            self.sessions.shift(-shift_us);
            let requests = self.requests.iter_mut();
            for request in requests.filter(|request| request.minimum_position != NO_POSITION) {
                request.minimum_position = request.minimum_position.max(LogPosition(now.0));
            }
        }
    }

    fn shift_hosts(&mut self, shift: TimeDelta) {
        let earlier = |at: Timestamp| Timestamp(at.0.saturating_sub(shift.0));
        for (_, host) in self.hosts.iter_mut() {
            if shift.0 > 0 {
                // Positions ahead of the clock were ignored, and the others may be wrong.
                host.applied_position = LogPosition::default();
                host.position_observed_at = None;
            }
            if host.start_is_listed {
                host.started_at = host.started_at.map(earlier);
            }
        }
    }
}
