//! What the router knows in the hosts' time, when the difference between that and its own is set anew.

use super::Router;
use crate::interface::{LogPosition, TimeDelta, Timestamp};

impl Router {
    /// The hosts' clock turned out to be further ahead by `shift_us` than was held: what was derived from it moves. Whatever
    /// is not sure errs towards data that looks older than it is.
    pub fn rebase(&mut self, now: Timestamp, shift_us: i64) {
        self.now = now;
        let earlier = |moment: Timestamp| Timestamp(moment.0.saturating_sub(shift_us));
        for host in self.hosts.values_mut() {
            if shift_us > 0 {
                // Positions beyond the clock were not taken, and those that were may be anything.
                host.known = LogPosition::default();
                host.heard = None;
            }
            if host.start_is_listed {
                host.started = host.started.map(earlier);
            }
        }
        if shift_us < 0 {
            // Commits that were kept look older now than they are.
            self.sessions.shift(TimeDelta(-shift_us));
            for open in self.open.values_mut().filter(|open| open.token.0 != i64::MIN) {
                open.token = open.token.max(LogPosition(now.0));
            }
        }
    }
}
