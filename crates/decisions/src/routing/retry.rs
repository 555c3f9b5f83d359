//! When a request may be retried, and how many retries the router allows.

use super::context::Context;
use super::freshness::POSITION_ROUNDING;
use super::request::PendingRequest;
use crate::interface::{Idempotency, KeyScope, Outcome};

/// Retries that each new request adds to the budget, so that retries do not double the load.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_RETRIES_SAVED: f64 = 10.0;
/// Number of error responses up to which a request is retried. After one more the request itself is presumed
/// to be at fault.
const MAX_ERROR_RESPONSES: usize = 1;

/// Token bucket of the retries that the router may still send.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new() -> Self {
        Self { retries: MAX_RETRIES_SAVED }
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES_SAVED);
    }

    /// Takes one retry, or the remaining fraction of one.
    pub fn withdraw(&mut self) {
        self.retries = (self.retries - 1.0).max(0.0);
    }

    /// Returns whether less than one retry is left.
    pub fn is_exhausted(&self) -> bool {
        self.retries < 1.0
    }
}

/// Returns whether an attempt with this outcome may have been executed.
pub(super) fn may_have_executed(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misdirected)
}

/// Returns whether an attempt with this outcome takes a retry from the budget.
pub(super) fn counts_against_budget(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::Overloaded | Outcome::Reset | Outcome::Timeout)
}

/// Returns whether a failed request may not be retried: either two attempts ended in an error response, so
/// that the request itself is presumed to be at fault, or the budget is exhausted, as more requests would not
/// help overloaded hosts.
pub(super) fn retries_exhausted(request: &PendingRequest, budget: &RetryBudget) -> bool {
    request.failed_at.len() > MAX_ERROR_RESPONSES || budget.is_exhausted()
}

/// Returns whether another attempt does no harm, at a host in `zone` or, for `None`, at any host. A request
/// that may have been executed is only repeated if that has no effect, or while the hosts still recognise its
/// idempotency key.
pub(super) fn retry_is_safe(context: Context<'_>, request: &PendingRequest, zone: Option<u32>) -> bool {
    let class = context.class(request);
    let is_in_flight = !request.is_waiting();
    if is_in_flight && (!context.settings.hedging_allowed || class.idempotency == Idempotency::NotIdempotent)
    {
        return false;
    }
    // An attempt in flight may have been executed at any time since the request arrived. Its zone is not
    // looked up.
    let first = match (is_in_flight, request.possible_execution) {
        (true, _) => Some((request.arrived_at, None)),
        (false, Some(execution)) => Some((execution.sent_at, Some(execution.zone))),
        (false, None) => None,
    };
    let Some((first_sent_at, first_zone)) = first else { return true };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey(scope) => {
            let is_in_scope = scope != KeyScope::Zone || zone.is_none() || zone == first_zone;
            is_in_scope && context.now + POSITION_ROUNDING < first_sent_at + class.idempotency_key_window
        }
    }
}
