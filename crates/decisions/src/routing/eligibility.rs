//! Eligibility of a host for a request, with the evidence that it is based on. Every forwarded request has
//! passed [`eligibility`].

use super::context::Context;
use super::freshness::{likely_position, required_position, NO_POSITION};
use super::host::Host;
use super::request::PendingRequest;
use super::role::PRIMARY_EVIDENCE_MAX_AGE;
use super::{retry, slow_start};
use crate::interface::{Freshness, HostId, Idempotency, RequestClass, TimeDelta};

#[cfg(test)]
mod tests;

/// A host that rejected a write gets no further one for this time. Otherwise all attempts of a request could
/// be used up there while the role is handed over.
const WRITE_REJECTION_BACKOFF: TimeDelta = TimeDelta::from_millis(120);
/// Minimum time after the last observation of an unsuitable host until a request is sent to it without
/// evidence again.
const UNVERIFIED_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(300);
/// A read is no longer sent to unverified hosts once this number of hosts has rejected it as being behind.
const MAX_REJECTED_AS_BEHIND: usize = 2;

/// Evidence on which a host may take a request, in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    /// The host is known to have applied the position that the request must see.
    CaughtUp,
    /// The host checks reads itself and has probably applied the required position.
    LikelyCaughtUp,
    /// The host is the primary.
    Primary,
    /// There is no evidence, but the host rejects a request that it must not serve without executing it.
    Unverified,
}

/// Reason why a host may not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ineligible {
    /// The host is unknown, belongs to another group, is draining or was removed.
    NotAvailable,
    /// The deadline or the maximum number of attempts of the request is reached.
    RequestExhausted,
    /// The request may have been executed already, and must not be repeated at this host.
    RetryUnsafe,
    /// The host is warming up and gets only a fraction of the requests.
    WarmingUp,
    /// The host rejected a write a short time ago.
    WriteRejected,
    /// The host is not known to be the primary.
    NotPrimary,
    /// The host is not known to have applied the position that the request must see.
    Behind,
}

/// Returns the evidence on which the host may take the request now, or the reason why it may not.
pub(super) fn eligibility(
    context: Context<'_>,
    id: HostId,
    request: &PendingRequest,
) -> Result<Eligibility, Ineligible> {
    let host = context.hosts.get(id).ok_or(Ineligible::NotAvailable)?;
    if host.group != request.group || !context.is_usable(host) {
        return Err(Ineligible::NotAvailable);
    }
    if context.now >= request.deadline || request.attempts >= context.settings.max_attempts {
        return Err(Ineligible::RequestExhausted);
    }
    if !retry::retry_is_safe(context, request, Some(host.zone)) {
        return Err(Ineligible::RetryUnsafe);
    }
    if !slow_start::slow_start_admits(context, id, host, request) {
        return Err(Ineligible::WarmingUp);
    }
    match context.class(request).freshness {
        Freshness::Write => write_eligibility(context, id, host, request),
        _ => read_eligibility(context, id, host, request),
    }
}

/// Returns the eligibility for a write, which goes to the primary. During a handover the primary rejects
/// writes while it still reports the primary role.
fn write_eligibility(
    context: Context<'_>,
    id: HostId,
    host: &Host,
    request: &PendingRequest,
) -> Result<Eligibility, Ineligible> {
    if host.role.write_rejected_at().is_some_and(|at| context.now - at < WRITE_REJECTION_BACKOFF) {
        return Err(Ineligible::WriteRejected);
    }
    if host.is_primary() && has_recent_evidence(context, host, context.class(request)) {
        return Ok(Eligibility::Primary);
    }
    // Without health checks the write itself is sent to the next member, which rejects it if it is not the
    // primary.
    if !context.settings.can_health_check() && unverified_attempt_allowed(context, id, host, request) {
        return Ok(Eligibility::Unverified);
    }
    Err(Ineligible::NotPrimary)
}

fn read_eligibility(
    context: Context<'_>,
    id: HostId,
    host: &Host,
    request: &PendingRequest,
) -> Result<Eligibility, Ineligible> {
    let class = context.class(request);
    let is_primary = host.is_primary();
    let required = required_position(context, request);
    let hosts_check_reads = context.settings.replica_lag_wait().is_some();
    let is_proven =
        hosts_check_reads || host.supports_fresh_read(context.now) || host.applied_position >= required;
    if is_primary && is_proven && has_recent_evidence(context, host, class) {
        return Ok(Eligibility::Primary);
    }
    if class.freshness == Freshness::Any || required == NO_POSITION {
        return Ok(Eligibility::CaughtUp);
    }
    if host.applied_position >= required && !is_primary {
        return Ok(Eligibility::CaughtUp);
    }
    let lag_wait = context.settings.replica_lag_wait().ok_or(Ineligible::Behind)?;
    // A host that has been up for long and never reported a position is as likely as any other to have caught
    // up.
    let is_unknown = host.position_observed_at.is_none() && host.started_at.is_none();
    let position_soon = likely_position(host, context.now).0.saturating_add(lag_wait.0 / 2);
    if (is_unknown || position_soon >= required.0) && !is_primary {
        return Ok(Eligibility::LikelyCaughtUp);
    }
    if !context.settings.can_health_check() && unverified_attempt_allowed(context, id, host, request) {
        return Ok(Eligibility::Unverified);
    }
    Err(Ineligible::Behind)
}

/// Returns whether the host has responded recently enough to count as alive for a request of this class. A
/// request that may be repeated needs no such evidence, and if health checks are impossible there is none.
fn has_recent_evidence(context: Context<'_>, host: &Host, class: &RequestClass) -> bool {
    class.idempotency != Idempotency::NotIdempotent
        || !context.settings.can_health_check()
        || host.last_response_at.is_some_and(|at| context.now - at <= PRIMARY_EVIDENCE_MAX_AGE)
}

/// Returns whether the request itself may serve as the health check, since the host rejects it unexecuted if
/// it must not serve it. Not allowed if a known primary is not ejected, or if the host was observed to be
/// unsuitable a short time ago.
fn unverified_attempt_allowed(
    context: Context<'_>,
    id: HostId,
    host: &Host,
    request: &PendingRequest,
) -> bool {
    let needs_primary = context.needs_primary(request);
    if needs_primary {
        let primary = context.primary(request.group);
        if primary.is_some_and(|(_, primary)| !primary.is_ejected(context.now)) {
            return false;
        }
    }
    let observed_at = match needs_primary {
        true => host.role.observed_at(),
        false => host.position_observed_at,
    };
    let Some(observed_at) = observed_at else { return !request.rejected_as_behind.contains(&id) };
    let lag = match needs_primary {
        true => TimeDelta(0),
        false => TimeDelta(observed_at.0 - host.applied_position.0),
    };
    let delay = UNVERIFIED_RETRY_INTERVAL.max(TimeDelta(lag.0 / 2));
    let is_due = TimeDelta(context.now.0 - observed_at.0) >= delay;
    is_due && (needs_primary || request.rejected_as_behind.len() < MAX_REJECTED_AS_BEHIND)
}
