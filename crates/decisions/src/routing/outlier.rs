//! Outlier detection: how the outcome of an attempt changes the state of its host, and when a host is
//! ejected.

use super::concurrency_limit;
use super::context::{serving_role, Context};
use super::host::Host;
use super::load_estimates::{LoadEstimates, LATENCY_RATIO_MIN_WEIGHT, SAMPLE_WEIGHT};
use super::request::{Attempt, PendingRequests};
use super::role::PRIMARY_EVIDENCE_MAX_AGE;
use crate::interface::{
    AttemptResult, Freshness, HostId, HostState, Outcome, RequestClass, Settings, TimeDelta, Timestamp,
};
use std::collections::BTreeSet;

/// Multiple of its class's mean latency from which on an attempt is slow.
pub(super) const SLOW_LATENCY_MULTIPLE: f64 = 3.0;
/// Multiple of its class's mean latency beyond which the host of an attempt without a response
/// counts as unresponsive.
const UNRESPONSIVE_LATENCY_MULTIPLE: f64 = 6.0;
/// Ejection time after the first failure; each further failure doubles it.
pub(super) const BASE_EJECTION: TimeDelta = TimeDelta::from_millis(300);
/// Maximum ejection time.
pub(super) const MAX_EJECTION: TimeDelta = TimeDelta::from_secs(3);
/// A host that responded within this time is busy rather than dead if it accepts no connection.
const RECENT_RESPONSE_WINDOW: TimeDelta = TimeDelta::from_secs(3);
/// Error rate up to which no host is an outlier.
const MIN_OUTLIER_ERROR_RATE: f64 = 0.15;
/// A host is an outlier if its error rate exceeds this multiple of the lowest in its group.
const OUTLIER_ERROR_MULTIPLE: f64 = 3.0;
/// Time constant, in microseconds, with which an error rate decays without responses.
const ERROR_RATE_TIME_CONSTANT_US: f64 = 3e6;
/// Time constant, in microseconds, with which the latency ratio of a host decays without responses.
const LATENCY_RATIO_TIME_CONSTANT_US: f64 = 3e6;
/// Latency ratio above which the request is presumed to have queued at its host.
const QUEUED_LATENCY_RATIO: f64 = 0.4;
/// Latency ratio recorded for an attempt that its host rejected as overloaded.
const OVERLOADED_LATENCY_RATIO: f64 = 2.0;
/// Maximum sample of a latency ratio.
const MAX_LATENCY_RATIO: f64 = 3.0;
/// Maximum sample of a host's latency relative to the mean of the class.
const MAX_RELATIVE_LATENCY: f64 = 5.0;

/// An attempt that has ended, with its result and its class.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd<'a> {
    pub attempt: &'a Attempt,
    pub result: &'a AttemptResult,
    pub class: &'a RequestClass,
}

impl AttemptEnd<'_> {
    /// Returns whether the latency shows that the request queued at its host.
    pub fn was_queued(&self) -> bool {
        self.latency_us() > QUEUED_LATENCY_RATIO * self.objective_us()
    }

    fn latency_us(&self) -> f64 {
        self.result.latency.0 as f64
    }

    fn objective_us(&self) -> f64 {
        self.class.latency_objective.0 as f64
    }
}

/// Records the outcome of an attempt in the state of its host and in the load estimates.
pub(super) fn record_outcome(
    host: &mut Host,
    load: &mut LoadEstimates,
    settings: &Settings,
    now: Timestamp,
    end: &AttemptEnd<'_>,
) {
    host.attempt_ended();
    if end.result.answer_lost {
        host.role.record_response_lost(now);
    }
    record_error(host, now, end.result.outcome);
    record_write_rejection(host, now, end);
    record_liveness(host, load.classes[end.attempt.class].mean_us, now, end);
    record_latency_ratio(host, load, now, end);
    host.concurrency_limit = concurrency_limit::limit_after(host, end, settings.router_count);
    if end.result.outcome == Outcome::Ok {
        record_served(host, load, settings, now, end);
    }
}

fn record_error(host: &mut Host, now: Timestamp, outcome: Outcome) {
    let sample = match outcome {
        Outcome::Ok => 0.0,
        Outcome::Error => 1.0,
        _ => return,
    };
    host.error_rate.record(now, sample, SAMPLE_WEIGHT, ERROR_RATE_TIME_CONSTANT_US);
}

fn record_write_rejection(host: &mut Host, now: Timestamp, end: &AttemptEnd<'_>) {
    if end.class.freshness != Freshness::Write {
        return;
    }
    match end.result.outcome {
        Outcome::Misdirected => host.role.record_write(true, now),
        Outcome::Ok => host.role.record_write(false, now),
        _ => {}
    }
}

/// Closes the circuit breaker on a response and opens it on a failure. A host that fails immediately looks
/// idle and would attract all requests: one that is draining before the endpoint list says so, has full
/// queues or is dead.
fn record_liveness(host: &mut Host, mean_latency_us: f64, now: Timestamp, end: &AttemptEnd<'_>) {
    match end.result.outcome {
        Outcome::Ok | Outcome::Misdirected | Outcome::Stale | Outcome::Error => {
            host.circuit_breaker.record_response();
            host.last_response_at = Some(now);
        }
        Outcome::Overloaded | Outcome::Reset | Outcome::ConnectFailed => {
            if end.result.outcome == Outcome::ConnectFailed {
                host.role.record_unreachable(now);
            }
            let ejection = first_ejection(host, mean_latency_us, now, end.result.outcome);
            host.circuit_breaker.record_failure(now, ejection, MAX_EJECTION);
        }
        Outcome::Timeout if end.latency_us() >= SLOW_LATENCY_MULTIPLE * mean_latency_us => {
            record_unresponsive(host, now);
        }
        Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
    }
}

/// Records that the host is unresponsive.
pub(super) fn record_unresponsive(host: &mut Host, now: Timestamp) {
    let last_evidence_at = host.last_response_at.max(host.role.observed_at());
    if last_evidence_at.is_none_or(|at| now - at > PRIMARY_EVIDENCE_MAX_AGE) {
        host.role.record_unreachable(now);
    }
    host.circuit_breaker.record_failure(now, BASE_EJECTION, MAX_EJECTION);
}

/// Returns the ejection time after the first failure of a host: short for one that is only full, as it can
/// still serve most requests.
fn first_ejection(host: &Host, mean_latency_us: f64, now: Timestamp, outcome: Outcome) -> TimeDelta {
    let responded_recently = host.last_response_at.is_some_and(|at| now - at < RECENT_RESPONSE_WINDOW);
    if outcome == Outcome::ConnectFailed && !responded_recently {
        return BASE_EJECTION;
    }
    TimeDelta(mean_latency_us as i64 / 4)
}

fn record_latency_ratio(host: &mut Host, load: &mut LoadEstimates, now: Timestamp, end: &AttemptEnd<'_>) {
    let sample = match end.result.outcome {
        Outcome::Overloaded => OVERLOADED_LATENCY_RATIO,
        Outcome::Ok | Outcome::Timeout => (end.latency_us() / end.objective_us()).min(MAX_LATENCY_RATIO),
        _ => return,
    };
    let min_weight = LATENCY_RATIO_MIN_WEIGHT;
    host.latency_ratio.record(now, sample, min_weight, LATENCY_RATIO_TIME_CONSTANT_US);
    load.groups.record(host.group, host.role.role_or_replica(), now, sample);
}

fn record_served(
    host: &mut Host,
    load: &mut LoadEstimates,
    settings: &Settings,
    now: Timestamp,
    end: &AttemptEnd<'_>,
) {
    let traffic = load.traffic.entry(host.group).or_default();
    traffic.record_served(serving_role(end.class), now, settings.slow_start_budget_window);
    let latency_us = end.latency_us();
    let class = &mut load.classes[end.attempt.class];
    let relative = (latency_us / class.mean_us.max(1.0)).min(MAX_RELATIVE_LATENCY);
    host.relative_latency += SAMPLE_WEIGHT * (relative - host.relative_latency);
    class.mean_us += SAMPLE_WEIGHT * (latency_us - class.mean_us);
    if !end.was_queued() {
        class.service_time_us += SAMPLE_WEIGHT * (latency_us - class.service_time_us);
    }
}

/// Returns the fraction of errors among the recent responses of the host.
pub(super) fn error_rate(host: &Host, now: Timestamp) -> f64 {
    host.error_rate.value_at(now, ERROR_RATE_TIME_CONSTANT_US)
}

/// Returns the latency ratio of the recent responses of the host.
pub(super) fn latency_ratio(host: &Host, now: Timestamp) -> f64 {
    host.latency_ratio.value_at(now, LATENCY_RATIO_TIME_CONSTANT_US)
}

/// Returns the error rate above which a member of the group is an outlier. If all members have the same error
/// rate, none is an outlier.
pub(super) fn outlier_error_rate(context: Context<'_>, group: u32) -> f64 {
    let usable = context.hosts.members(group).filter(|(_, host)| context.is_usable(host));
    let lowest = usable.map(|(_, host)| error_rate(host, context.now)).fold(f64::MAX, f64::min);
    MIN_OUTLIER_ERROR_RATE.max(OUTLIER_ERROR_MULTIPLE * lowest)
}

/// Returns the number of listed hosts that get no requests, or get them only as a last resort: those that are
/// draining, ejected or have a high error rate.
pub(super) fn ejected_hosts(context: Context<'_>) -> usize {
    let is_unavailable = |host: &Host| {
        !context.is_usable(host)
            || host.is_ejected(context.now)
            || error_rate(host, context.now) > MIN_OUTLIER_ERROR_RATE
    };
    let listed = context.hosts.iter().filter(|(_, host)| host.state != HostState::Removed);
    listed.filter(|(_, host)| is_unavailable(host)).count()
}

/// Returns the hosts that have overdue attempts and have not responded since those were sent. Returns none if
/// there are several and they are the majority of the hosts with attempts in flight: then the cause is common
/// to all, and no host is at fault.
pub(super) fn unresponsive_hosts(context: Context<'_>, requests: &PendingRequests) -> BTreeSet<HostId> {
    let attempts = || requests.attempts();
    let is_overdue = |attempt: &Attempt| {
        let elapsed_us = (context.now - attempt.sent_at).0 as f64;
        elapsed_us > UNRESPONSIVE_LATENCY_MULTIPLE * context.load.classes[attempt.class].mean_us
    };
    let has_not_responded_since = |attempt: &Attempt| {
        let host = context.hosts.get(attempt.host).filter(|host| !host.circuit_breaker.is_failing());
        host.is_some_and(|host| host.last_response_at.is_none_or(|at| at < attempt.sent_at))
    };
    let overdue = attempts().filter(|attempt| is_overdue(attempt));
    let unresponsive: BTreeSet<HostId> =
        overdue.filter(|attempt| has_not_responded_since(attempt)).map(|attempt| attempt.host).collect();
    if unresponsive.is_empty() {
        return unresponsive;
    }
    let busy: BTreeSet<HostId> = attempts().map(|attempt| attempt.host).collect();
    if unresponsive.len() * 2 <= busy.len().max(2) {
        unresponsive
    } else {
        BTreeSet::new()
    }
}
