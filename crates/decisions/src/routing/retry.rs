//! When an attempt may be repeated, and how many repeats the router allows.

use super::context::Context;
use super::freshness::POSITION_ROUNDING;
use super::request::PendingRequest;
use crate::interface::{Idempotency, KeyScope, Outcome};

/// Retries that each new request allows: retries must not double the load.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up.
const MAX_RETRIES_SAVED: f64 = 10.0;
/// Error responses up to which a request is retried. One more, and the request itself is presumed to be at
/// fault.
const MAX_ERROR_RESPONSES: usize = 1;

/// The retries that the router may still send, as a token bucket.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new() -> Self {
        Self { retries: MAX_RETRIES_SAVED }
    }

    /// Adds what a new request allows.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES_SAVED);
    }

    /// Takes one retry, or what is left.
    pub fn withdraw(&mut self) {
        self.retries = (self.retries - 1.0).max(0.0);
    }

    /// Returns whether less than one retry is left.
    pub fn is_exhausted(&self) -> bool {
        self.retries < 1.0
    }
}

/// Returns whether the host may have executed an attempt that ended so.
pub(super) fn may_have_executed(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misdirected)
}

/// Returns whether an attempt that ended so uses up a retry of the budget.
pub(super) fn counts_against_budget(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::Overloaded | Outcome::Reset | Outcome::Timeout)
}

/// Returns whether a request that has failed may not be sent again: two attempts brought an error, so that
/// it is at fault itself, or the budget is exhausted, since overloaded hosts are not helped by more requests.
pub(super) fn retries_exhausted(request: &PendingRequest, budget: &RetryBudget) -> bool {
    request.failed_at.len() > MAX_ERROR_RESPONSES || budget.is_exhausted()
}

/// Returns whether another attempt, at a host in `zone` or anywhere, does no harm. What may have been
/// executed is only repeated if that has no effect, or while the hosts still recognise a repeat of the
/// first attempt by its key.
pub(super) fn retry_is_safe(context: Context<'_>, request: &PendingRequest, zone: Option<u32>) -> bool {
    let class = context.class(request);
    let is_in_flight = !request.is_waiting();
    if is_in_flight && (!context.settings.hedging_allowed || class.idempotency == Idempotency::NotIdempotent)
    {
        return false;
    }
    // An attempt in flight may have been executed since the request arrived, in a zone that is not looked up.
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
