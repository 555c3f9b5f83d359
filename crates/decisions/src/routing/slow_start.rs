//! Slow start: what a host gets while it warms up.

use super::context::Context;
use super::host::Host;
use super::request::{PendingRequest, SHARED_SALT};
use crate::interface::HostId;

/// Part of the slow start budget that is used: chance at the other routers and costly requests need the rest.
const BUDGET_SAFETY_FACTOR: f64 = 0.75;

/// Returns the fraction of its capacity that the host had at least when the current budget window began; 1
/// once it is warm.
pub(super) fn slow_start_fraction(context: Context<'_>, host: &Host) -> f64 {
    let Some(started_at) = host.started_at else { return 1.0 };
    let window_start = context.now - context.settings.slow_start_budget_window;
    context.settings.slow_start_fraction(window_start - started_at)
}

/// Returns whether the host may take the request, by the slow start budget. A host that warms up gets a
/// fraction of what a warm one would, by chance: so it holds summed over many routers that each send it
/// next to nothing.
///
/// One random number for each request and host: examining a request again does not add to its chance. The
/// budget counts requests that hosts serve, not those that come again after a rejection; retries would add
/// to it and are not admitted.
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
