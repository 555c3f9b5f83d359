//! Which eligible host gets a request, and of which hosts a health check would help to place it.

use super::context::Context;
use super::eligibility::{eligibility, Eligibility};
use super::host::Host;
use super::outlier;
use super::request::{PendingRequest, PendingRequests, ANY_HOST, SHARED_SALT};
use super::slow_start;
use crate::interface::{Freshness, HostId, RequestId, Role};

/// Latency ratio of the primary from which on it takes no reads that replicas might take.
const PRIMARY_READ_RATIO: f64 = 0.5;
/// Fraction of the reads kept from a primary of which nothing is known.
const UNKNOWN_PRIMARY_FRACTION: f64 = 0.5;
/// Latency ratio of a host from which on one of many routers leaves it out for some of its reads.
const HOST_OVERLOAD_RATIO: f64 = 0.2;
/// One replica in this many takes the reads that block replication.
const BLOCKING_READ_DIVISOR: usize = 3;
/// A read whose objective exceeds this multiple of the shortest one blocks replication.
const BLOCKING_OBJECTIVE_MULTIPLE: i64 = 4;
/// Least random factor of a host's expected latency; the factor lets equal hosts share the requests.
const RANDOM_FACTOR_MIN: f64 = 0.75;
/// Difference between the least and the largest random factor.
const RANDOM_FACTOR_SPAN: f64 = 0.5;
/// Salt of the random number by which a request leaves out an overloaded host.
const OVERLOAD_SALT: u64 = 2;
/// Salt of the random factor of the first attempt; each further attempt adds one.
const RANKING_SALT: u64 = 1;

/// The outcome of a selection.
#[derive(Debug)]
pub(super) struct Selection {
    /// The host to forward to; none if the request has to wait.
    pub host: Option<HostId>,
    /// Hosts of which a health check would help.
    pub health_checks: Vec<HostId>,
}

/// Why an eligible host is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PassedOver {
    /// The request is in flight there, or was rejected there as too far behind.
    AlreadyTried,
    /// The circuit breaker is open and others may take the request.
    Ejected,
    /// The router has as many attempts in flight there as the limit allows.
    AtConcurrencyLimit,
    /// The primary is busy with writes.
    PrimaryKeptForWrites,
    /// Its recent responses were slow, and this router is one of many.
    Overloaded,
    /// The request blocks replication, and other replicas are reserved for such requests.
    NotReservedForBlockingReads,
}

/// The order of preference: the least is best. Fields are compared from the first to the last.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    /// Ejected, with many errors, or failed at this very request.
    is_last_resort: bool,
    eligibility: Eligibility,
    /// A host that warms up was admitted by chance already, and does not compete for the request again.
    is_warm: bool,
    in_flight: u32,
    /// Expected latency plus the price of another zone, in microseconds.
    cost_us: f64,
}

/// What is the same for all hosts in the selection for one request.
struct Selector<'a> {
    context: Context<'a>,
    requests: &'a PendingRequests,
    id: RequestId,
    request: &'a PendingRequest,
    is_write: bool,
    /// Whether some member is neither ejected nor draining: a group is never shut out as a whole.
    has_healthy_member: bool,
    /// The replicas for reads that block replication; empty for other requests.
    blocking_read_replicas: Vec<HostId>,
    /// Error rate from which on a host is a last resort.
    outlier_error_rate: f64,
}

/// Returns the best host that may take the request now. Returns `None` if the request has gone.
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
        if selector.passed_over(host_id, host, eligibility).is_some() {
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

    fn passed_over(&self, id: HostId, host: &Host, eligibility: Eligibility) -> Option<PassedOver> {
        let was_behind =
            eligibility == Eligibility::LikelyCaughtUp && self.request.rejected_as_behind.contains(&id);
        if was_behind || self.requests.attempts_of(self.id).any(|(_, attempt)| attempt.host == id) {
            return Some(PassedOver::AlreadyTried);
        }
        if (self.is_write || self.has_healthy_member) && host.is_ejected(self.context.now) {
            return Some(PassedOver::Ejected);
        }
        if f64::from(host.in_flight) >= host.concurrency_limit.max(1.0) {
            return Some(PassedOver::AtConcurrencyLimit);
        }
        let replica_would_do =
            eligibility == Eligibility::Primary && !self.context.needs_primary(self.request);
        if replica_would_do && keeps_primary_for_writes(self.context, self.request) {
            return Some(PassedOver::PrimaryKeptForWrites);
        }
        if !self.is_write && is_overloaded(self.context, id, host, self.request) {
            return Some(PassedOver::Overloaded);
        }
        let reserved = &self.blocking_read_replicas;
        let may_take = reserved.is_empty() || reserved.contains(&id);
        (!may_take).then_some(PassedOver::NotReservedForBlockingReads)
    }

    fn rank(&self, id: HostId, host: &Host, eligibility: Eligibility) -> Rank {
        let is_last_resort = host.is_ejected(self.context.now)
            || outlier::error_rate(host, self.context.now) > self.outlier_error_rate
            || self.request.failed_at.contains(&id);
        let is_warm = slow_start::slow_start_fraction(self.context, host) >= 1.0;
        let cost_us = self.cost_us(id, host);
        Rank { is_last_resort, eligibility, is_warm, in_flight: host.in_flight, cost_us }
    }

    /// Returns the expected latency at the host, scaled at random, plus the price of another zone in the
    /// same unit.
    fn cost_us(&self, id: HostId, host: &Host) -> f64 {
        let settings = self.context.settings;
        let objective_us = self.context.class(self.request).latency_objective.0 as f64;
        let is_local = host.zone == settings.zone;
        let zone_cost_us = if is_local { 0.0 } else { settings.price_cross_zone * objective_us };
        let salt = RANKING_SALT + u64::from(self.request.attempts);
        let random_factor = RANDOM_FACTOR_MIN + RANDOM_FACTOR_SPAN * self.request.hash_fraction(id, salt);
        self.context.latency(self.request).mean_us * host.relative_latency * random_factor + zone_cost_us
    }

    /// Returns the hosts of which a health check would help a request that no host is proven to suit. For a
    /// write the primary or, if that fails, all ineligible hosts. For a read, where hosts check reads, the
    /// one checked longest ago; elsewhere the primary whose role is in doubt or, if none is known, all
    /// ineligible hosts.
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
/// empty if the request is none of them. Chosen by number: all routers reserve the same replicas.
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

/// Returns whether the request is a read that any data will do for and that is given far more time than
/// others: a replica applies no log while it runs. Presumed, since a router that sees one a minute cannot
/// wait for evidence.
fn blocks_replication(context: Context<'_>, request: &PendingRequest) -> bool {
    let class = context.class(request);
    let objective_us = class.latency_objective.0;
    class.freshness == Freshness::Any
        && objective_us / BLOCKING_OBJECTIVE_MULTIPLE > context.settings.shortest_latency_objective().0
}

/// Returns whether the host is left out for this request, where one request of each of many routers is too
/// much for it: by chance, with the square of its latency ratio.
fn is_overloaded(context: Context<'_>, id: HostId, host: &Host, request: &PendingRequest) -> bool {
    if !context.settings.is_large_fleet() {
        return false;
    }
    let overload = outlier::latency_ratio(host, context.now) / HOST_OVERLOAD_RATIO;
    request.hash_fraction(id, OVERLOAD_SALT) * overload * overload > 1.0
}

/// Returns whether the primary is kept for writes instead of taking this read: by chance, the more the
/// slower it is. While nothing is known of it, it is kept from half of the reads, and from fewer the longer
/// they have waited.
fn keeps_primary_for_writes(context: Context<'_>, request: &PendingRequest) -> bool {
    let objective_us = context.class(request).latency_objective.0 as f64;
    let unknown = 1.0 - context.load.groups.confidence(request.group, Role::Primary, context.now);
    let waited = (context.now - request.arrived_at).0 as f64 * 4.0 / objective_us;
    // The work takes its time at an idle host too: only what exceeds that shows that the primary is busy.
    let idle_ratio = context.latency(request).service_time_us / objective_us;
    let excess = context.latency_ratio(request.group, Role::Primary) - idle_ratio;
    let busy = excess / (PRIMARY_READ_RATIO - idle_ratio).max(PRIMARY_READ_RATIO / 2.0);
    let threshold = busy + unknown * (UNKNOWN_PRIMARY_FRACTION - waited).max(0.0);
    request.hash_fraction(ANY_HOST, SHARED_SALT) < threshold
}
