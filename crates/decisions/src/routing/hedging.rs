//! Hedged requests: a second attempt in parallel to a slow one.

use super::admission::shedding_ratio;
use super::context::Context;
use super::outlier::SLOW_LATENCY_MULTIPLE;
use super::request::{Attempt, PendingRequest};
use super::retry::RetryBudget;
use crate::interface::{Idempotency, Role};

/// Reason why a second attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HedgeReason {
    /// The host of the first attempt has failed since its last response.
    HostFailing,
    /// The first attempt takes a multiple of the mean latency and the group is not overloaded.
    SlowAttempt,
}

/// Returns the reason why the request, of which only `attempt` is in flight, should be hedged. A request is
/// not hedged if its repeat may do harm, if its response has started, or if the retry budget is exhausted.
pub(super) fn hedge_reason(
    context: Context<'_>,
    request: &PendingRequest,
    attempt: &Attempt,
    budget: &RetryBudget,
) -> Option<HedgeReason> {
    let is_allowed = context.settings.hedging_allowed
        && context.class(request).idempotency != Idempotency::NotIdempotent
        && !attempt.response_started
        && !budget.is_exhausted();
    if !is_allowed {
        return None;
    }
    let host = context.hosts.get(attempt.host);
    if host.is_some_and(|host| host.circuit_breaker.is_failing()) {
        return Some(HedgeReason::HostFailing);
    }
    let role = host.map_or(Role::Replica, |host| host.role.role_or_replica());
    let elapsed_us = (context.now - attempt.sent_at).0 as f64;
    let is_slow = elapsed_us > SLOW_LATENCY_MULTIPLE * context.latency(request).mean_us;
    (is_slow && is_below_overload(context, request.group, role)).then_some(HedgeReason::SlowAttempt)
}

/// Returns whether the hosts of this role are well below overload, which hedged requests would only increase.
/// A router of a large fleet sees too few responses to tell, so its threshold is lower.
fn is_below_overload(context: Context<'_>, group: u32, role: Role) -> bool {
    let threshold = shedding_ratio(context.settings, role) / context.settings.fleet_size_factor();
    context.latency_ratio(group, role) < threshold
}
