//! Concurrency limit: the number of attempts of one router that a host may have in flight. It is decreased
//! when responses are slow and increased when they are fast.

use super::host::Host;
use super::outlier::AttemptEnd;
use crate::interface::Outcome;

/// Maximum limit in attempts, and the initial limit of a single router.
const MAX_LIMIT: f64 = 16.0;
/// Minimum initial limit in attempts, however many routers share the host.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Minimum limit in attempts, divided among all routers; each router has at least 1.
const MIN_LIMIT: f64 = 3.0;
/// Factor applied to the limit on a slow response or one that reports overload.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor applied to the limit on a fast response while the limit is nearly reached.
const INCREASE_FACTOR: f64 = 1.05;

/// Returns the limit of a new host that is shared by `router_count` routers.
pub(super) fn initial_limit(router_count: u32) -> f64 {
    (MAX_LIMIT / f64::from(router_count)).max(MIN_INITIAL_LIMIT)
}

/// Returns the limit of the host after an attempt has ended there.
pub(super) fn limit_after(host: &Host, end: &AttemptEnd<'_>, router_count: u32) -> f64 {
    let limit = host.concurrency_limit;
    let is_overload = match end.result.outcome {
        Outcome::Overloaded => true,
        Outcome::Ok | Outcome::Timeout => end.was_queued(),
        _ => false,
    };
    if is_overload {
        let least = (MIN_LIMIT / f64::from(router_count)).max(1.0);
        return (limit * DECREASE_FACTOR).max(least);
    }
    let is_nearly_reached = f64::from(host.in_flight) + 2.0 > limit;
    if end.result.outcome == Outcome::Ok && is_nearly_reached {
        return (limit * INCREASE_FACTOR).min(MAX_LIMIT);
    }
    limit
}
