//! Selection of an eligible host for a request, and of the hosts whose health check would help to place it.

use super::context::Context;
use super::eligibility::{eligibility, Eligibility};
use super::host::Host;
use super::outlier;
use super::request::{PendingRequest, PendingRequests, ANY_HOST, SHARED_SALT};
use super::slow_start;
use crate::interface::{Freshness, HostId, RequestId, Role};

/// Latency ratio of the primary from which on it takes no reads that replicas may take.
const PRIMARY_MAX_READ_RATIO: f64 = 0.5;
/// Fraction of the reads that are kept from a primary without any recent response.
const UNOBSERVED_PRIMARY_FRACTION: f64 = 0.5;
/// Latency ratio above which a router of a large fleet skips a host for some of its reads.
const HOST_OVERLOAD_RATIO: f64 = 0.2;
/// One in this many replicas is reserved for reads that block replication.
const BLOCKING_READ_DIVISOR: usize = 3;
/// A read blocks replication if its latency objective exceeds this multiple of the shortest one.
const BLOCKING_OBJECTIVE_MULTIPLE: i64 = 4;
/// Minimum random factor of a host's expected latency; the factor lets equal hosts share the requests.
const RANDOM_FACTOR_MIN: f64 = 0.75;
/// Difference between the maximum and the minimum random factor.
const RANDOM_FACTOR_SPAN: f64 = 0.5;
/// Salt of the random number that decides whether a request skips an overloaded host.
const OVERLOAD_SALT: u64 = 2;
/// Salt of the random factor of the first attempt; each further attempt adds one.
const RANKING_SALT: u64 = 1;

/// The result of a selection.
#[derive(Debug)]
pub(super) struct Selection {
    /// The host to forward the request to; `None` if it has to wait.
    pub host: Option<HostId>,
    /// Hosts whose health check would help to place the request.
    pub health_checks: Vec<HostId>,
}

/// Reason why an eligible host is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SkipReason {
    /// The request is in flight there, or the host rejected it as too far behind.
    AlreadyTried,
    /// The circuit breaker is open and other hosts may take the request.
    Ejected,
    /// The router already has the maximum number of attempts in flight there.
    AtConcurrencyLimit,
    /// The primary is reserved for writes.
    PrimaryKeptForWrites,
    /// The recent responses of the host were slow, and the fleet of routers is large.
    Overloaded,
    /// The request blocks replication, and other replicas are reserved for such requests.
    NotReservedForBlockingReads,
}

/// Sort key of a host: the smallest is preferred. Fields are compared in the order of declaration.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    /// Whether the host is ejected, has a high error rate, or has failed this very request.
    is_last_resort: bool,
    eligibility: Eligibility,
    /// Whether slow start is over. A host that is warming up was already admitted for this request by chance,
    /// so it precedes warm hosts instead of competing with them.
    is_warm: bool,
    in_flight: u32,
    /// Expected latency plus the cost of another zone, in microseconds.
    cost_us: f64,
}

/// Values common to all hosts in the selection for one request.
struct Selector<'a> {
    context: Context<'a>,
    requests: &'a PendingRequests,
    id: RequestId,
    request: &'a PendingRequest,
    is_write: bool,
    /// Whether any member is neither ejected nor draining. If none is, reads are sent to ejected hosts as
    /// well, so that a group is never excluded as a whole.
    has_healthy_member: bool,
    /// The replicas reserved for reads that block replication; empty for other requests.
    blocking_read_replicas: Vec<HostId>,
    /// Error rate above which a host is a last resort.
    outlier_error_rate: f64,
}

/// Returns the best host that may take the request now, or `None` if the request is not pending any more.
pub(super) fn select_host(
    context: Context<'_>,
    requests: &PendingRequests,
    id: RequestId,
) -> Option<Selection> {
    let selector = Selector::new(context, requests, id)?;
    let mut best: Option<(Rank, HostId)> = None;
    let mut ineligible = Vec::new();
    for (host_id, host) in context.hosts.members(selector.request.group) {
        let Ok(eligibility) = eligibility(context, host_id, selector.request) else {
            ineligible.push(host_id);
            continue;
        };
        if selector.skip_reason(host_id, host, eligibility).is_some() {
            continue;
        }
        let rank = selector.rank(host_id, host, eligibility);
        if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
            best = Some((rank, host_id));
        }
    }
    let is_proven =
        best.as_ref().is_some_and(|(rank, _)| selector.is_write || rank.eligibility == Eligibility::CaughtUp);
    let health_checks = if is_proven { Vec::new() } else { selector.useful_health_checks(ineligible) };
    Some(Selection { host: best.map(|(_, host)| host), health_checks })
}

impl<'a> Selector<'a> {
    fn new(context: Context<'a>, requests: &'a PendingRequests, id: RequestId) -> Option<Self> {
        let request = requests.get(id)?;
        let is_healthy = |host: &Host| context.is_usable(host) && !host.is_ejected(context.now);
        let mut members = context.hosts.members(request.group);
        Some(Self {
            context,
            requests,
            id,
            request,
            is_write: context.class(request).freshness == Freshness::Write,
            has_healthy_member: members.any(|(_, host)| is_healthy(host)),
            blocking_read_replicas: reserved_for_blocking_reads(context, request),
            outlier_error_rate: outlier::outlier_error_rate(context, request.group),
        })
    }

    fn skip_reason(&self, id: HostId, host: &Host, eligibility: Eligibility) -> Option<SkipReason> {
        let rejected_as_behind =
            eligibility == Eligibility::LikelyCaughtUp && self.request.rejected_as_behind.contains(&id);
        if rejected_as_behind || self.requests.attempts_of(self.id).any(|(_, attempt)| attempt.host == id) {
            return Some(SkipReason::AlreadyTried);
        }
        if (self.is_write || self.has_healthy_member) && host.is_ejected(self.context.now) {
            return Some(SkipReason::Ejected);
        }
        if f64::from(host.in_flight) >= host.concurrency_limit.max(1.0) {
            return Some(SkipReason::AtConcurrencyLimit);
        }
        let replica_suffices =
            eligibility == Eligibility::Primary && !self.context.needs_primary(self.request);
        if replica_suffices && keeps_primary_for_writes(self.context, self.request) {
            return Some(SkipReason::PrimaryKeptForWrites);
        }
        if !self.is_write && is_overloaded(self.context, id, host, self.request) {
            return Some(SkipReason::Overloaded);
        }
        let reserved = &self.blocking_read_replicas;
        let may_take = reserved.is_empty() || reserved.contains(&id);
        (!may_take).then_some(SkipReason::NotReservedForBlockingReads)
    }

    fn rank(&self, id: HostId, host: &Host, eligibility: Eligibility) -> Rank {
        let is_last_resort = host.is_ejected(self.context.now)
            || outlier::error_rate(host, self.context.now) > self.outlier_error_rate
            || self.request.failed_at.contains(&id);
        let is_warm = slow_start::slow_start_fraction(self.context, host) >= 1.0;
        let cost_us = self.cost_us(id, host);
        Rank { is_last_resort, eligibility, is_warm, in_flight: host.in_flight, cost_us }
    }

    /// Returns the expected latency at the host, multiplied by a random factor, plus the cost of another zone
    /// in the same unit.
    fn cost_us(&self, id: HostId, host: &Host) -> f64 {
        let settings = self.context.settings;
        let objective_us = self.context.class(self.request).latency_objective.0 as f64;
        let is_local = host.zone == settings.zone;
        let zone_cost_us = if is_local { 0.0 } else { settings.price_cross_zone * objective_us };
        let salt = RANKING_SALT + u64::from(self.request.attempts);
        let random_factor = RANDOM_FACTOR_MIN + RANDOM_FACTOR_SPAN * self.request.hash_fraction(id, salt);
        self.context.latency(self.request).mean_us * host.relative_latency * random_factor + zone_cost_us
    }

    /// Returns the hosts whose health check would help a request for which no host is proven suitable.
    ///
    /// - For a write: the primary, or all ineligible hosts if there is none or it is failing.
    /// - For a read, if hosts check reads themselves: the ineligible host that was checked longest ago.
    /// - For a read otherwise: the primary if its role is in doubt, or all ineligible hosts if no primary is
    ///   known.
    fn useful_health_checks(&self, mut ineligible: Vec<HostId>) -> Vec<HostId> {
        if self.is_write {
            let primary = self.context.primary(self.request.group);
            return match primary.filter(|(_, host)| !host.circuit_breaker.is_failing()) {
                Some((id, _)) => vec![id],
                None => ineligible,
            };
        }
        if self.context.settings.replica_lag_wait().is_none() {
            let primary = self.context.primary(self.request.group);
            return match primary {
                Some((_, host)) if !host.is_role_doubted(self.context.now) => Vec::new(),
                Some((id, _)) => vec![id],
                None => ineligible,
            };
        }
        ineligible.sort_by_key(|id| self.context.hosts.get(*id).and_then(|host| host.health_checked_at));
        ineligible.truncate(1);
        ineligible
    }
}

/// Returns the replicas that take reads which block replication, so that the others keep applying the log;
/// empty for other requests. The lowest host ids are used, so that all routers reserve the same replicas.
fn reserved_for_blocking_reads(context: Context<'_>, request: &PendingRequest) -> Vec<HostId> {
    if !blocks_replication(context, request) {
        return Vec::new();
    }
    let is_healthy_replica =
        |host: &Host| context.is_usable(host) && !host.is_ejected(context.now) && !host.is_primary();
    let replicas = context.hosts.members(request.group).filter(|(_, host)| is_healthy_replica(host));
    let mut reserved: Vec<HostId> = replicas.map(|(id, _)| id).collect();
    reserved.sort_unstable();
    reserved.truncate((reserved.len() / BLOCKING_READ_DIVISOR).max(1));
    reserved
}

/// Returns whether the request is a read from data of any age whose latency objective is much longer than
/// that of other classes. A replica applies no log while such a read runs. This is presumed from the
/// settings, as a router that sees one such read a minute cannot wait for evidence.
fn blocks_replication(context: Context<'_>, request: &PendingRequest) -> bool {
    let class = context.class(request);
    let objective_us = class.latency_objective.0;
    class.freshness == Freshness::Any
        && objective_us / BLOCKING_OBJECTIVE_MULTIPLE > context.settings.shortest_latency_objective().0
}

/// Returns whether the host is skipped for this request, by chance with the square of its latency ratio. This
/// applies to large fleets, where a single request from each router may overload the host.
fn is_overloaded(context: Context<'_>, id: HostId, host: &Host, request: &PendingRequest) -> bool {
    if !context.settings.is_large_fleet() {
        return false;
    }
    let overload = outlier::latency_ratio(host, context.now) / HOST_OVERLOAD_RATIO;
    request.hash_fraction(id, OVERLOAD_SALT) * overload * overload > 1.0
}

/// Returns whether the primary is reserved for writes and does not take this read: by chance, with a
/// probability that rises with its latency. Without recent responses of the primary it is kept from half of
/// the reads, and from fewer the longer they have waited.
fn keeps_primary_for_writes(context: Context<'_>, request: &PendingRequest) -> bool {
    let objective_us = context.class(request).latency_objective.0 as f64;
    let uncertainty = 1.0 - context.load.groups.confidence(request.group, Role::Primary, context.now);
    let waiting_discount = (context.now - request.arrived_at).0 as f64 * 4.0 / objective_us;
    // An idle host needs the service time too: only the excess shows that the primary is busy.
    let idle_ratio = context.latency(request).service_time_us / objective_us;
    let excess = context.latency_ratio(request.group, Role::Primary) - idle_ratio;
    let busy_ratio = excess / (PRIMARY_MAX_READ_RATIO - idle_ratio).max(PRIMARY_MAX_READ_RATIO / 2.0);
    let threshold = busy_ratio + uncertainty * (UNOBSERVED_PRIMARY_FRACTION - waiting_discount).max(0.0);
    request.hash_fraction(ANY_HOST, SHARED_SALT) < threshold
}
