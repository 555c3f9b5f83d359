//! Converts log positions and times that hosts report to this machine's time, and checks answers for
//! staleness.

use super::Core;
use crate::interface::{HostId, LoadReport, LogPosition, Outcome, Role, TimeDelta};
use crate::net::messages::AttemptEnd;
use crate::state::host_clock::{Sample, MAX_POSITION_LEAD, MAX_PRIMARY_LAG, POSITION_PRECISION};

impl Core {
    /// Updates the hosts' clock from the position in an attempt's answer. Returns the position in local time;
    /// `None` if there is none or it cannot be dated.
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

    /// Returns a host's applied position in local time; `None` if nothing proves the age of its data. Where
    /// hosts verify reads themselves they reject those that they may not serve, so the offset need not be
    /// confirmed.
    fn applied_position(&self, position: LogPosition) -> Option<LogPosition> {
        if !self.config.settings.responses_verified {
            return Some(self.host_clock.to_local_commit(position));
        }
        let position = Some(position).filter(|_| self.host_clock.is_confirmed())?;
        let local = self.host_clock.to_local_position(position);
        let latest = self.clock.now() + MAX_POSITION_LEAD;
        Some(local).filter(|local| local.0 <= latest.0)
    }

    /// Returns a load report with its position in local time. The position is dropped while the host's
    /// positions contradict the clock; the role is kept.
    pub(super) fn report_in_local_time(&mut self, host: HostId, report: LoadReport) -> LoadReport {
        let Some(position) = report.position else { return report };
        let sample = Sample { position, role: report.role, sent: None, received: self.clock.now() };
        self.observe_host_clock(host, sample);
        let position =
            self.applied_position(position).filter(|_| !self.host_clock.has_implausible_positions(host));
        LoadReport { position, ..report }
    }

    /// Adds a sample to the hosts' clock. If the clock's offset changes, corrects the start times and the
    /// router's state that were derived from it.
    fn observe_host_clock(&mut self, host: HostId, sample: Sample) {
        let Some(shift) = self.host_clock.record(host, sample) else { return };
        let offset_ms = self.host_clock.offset().0 / 1000;
        tracing::warn!(offset_ms, "offset of the hosts' clock changed");
        self.hosts.shift_start_times(shift.0);
        self.router.shift_host_clock(self.clock.now(), shift.0);
    }

    /// Returns whether the data behind an answer is too old for its request. Always false if the settings
    /// leave that check to the hosts.
    ///
    /// The bound counts from the time at which the query's last byte was written, not from the router's
    /// decision, since the query may have waited for a connection in between. A primary is never stale,
    /// unless its own position is past: then it is treated as a replica. A position that is ahead of the
    /// clock, or that an unconfirmed clock cannot date, proves nothing.
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

    /// Returns the role that an answer proves. A host that claims to be the primary with a past position was
    /// replaced and has not noticed it yet: it counts as a replica.
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

    /// Returns whether the position of a read's answer was already past when writing the query began. The
    /// time after the write is unsuitable: this process may have been suspended between the write and reading
    /// the clock.
    fn is_past(&self, end: &AttemptEnd, tolerance: TimeDelta) -> bool {
        let position = end.position.map(|position| position.rounded(false));
        position.zip(end.write_started_at).is_some_and(|(position, started_at)| {
            self.host_clock.is_past(end.host, position, self.clock.timestamp(started_at), tolerance)
        })
    }

    /// Logs the evidence on which an answer is served or withheld, and what the answer says about its host.
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

    /// Returns whether the host may have executed the request before, in which case its answer may report the
    /// position of that earlier commit.
    fn may_be_repeated(&self, end: &AttemptEnd) -> bool {
        self.requests.get(end.id).is_none_or(|request| request.is_client_retry || end.attempt > 0)
    }

    fn is_write(&self, end: &AttemptEnd) -> bool {
        self.requests.get(end.id).is_some_and(|request| request.is_write)
    }
}
