//! The role of a host as this router has observed it, and whether a fresh read may rely on it.
//!
//! Responses, load reports and the endpoint list report a role. A report does not expire by itself, and a
//! primary that was replaced learns of that late. So each event that may have ended the role since the last
//! report is recorded with its time:
//!
//! - A response was lost: a request was written, and the part of its response that reports the role did not
//!   arrive. The host may have reported that it is no longer the primary, so the doubt does not expire.
//! - The host restarted, or returned to the endpoint list.
//! - The host accepted no connection, or was unresponsive.
//! - A response is overdue: it may be lost.
//!
//! Only a response or report that was written after the event confirms the role again. Without any, a host
//! that gets only fresh reads would stay in doubt for good. So one of them is sent to it as a role query
//! after it had no attempt for a while or, if a response was lost, for much longer.

use crate::interface::{Role, TimeDelta, Timestamp};

/// A primary that responded longer ago than this may have failed over.
pub(super) const PRIMARY_EVIDENCE_MAX_AGE: TimeDelta = TimeDelta::from_secs(1);

/// Time without an event or an attempt after which a fresh read is sent to a host with a doubted role, as a
/// role query.
const ROLE_QUERY_INTERVAL: TimeDelta = TimeDelta::from_secs(3);

/// As [`ROLE_QUERY_INTERVAL`], for a host from which a response was lost.
const ROLE_QUERY_INTERVAL_AFTER_LOST_RESPONSE: TimeDelta = TimeDelta::from_secs(30);

/// Longest time that a response takes after it was written; one that takes longer may be lost.
const MAX_RESPONSE_DELAY: TimeDelta = TimeDelta::from_millis(100);

/// Longest delay after its deadline with which the end of an attempt is reported.
const MAX_END_REPORT_DELAY: TimeDelta = TimeDelta::from_millis(500);

/// A role that a host was observed in.
#[derive(Clone, Copy, Debug)]
struct ObservedRole {
    role: Role,
    /// When the response was received; for a load report, the time that the report describes.
    observed_at: Timestamp,
    /// Earliest time at which the response or report may have been written.
    written_at: Timestamp,
}

/// The attempts in flight at a host.
#[derive(Clone, Copy, Debug)]
struct PendingResponses {
    /// Since when no response has reported a role.
    no_role_since: Timestamp,
    /// When the last of them has ended and its end has been reported, at the latest.
    all_ended_by: Timestamp,
}

/// The observed role of one host, and the events since that may have ended it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleTracker {
    /// The latest role that the host was observed in.
    observed: Option<ObservedRole>,
    /// Whether the endpoint list names the host as the primary.
    is_listed_as_primary: bool,
    /// When a response that may have reported a role was last lost.
    response_lost_at: Option<Timestamp>,
    /// When the host last restarted, or returned to the endpoint list.
    restarted_at: Option<Timestamp>,
    /// When the host last accepted no connection or was unresponsive.
    unreachable_at: Option<Timestamp>,
    /// When an attempt was last forwarded to the host.
    last_forwarded_at: Option<Timestamp>,
    pending_responses: Option<PendingResponses>,
    /// When the host last rejected a write as misdirected; `None` if it has accepted one since.
    write_rejected_at: Option<Timestamp>,
}

impl RoleTracker {
    /// Returns whether the host was last observed as the primary.
    pub fn is_primary(&self) -> bool {
        self.role_or_replica() == Role::Primary
    }

    /// Returns the role in which the host was last observed; a replica if it was observed in none.
    pub fn role_or_replica(&self) -> Role {
        self.observed.map_or(Role::Replica, |observed| observed.role)
    }

    /// Returns when the host was last observed in a role.
    pub fn observed_at(&self) -> Option<Timestamp> {
        self.observed.map(|observed| observed.observed_at)
    }

    /// Returns the earliest time at which the report that last showed the host as the primary may have been
    /// written; `None` for a replica.
    pub fn primary_confirmed_at(&self) -> Option<Timestamp> {
        self.observed.filter(|_| self.is_primary()).map(|observed| observed.written_at)
    }

    /// Returns whether the endpoint list names the host as the primary and it was not observed in any role
    /// yet.
    pub fn is_primary_by_list_alone(&self) -> bool {
        self.is_listed_as_primary && self.observed.is_none()
    }

    /// Returns when the host last rejected a write as misdirected, unless it has accepted one since.
    pub fn write_rejected_at(&self) -> Option<Timestamp> {
        self.write_rejected_at
    }

    /// Returns whether a fresh read may rely on the host being the primary.
    pub fn supports_fresh_read(&self, now: Timestamp) -> bool {
        self.is_primary() && !self.is_doubted(now)
    }

    /// Returns whether the host may have lost its observed role: because of an event since, or because a
    /// response is overdue.
    pub fn is_doubted(&self, now: Timestamp) -> bool {
        let is_overdue = self
            .pending_responses(now)
            .is_some_and(|pending| now - pending.no_role_since > MAX_RESPONSE_DELAY);
        self.is_doubted_by_event(now) || is_overdue && !self.was_observed_recently(now)
    }

    /// Returns whether an event after the last report of the role may have ended it, and no role query is
    /// due. Unlike [`is_doubted`](Self::is_doubted) this ignores overdue responses.
    pub fn is_doubted_by_event(&self, now: Timestamp) -> bool {
        let lost_at = self.response_lost_at.filter(|at| self.is_unconfirmed_since(*at));
        let restarted_at = self.restarted_at.filter(|at| self.is_unconfirmed_since(*at));
        let unreachable_at = self.unreachable_at.filter(|at| self.is_unconfirmed_since(*at));
        // A failover takes longer than the maximum age of recent evidence, so an unreachable host is doubted
        // only after it. A restart or a lost response may end the role without a failover.
        let unreachable_at = unreachable_at.filter(|_| !self.was_observed_recently(now));
        let Some(latest_event_at) = lost_at.max(restarted_at).max(unreachable_at) else { return false };
        let interval = match lost_at {
            Some(_) => ROLE_QUERY_INTERVAL_AFTER_LOST_RESPONSE,
            None => ROLE_QUERY_INTERVAL,
        };
        let waiting_since = self.last_forwarded_at.map_or(latest_event_at, |at| at.max(latest_event_at));
        // A pending response will report the role, so no further role query is needed.
        let may_query = self.pending_responses(now).is_none() && now - waiting_since >= interval;
        !may_query
    }

    fn is_unconfirmed_since(&self, at: Timestamp) -> bool {
        self.observed.is_none_or(|observed| observed.written_at <= at)
    }

    fn was_observed_recently(&self, now: Timestamp) -> bool {
        self.observed.is_some_and(|observed| now - observed.written_at <= PRIMARY_EVIDENCE_MAX_AGE)
    }

    fn pending_responses(&self, now: Timestamp) -> Option<PendingResponses> {
        self.pending_responses.filter(|pending| now < pending.all_ended_by)
    }

    /// Records a role that was received, or that a load report describes, at `observed_at`. The report was
    /// written at `written_at` or later. Returns whether `role` is accepted as the current role. It is not if
    /// a newer one is known, or if it is the primary role and the host was observed as a replica after the
    /// report may have been written.
    pub fn record_observed(&mut self, role: Role, observed_at: Timestamp, written_at: Timestamp) -> bool {
        let written_at = written_at.min(observed_at);
        let is_outdated = self.observed.is_some_and(|known| {
            let may_be_older = role == Role::Primary && known.role == Role::Replica;
            known.observed_at > if may_be_older { written_at } else { observed_at }
        });
        if is_outdated {
            return false;
        }
        let written_at = self.observed.map_or(written_at, |known| known.written_at.max(written_at));
        self.observed = Some(ObservedRole { role, observed_at, written_at });
        if let Some(pending) = &mut self.pending_responses {
            pending.no_role_since = observed_at;
        }
        true
    }

    /// Records that another host was the group's primary at `written_at`: this host becomes a replica, unless
    /// it was confirmed as the primary later.
    pub fn record_other_primary(&mut self, written_at: Timestamp) {
        if self.primary_confirmed_at().is_some_and(|at| at < written_at) {
            self.observed = Some(ObservedRole { role: Role::Replica, observed_at: written_at, written_at });
        }
    }

    /// Records that an attempt with this deadline is forwarded to the host.
    pub fn record_forwarded(&mut self, now: Timestamp, deadline: Timestamp) {
        self.last_forwarded_at = Some(now);
        let all_ended_by = deadline + MAX_END_REPORT_DELAY;
        let earlier = self.pending_responses.unwrap_or(PendingResponses { no_role_since: now, all_ended_by });
        self.pending_responses =
            Some(PendingResponses { all_ended_by: earlier.all_ended_by.max(all_ended_by), ..earlier });
    }

    /// Records that the host has no attempt in flight any more.
    pub fn record_idle(&mut self) {
        self.pending_responses = None;
    }

    /// Records the loss of a response that may have reported another role.
    pub fn record_response_lost(&mut self, now: Timestamp) {
        self.response_lost_at = Some(now);
    }

    /// Records that the host accepted no connection or was unresponsive.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.unreachable_at = Some(now);
    }

    /// Records that the host restarted or returned to the endpoint list.
    pub fn record_restart(&mut self, now: Timestamp) {
        self.restarted_at = Some(now);
    }

    /// Records that the host rejected a write as misdirected, or accepted one.
    pub fn record_write(&mut self, is_rejected: bool, now: Timestamp) {
        self.write_rejected_at = is_rejected.then_some(now);
    }

    /// Records whether the endpoint list names the host as the primary. Returns whether it did not before.
    pub fn record_listed(&mut self, is_primary: bool) -> bool {
        let is_new = is_primary && !self.is_listed_as_primary;
        self.is_listed_as_primary = is_primary;
        is_new
    }
}
