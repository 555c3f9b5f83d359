//! Log positions and times that hosts report, in this machine's time.

use super::Core;
use crate::interface::{HostId, LoadReport, LogPosition, Outcome, Role, TimeDelta};
use crate::net::messages::AttemptEnd;
use crate::state::host_clock::{Sample, MAX_POSITION_LEAD, MAX_PRIMARY_LAG, POSITION_PRECISION};

impl Core {
    /// Returns the position that an attempt's answer reported, in local time, after the hosts' clock has been checked
    /// against it.
    pub(super) fn observe_position(&mut self, end: &AttemptEnd, outcome: Outcome) -> Option<LogPosition> {
        let is_commit = outcome == Outcome::Ok && self.is_write(end);
        let position = end.position?.rounded(is_commit);
        let written_at = end.written_at.map(|at| self.clock.timestamp(at));
        let sent = written_at.filter(|_| !is_commit || !self.may_be_repeated(end));
        let sample = Sample { position, role: end.role, sent, received: self.clock.now() };
        self.observe_host_clock(end.host, sample);
        if is_commit {
            Some(self.host_clock.to_local_commit(position))
        } else {
            self.applied_position(position)
        }
    }

    /// Returns a host's applied position in local time; none where nothing proves how old its data are. Hosts that check
    /// reads themselves reject what they may not serve, so that the offset need not be confirmed there.
    fn applied_position(&self, position: LogPosition) -> Option<LogPosition> {
        if !self.config.settings.responses_verified {
            return Some(self.host_clock.to_local_commit(position));
        }
        let position = Some(position).filter(|_| self.host_clock.is_confirmed())?;
        let local = self.host_clock.to_local_position(position);
        let latest = self.clock.now() + MAX_POSITION_LEAD;
        Some(local).filter(|local| local.0 <= latest.0)
    }

    /// Returns a load report in local time. Its position is left out while the host's positions contradict the clock; its
    /// role still counts.
    pub(super) fn report_in_local_time(&mut self, host: HostId, report: LoadReport) -> LoadReport {
        let Some(position) = report.position else { return report };
        let sample = Sample { position, role: report.role, sent: None, received: self.clock.now() };
        self.observe_host_clock(host, sample);
        let position =
            self.applied_position(position).filter(|_| !self.host_clock.has_implausible_positions(host));
        LoadReport { position, ..report }
    }

    /// Checks the hosts' clock against a sample, and moves all that is known in it if the clock has to be set anew.
    fn observe_host_clock(&mut self, host: HostId, sample: Sample) {
        let Some(shift) = self.host_clock.record(host, sample) else { return };
        let offset_ms = self.host_clock.offset().0 / 1000;
        tracing::warn!(offset_ms, "offset of the hosts' clock changed");
        self.hosts.shift_start_times(shift.0);
        self.router.shift_host_clock(self.clock.now(), shift.0);
    }

    /// Returns whether the data behind an answer are too old for its request, where the settings leave that check to the
    /// proxy. The bound counts from the query's last byte, which may have waited for its connection since the router's
    /// decision. A primary is never stale, unless its own position is one that hosts have shown to be past: then it counts
    /// as a replica. A position ahead of the clock, or one that an unconfirmed clock cannot date, proves nothing.
    pub(super) fn is_stale(&self, end: &AttemptEnd) -> bool {
        if !self.config.settings.responses_verified || end.outcome != Outcome::Ok {
            return false;
        }
        let request = self.requests.get(end.id).filter(|request| !request.is_write);
        let Some((request, written_at)) = request.zip(end.written_at) else { return false };
        let applied = end.position.and_then(|position| self.applied_position(position.rounded(false)));
        let is_primary = end.role == Some(Role::Primary) && !self.is_past(end, POSITION_PRECISION);
        !is_primary && !request.requirement.is_met_by(applied, self.clock.timestamp(written_at))
    }

    /// Returns the role that an answer proves: one of a primary whose position is past comes from a host that was replaced
    /// and has not learnt of it.
    pub(super) fn proven_role(&self, end: &AttemptEnd) -> Option<Role> {
        let is_checked = self.config.settings.responses_verified;
        let is_read = is_checked && end.outcome == Outcome::Ok && !self.is_write(end);
        let is_replaced = is_read && end.role == Some(Role::Primary) && self.is_past(end, MAX_PRIMARY_LAG);
        if is_replaced {
            Some(Role::Replica)
        } else {
            end.role
        }
    }

    /// Returns whether the position of a read's answer was past already when the query was about to be written. The time
    /// after the write does not do: this process may have been held up before it looked at its clock.
    fn is_past(&self, end: &AttemptEnd, tolerance: TimeDelta) -> bool {
        let position = end.position.map(|position| position.rounded(false));
        position.zip(end.write_started_at).is_some_and(|(position, started_at)| {
            self.host_clock.is_past(end.host, position, self.clock.timestamp(started_at), tolerance)
        })
    }

    /// Logs on what evidence an answer is served or withheld, and what it tells of its host.
    pub(super) fn log_attempt(&self, end: &AttemptEnd, outcome: Outcome) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let Some(request) = self.requests.get(end.id) else { return };
        let is_commit = request.is_write && outcome == Outcome::Ok;
        let position = end.position.map(|position| position.rounded(is_commit));
        let local_position = position.map(|position| self.host_clock.to_local_position(position));
        tracing::debug!(
            request_id = end.id.0,
            class = request.class,
            attempt = end.attempt,
            host_id = end.host.0,
            host = self.hosts.get(end.host).map(|handle| handle.name.as_str()),
            connection_id = end.transfer.connection_id,
            bytes_read = end.transfer.bytes_read,
            outcome = ?outcome,
            role = ?end.role,
            proven_role = ?self.proven_role(end),
            answer_lost = end.answer_lost,
            position_us = position.map(|position| position.0),
            local_position_us = local_position.map(|position| position.0),
            clock_offset_us = self.host_clock.offset().0,
            written_us = end.written_at.map(|at| self.clock.timestamp(at).0),
            received_us = self.clock.now().0,
            requirement = ?request.requirement,
            is_write = request.is_write,
            "attempt ended"
        );
    }

    /// Returns whether the host may have executed the request before, and answered with what it did then.
    fn may_be_repeated(&self, end: &AttemptEnd) -> bool {
        self.requests.get(end.id).is_none_or(|request| request.is_client_retry || end.attempt > 0)
    }

    fn is_write(&self, end: &AttemptEnd) -> bool {
        self.requests.get(end.id).is_some_and(|request| request.is_write)
    }
}
