//! The health of hosts, judged against their peers: which ones rest, which err, and how much each may hold.

use super::{role_of, Attempt, Host, Router};
use super::{
    CROWDED, CROWD_GAIN, ERRING, ERRORS_FADE_US, GAIN, LATE, LATE_FADES_US, LIMIT, LIMIT_STEP, REST_US,
    SILENT,
};
use crate::interface::{
    Action, AttemptResult, Freshness, HostId, HostState, Outcome, Role, TimeDelta, Timestamp,
};
use std::collections::BTreeSet;

impl Router {
    /// Listed hosts that get nothing, or only where there is no other: those that drain, rest or err.
    pub fn avoided(&self) -> usize {
        let bad = |h: &Host| !self.usable(h) || h.rest.is_open(self.now) || self.errs(h) > ERRING.0;
        self.hosts.values().filter(|h| h.listed != HostState::Removed && bad(h)).count()
    }

    pub(super) fn judge(&mut self, attempt: &Attempt, r: &AttemptResult) {
        let aim = self.s.classes[attempt.class].latency_objective.0 as f64;
        let floor = (LIMIT.1 / f64::from(self.s.router_count)).max(1.0);
        let latency = r.latency.0 as f64;
        let Some(host) = self.hosts.get_mut(&attempt.host) else { return };
        if matches!(r.outcome, Outcome::Ok | Outcome::Error) {
            let erred = f64::from(u8::from(r.outcome == Outcome::Error));
            host.errs.record(self.now, erred, GAIN, ERRORS_FADE_US);
        }
        host.in_flight = host.in_flight.saturating_sub(1);
        match r.outcome {
            _ if self.s.classes[attempt.class].freshness != Freshness::Write => {}
            Outcome::Misdirected => host.declined = Some(self.now),
            Outcome::Ok => host.declined = None,
            _ => {}
        }
        match r.outcome {
            Outcome::Ok | Outcome::Misdirected | Outcome::Stale | Outcome::Error => {
                host.rest.record_response();
                host.alive = Some(self.now);
            }
            // A host that fails at once looks idle and would draw everything. Covers draining not yet listed,
            // full queues, dead processes. One that answered lately is not dead, only full: its first rest is
            // short, since it could serve most.
            Outcome::Overloaded | Outcome::Reset | Outcome::ConnectFailed => {
                let served = host.alive.is_some_and(|at| self.now.0 - at.0 < REST_US.1);
                let dead = r.outcome == Outcome::ConnectFailed && !served;
                let rest = if dead { REST_US.0 } else { self.pace[attempt.class].mean_us as i64 / 4 };
                self.failed(attempt.host, rest);
            }
            Outcome::Timeout if latency >= LATE * self.pace[attempt.class].mean_us => {
                self.failed(attempt.host, REST_US.0)
            }
            _ => {}
        }
        let Some(host) = self.hosts.get_mut(&attempt.host) else { return };
        let crowded = latency > CROWDED * aim;
        if matches!(r.outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Timeout) {
            let sample = if r.outcome == Outcome::Overloaded { 2.0 } else { (latency / aim).min(3.0) };
            let primary = matches!(host.role, Some((Role::Primary, _)));
            host.late.record(self.now, sample, CROWD_GAIN, LATE_FADES_US);
            self.crowd.record(host.group, role_of(primary), self.now, sample);
        }
        if r.outcome == Outcome::Overloaded
            || (crowded && matches!(r.outcome, Outcome::Ok | Outcome::Timeout))
        {
            host.limit = (host.limit * LIMIT_STEP.0).max(floor);
        } else if r.outcome == Outcome::Ok && f64::from(host.in_flight) + 2.0 > host.limit {
            host.limit = (host.limit * LIMIT_STEP.1).min(LIMIT.0);
        }
        let pace = self.pace.get_mut(attempt.class).filter(|_| r.outcome == Outcome::Ok);
        let Some(pace) = pace else { return };
        let write = self.s.classes[attempt.class].freshness.needs_primary();
        self.loads.entry(host.group).or_default().record_served(
            role_of(write),
            self.now,
            self.s.slow_start_budget_window,
        );
        host.slowness += GAIN * ((latency / pace.mean_us.max(1.0)).min(5.0) - host.slowness);
        pace.mean_us += GAIN * (latency - pace.mean_us);
        if !crowded {
            pace.service_time_us += GAIN * (latency - pace.service_time_us);
        }
    }

    /// A host that takes no connection, time and again, is full of idle ones, ours too: they are let go, and
    /// for a while each after its answer. Costs handshakes where it has really died: not if these cost worth.
    pub(super) fn make_room(&mut self, r: &AttemptResult, actions: &mut Vec<Action>) {
        let squeezed = self.squeezed.is_some_and(|at| self.now.0 - at.0 < REST_US.1);
        let serves =
            self.hosts.get(&r.host).is_some_and(|h| h.alive.is_some() && h.rest.is_failing_repeatedly());
        if r.outcome == Outcome::ConnectFailed && serves && self.s.price_handshake <= 0.0 {
            self.squeezed = Some(self.now);
            if !squeezed {
                let idle = self.hosts.iter().filter(|(_, h)| h.in_flight == 0 && h.alive.is_some());
                actions.extend(idle.map(|(id, _)| Action::CloseIdleConnections { host: *id }));
            }
        } else if squeezed && self.hosts.get(&r.host).is_some_and(|h| h.in_flight == 0) {
            actions.push(Action::CloseIdleConnections { host: r.host });
        }
    }

    /// A host that fails at once looks idle and would draw everything: it is tried after the others, unless
    /// all err alike.
    pub(super) fn usual_errors(&self, group: u32) -> f64 {
        let errs = self.members(group).filter(|(_, h)| self.usable(h)).map(|(_, h)| self.errs(h));
        ERRING.0.max(ERRING.1 * errs.fold(f64::MAX, f64::min))
    }

    pub(super) fn errs(&self, host: &Host) -> f64 {
        host.errs.value_at(self.now, ERRORS_FADE_US)
    }

    pub(super) fn failed(&mut self, id: HostId, rest: i64) {
        self.hosts
            .entry(id)
            .and_modify(|host| host.rest.record_failure(self.now, TimeDelta(rest), TimeDelta(REST_US.1)));
    }

    /// Hosts whose attempts are overdue fail together; when most do, the cause is shared and nobody is sick.
    pub(super) fn watch_silence(&mut self) {
        let busy: BTreeSet<HostId> = self.out.values().map(|a| a.host).collect();
        let silent = |id: HostId, sent: Timestamp| {
            self.hosts.get(&id).is_some_and(|h| !h.rest.is_failing() && h.alive.is_none_or(|at| at < sent))
        };
        let late = self
            .out
            .values()
            .filter(|a| (self.now.0 - a.sent.0) as f64 > SILENT * self.pace[a.class].mean_us);
        let late: BTreeSet<HostId> = late.filter(|a| silent(a.host, a.sent)).map(|a| a.host).collect();
        if late.len() * 2 <= busy.len().max(2) {
            late.into_iter().for_each(|id| self.failed(id, REST_US.0));
        }
    }
}
