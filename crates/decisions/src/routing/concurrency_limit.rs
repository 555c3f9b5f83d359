//! How many attempts of one router a host may have in flight: cut when responses are slow, raised when they
//! are fast.

use super::host::Host;
use super::outlier::AttemptEnd;
use crate::interface::Outcome;

/// Largest limit in attempts, and the initial one of a single router.
const MAX_LIMIT: f64 = 16.0;
/// Least initial limit in attempts, however many routers share the host.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Least limit in attempts of all routers together; each has at least 1.
const MIN_LIMIT: f64 = 3.0;
/// Factor of the limit on a slow or overloaded response.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor of the limit on a fast response at a limit that is nearly used.
const INCREASE_FACTOR: f64 = 1.05;

/// Returns the limit of a new host, where `router_count` routers share it.
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
    let is_nearly_used = f64::from(host.in_flight) + 2.0 > limit;
    if end.result.outcome == Outcome::Ok && is_nearly_used {
        return (limit * INCREASE_FACTOR).min(MAX_LIMIT);
    }
    limit
}
