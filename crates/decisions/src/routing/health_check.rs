//! Health checks: when the position and role of a host are checked, and which reads wait for the result.

use super::context::Context;
use super::eligibility::{eligibility, Eligibility};
use super::freshness::{likely_position, required_position, NO_POSITION};
use super::host::Host;
use super::queue::CHECK_INTERVAL;
use super::request::{PendingRequest, SHARED_SALT};
use crate::interface::{HostId, TimeDelta};

/// Minimum interval between two checks of a host: load reports are not renewed much faster.
const MIN_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Maximum time that a read waits for a health check.
const MAX_WAIT: TimeDelta = TimeDelta(2 * CHECK_INTERVAL.0);

/// Decision on a read that may have to wait for a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadCheck {
    /// The read can be placed, or a health check cannot help.
    NotNeeded,
    /// The read waits for a health check that is in flight.
    Wait,
    /// The read waits if a check of this host is in flight or can be started now.
    Start(HostId),
}

/// Returns whether a health check of the host may be started now: none is in flight, the host did not report
/// its position at this very time, and the minimum interval since the last check has passed.
pub(super) fn is_due(context: Context<'_>, id: HostId, host: &Host) -> bool {
    let just_observed = host.position_observed_at == Some(context.now);
    let interval = min_interval(context, id, host);
    let just_checked = host.health_checked_at.is_some_and(|at| context.now - at < interval);
    !host.health_check_in_flight && !just_observed && !just_checked
}

/// Returns the minimum interval between two checks of the host:
///
/// - [`MIN_INTERVAL`] for the known primary, and for every host of a group with a known primary where
///   replicas do not check reads: there only a health check releases the waiting request.
/// - For other hosts it grows with the number of routers, since a failover would otherwise cause a storm of
///   checks. While no primary is known it is at most the shortest latency objective, as a request that waits
///   longer misses its objective.
fn min_interval(context: Context<'_>, id: HostId, host: &Host) -> TimeDelta {
    let settings = context.settings;
    let fleet_interval = TimeDelta((MIN_INTERVAL.0 as f64 * settings.fleet_size_factor()) as i64);
    match context.primary(host.group) {
        Some((primary, _)) if primary == id || settings.replica_lag_wait().is_none() => MIN_INTERVAL,
        Some(_) => fleet_interval,
        None => fleet_interval.min(settings.shortest_latency_objective()),
    }
}

/// Returns whether a read should wait for a health check. This is so if replicas do not check reads
/// themselves and none is known to have caught up; then the replica that most likely has is checked first.
pub(super) fn read_check(context: Context<'_>, request: &PendingRequest) -> ReadCheck {
    let settings = context.settings;
    let checks_help = settings.replica_lag_wait().is_none()
        && !context.needs_primary(request)
        && required_position(context, request) != NO_POSITION
        && settings.can_health_check();
    if !checks_help {
        return ReadCheck::NotNeeded;
    }
    let replicas = || context.hosts.members(request.group).filter(|(_, host)| !host.is_primary());
    if replicas().any(|(id, _)| eligibility(context, id, request) == Ok(Eligibility::CaughtUp)) {
        return ReadCheck::NotNeeded;
    }
    let can_respond = |host: &Host| context.is_usable(host) && !host.circuit_breaker.is_failing();
    // Among replicas with the same likely position, such as unknown ones, one is chosen at random: if all
    // routers checked the same one, they would all send their requests there.
    let preference = |id: HostId, host: &Host| {
        let random = request.hash_fraction(id, SHARED_SALT).to_bits();
        (likely_position(host, context.now), random)
    };
    let candidates = replicas().filter(|(_, host)| can_respond(host));
    let Some((id, host)) = candidates.max_by_key(|(id, host)| preference(*id, host)) else {
        return ReadCheck::NotNeeded;
    };
    match request.health_check_started_at {
        None => ReadCheck::Start(id),
        Some(at) if host.health_check_in_flight && context.now - at < MAX_WAIT => ReadCheck::Wait,
        Some(_) => ReadCheck::NotNeeded,
    }
}
