//! Slow start: the share of the requests that a host gets while it is warming up.

use super::context::Context;
use super::host::Host;
use super::request::{PendingRequest, SHARED_SALT};
use crate::interface::HostId;

/// Fraction of the slow start budget that is used. The rest covers random variation over all routers and
/// costly requests.
const BUDGET_SAFETY_FACTOR: f64 = 0.75;

/// Returns the minimum fraction of its capacity that the host had when the current budget window began; 1
/// once it is warm.
pub(super) fn slow_start_fraction(context: Context<'_>, host: &Host) -> f64 {
    let Some(started_at) = host.started_at else { return 1.0 };
    let window_start = context.now - context.settings.slow_start_budget_window;
    context.settings.slow_start_fraction(window_start - started_at)
}

/// Returns whether the slow start budget admits the request at the host. A host that is warming up gets, by
/// chance, a fraction of the requests of a warm one. Random admission keeps the sum over many routers within
/// the budget even if each sends next to nothing.
///
/// The random number is fixed for each pair of request and host, so checking a request again does not
/// increase its chance. The budget is calculated from requests that hosts serve, without those that clients
/// repeat after a rejection. Retries of the router would exceed it and are not admitted.
pub(super) fn slow_start_admits(
    context: Context<'_>,
    id: HostId,
    host: &Host,
    request: &PendingRequest,
) -> bool {
    let fraction = slow_start_fraction(context, host);
    if fraction >= 1.0 {
        return true;
    }
    let traffic = context.load.traffic.get(&request.group).copied().unwrap_or_default();
    let share = traffic.served_fraction_per_host(context.serving_role(request));
    let allowed = context.settings.slow_start_budget_multiple * fraction * share;
    request.attempts == 0 && request.hash_fraction(id, SHARED_SALT) < BUDGET_SAFETY_FACTOR * allowed
}
