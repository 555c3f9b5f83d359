//! Adjusts the state of the router to a correction of the offset of the hosts' clock.

use super::freshness::NO_POSITION;
use super::Router;
use crate::interface::{LogPosition, TimeDelta, Timestamp};

impl Router {
    /// Adjusts the times and positions that were derived from the hosts' clock, after its estimated offset
    /// rose by `shift_us` microseconds. The offset is the time by which the hosts' clock is ahead of the
    /// router's. Where the result is uncertain, data counts as older than it is.
    pub fn shift_host_clock(&mut self, now: Timestamp, shift_us: i64) {
        self.now = now;
        self.shift_hosts(TimeDelta(shift_us));
        if shift_us < 0 {
            // Recorded commits now look older than they are.
            self.sessions.shift(TimeDelta(-shift_us));
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
                // Positions ahead of the clock were ignored, and the accepted ones may be wrong.
                host.applied_position = LogPosition::default();
                host.position_observed_at = None;
            }
            if host.start_is_listed {
                host.started_at = host.started_at.map(earlier);
            }
        }
    }
}
