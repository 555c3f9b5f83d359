//! The queue of requests that wait for a host: their order, when they are given up, and how they end.

use super::admission::priority_density;
use super::context::Context;
use super::request::{PendingRequest, PendingRequests};
use super::retry;
use crate::interface::{RequestClass, RequestId, TimeDelta};

#[cfg(test)]
mod tests;

/// Interval at which waiting requests are checked: a small part of any latency objective.
pub(super) const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(10);
/// Time before its deadline at which a waiting request is given up: two check intervals and the transfer of
/// the final reply to the client. In the proxy the deadline is that of the core actor, which already leaves
/// time for the network.
pub(super) const GIVE_UP_MARGIN: TimeDelta = TimeDelta::from_millis(25);
/// Number of requests of a class that found no host in a dispatch, from which on the others of the class are
/// not tried. This bounds the processor time of a dispatch.
pub(super) const MAX_UNPLACED_PER_CLASS: u32 = 16;
/// Checks of requests in flight within the shortest latency objective: few, so that the timers of many
/// routers cause no load.
const IN_FLIGHT_CHECKS_PER_OBJECTIVE: i64 = 8;

/// Reason why a waiting request is given up. It does not affect how the request ends; only tests distinguish
/// the reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GiveUpReason {
    /// The latency objective cannot be met, and the class gives late responses no weight.
    ObjectiveUnreachable,
    /// The deadline is near.
    DeadlineNear,
    /// The maximum number of attempts is reached.
    AttemptsExhausted,
    /// The request failed at several hosts, or the retry budget was exhausted.
    RetriesExhausted,
    /// No host accepted the request in half of the time to its deadline. Its client should rather retry
    /// later.
    NoHostAvailable,
    /// The request may have been executed and must not be repeated.
    RetryUnsafe,
}

/// The final reply to a request that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The request was not executed, or a repeat does no harm: the client may send it again.
    Reject,
    /// The request may have been executed, and a repeat may do harm.
    Fail,
}

/// Returns why a waiting request is given up now, or `None` while it may still be served.
pub(super) fn give_up_reason(context: Context<'_>, request: &PendingRequest) -> Option<GiveUpReason> {
    if cannot_meet_objective(context, request) {
        return Some(GiveUpReason::ObjectiveUnreachable);
    }
    if context.now >= request.deadline - GIVE_UP_MARGIN {
        return Some(GiveUpReason::DeadlineNear);
    }
    if request.attempts >= context.settings.max_attempts {
        return Some(GiveUpReason::AttemptsExhausted);
    }
    if request.retries_exhausted {
        return Some(GiveUpReason::RetriesExhausted);
    }
    if is_unaccepted_at_half_time(context, request) {
        return Some(GiveUpReason::NoHostAvailable);
    }
    (!retry::retry_is_safe(context, request, None)).then_some(GiveUpReason::RetryUnsafe)
}

/// Returns whether the latency objective cannot be met any more and the class gives late responses no weight.
fn cannot_meet_objective(context: Context<'_>, request: &PendingRequest) -> bool {
    let class = context.class(request);
    let objective_left = request.arrived_at + class.latency_objective - context.now;
    class.late_priority_weight <= 0.0
        && (objective_left.0 as f64) < context.latency(request).service_time_us / 2.0
}

/// Returns whether no host has accepted the request in half of the time to its deadline. For a request that
/// needs the primary a rejection counts as acceptance, as it may still be served by the next primary.
fn is_unaccepted_at_half_time(context: Context<'_>, request: &PendingRequest) -> bool {
    let was_accepted = match context.needs_primary(request) {
        true => request.reached_a_host,
        false => request.possible_execution.is_some(),
    };
    let half_time_us = (request.arrived_at.0 + request.deadline.0) / 2;
    !was_accepted && context.now.0 >= half_time_us - 2 * CHECK_INTERVAL.0
}

/// Returns how a request that is given up ends.
pub(super) fn ending(class: &RequestClass, request: &PendingRequest) -> Ending {
    match class.idempotency.is_safe_to_retry_on_any_host() || request.possible_execution.is_none() {
        true => Ending::Reject,
        false => Ending::Fail,
    }
}

/// Returns the delay after which a rejected client should send the request again, if the settings allow one:
/// short while a response within the latency objective is still possible, otherwise the maximum.
pub(super) fn retry_after(context: Context<'_>, request: &PendingRequest) -> Option<TimeDelta> {
    let half_objective = TimeDelta(context.class(request).latency_objective.0 / 2);
    let longest = context.settings.max_retry_after;
    let is_early = context.now < request.arrived_at + half_objective;
    let wait = if is_early { longest.min(half_objective) } else { longest };
    context.settings.retry_after_allowed.then_some(wait)
}

/// Returns the waiting requests of a group by descending priority density, then by id. The number beside an
/// id is the negated density.
pub(super) fn dispatch_order(
    context: Context<'_>,
    requests: &PendingRequests,
    group: u32,
) -> Vec<(f64, RequestId)> {
    let waiting = requests.waiting().filter(|(_, request)| request.group == group);
    let mut order: Vec<(f64, RequestId)> =
        waiting.map(|(id, request)| (-priority_density(context, request), id)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    order
}

/// Returns the time until the next check of pending requests.
pub(super) fn check_interval(context: Context<'_>, requests: &PendingRequests) -> TimeDelta {
    let is_any_waiting = requests.waiting().next().is_some();
    let interval = match is_any_waiting {
        true => CHECK_INTERVAL,
        false => TimeDelta(context.settings.shortest_latency_objective().0 / IN_FLIGHT_CHECKS_PER_OBJECTIVE),
    };
    interval.max(context.settings.timer_resolution)
}
