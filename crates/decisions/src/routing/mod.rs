//! Routing of requests to hosts. The router's events and actions are in `src/interface/`.
//!
//! This file holds the state of one router and handles its events; `dispatch` carries out what the rules
//! decide. Each rule has a file of its own:
//!
//! | question | file |
//! | --- | --- |
//! | Which hosts are there? | `endpoint_list` |
//! | Which log position does a read require, and which one has a host applied? | `freshness` |
//! | Which role does a host have, and may a fresh read rely on it? | `role` |
//! | May this host take this request? | `eligibility` |
//! | Which eligible host gets it? | `selection` |
//! | Is the request admitted under overload? | `admission` |
//! | May an attempt be repeated? | `retry` |
//! | Is a slow attempt hedged by a second one? | `hedging` |
//! | In which order are waiting requests placed, and when are they given up? | `queue` |
//! | Which share of the requests does a host get while it warms up? | `slow_start` |
//! | When is a host ejected? | `outlier` |
//! | How many attempts may a host have in flight? | `concurrency_limit` |
//! | When is the health of a host checked? | `health_check` |
//! | When are idle connections closed? | `idle_connections` |
//! | Which writes of sessions are shared with other processes of the proxy? | `shared_writes` |
//! | How does the state follow a correction of the hosts' clock? | `clock_shift` |
//!
//! A request is rejected on arrival if its class is unknown or `Admission::decide` sheds it. A waiting
//! request is given up for one of the reasons of `queue::give_up_reason`; `queue::ending` determines whether
//! the request is rejected or failed. A request waits while no host is eligible (`eligibility::Ineligible`
//! lists the reasons) or every eligible host is skipped (`selection::SkipReason` lists the reasons).

mod admission;
mod clock_shift;
mod concurrency_limit;
mod context;
mod dispatch;
mod eligibility;
mod endpoint_list;
mod freshness;
mod health_check;
mod hedging;
mod host;
mod idle_connections;
mod load_estimates;
mod outlier;
mod queue;
mod request;
mod retry;
mod role;
mod selection;
mod shared_writes;
mod slow_start;

use crate::interface::*;
use crate::settings::validate;
use crate::state::session_positions::SessionPositions;
use admission::{Admission, Decision};
use context::{serving_role, Context};
use endpoint_list::ListUpdate;
use freshness::Observation;
use host::HostTable;
use idle_connections::ConnectionPressure;
use load_estimates::LoadEstimates;
use outlier::AttemptEnd;
use request::{Attempt, PendingRequest, PendingRequests, PossibleExecution};
use retry::RetryBudget;

/// Number of sessions whose last write is tracked individually. Positions of evicted sessions are merged into
/// one per group.
const TRACKED_SESSIONS: usize = 20_000;
/// Delay before the endpoint list is watched again after the watch has failed. Used only if the caller leaves
/// the watch to the router; the proxy's discovery actor follows `DiscoveryRetry`.
const DISCOVERY_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(300);
/// Token of the router's only timer.
const TIMER_TOKEN: u64 = 0;

/// Times at which the router acts without an outside event.
#[derive(Debug, Default)]
struct Timers {
    /// When pending requests are checked next.
    next_check: Option<Timestamp>,
    /// When the endpoint list is watched again after a failure.
    next_watch: Option<Timestamp>,
}

/// Decides for one router which host gets each request, and whether it is retried, rejected or failed.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    /// State of a linear congruential generator, which advances once per event.
    random_state: u64,
    now: Timestamp,
    hosts: HostTable,
    requests: PendingRequests,
    load: LoadEstimates,
    admission: Admission,
    sessions: SessionPositions,
    retry_budget: RetryBudget,
    connection_pressure: ConnectionPressure,
    timers: Timers,
    endpoint_list_received: bool,
}

impl Router {
    /// Returns a router without hosts and requests.
    ///
    /// # Errors
    /// If a setting is invalid; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        Ok(Self {
            random_state: seed ^ 0x9E37_79B9_7F4A_7C15,
            now: Timestamp(0),
            hosts: HostTable::default(),
            requests: PendingRequests::default(),
            load: LoadEstimates::new(&settings.classes),
            admission: Admission::new(&settings.tenant_quotas),
            sessions: SessionPositions::new(TRACKED_SESSIONS),
            retry_budget: RetryBudget::new(),
            connection_pressure: ConnectionPressure::default(),
            timers: Timers::default(),
            endpoint_list_received: false,
            settings,
        })
    }

    /// Replaces the settings by `settings`, which must be validated already. Existing classes and tenants
    /// keep their indices; new ones are appended.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.load.add_classes(&settings.classes);
        self.admission.add_tenants(&settings.tenant_quotas);
        self.settings = settings;
    }

    /// Returns the number of listed hosts that get no requests, or get them only as a last resort: those that
    /// are draining, ejected or have a high error rate.
    pub fn ejected_hosts(&self) -> usize {
        outlier::ejected_hosts(self.context())
    }

    /// Handles one event at the time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.advance_random_state();
        match event {
            Event::EndpointList(kind, entries) => self.on_endpoint_list(kind, &entries, actions),
            Event::RequestArrived(request) => self.on_request_arrived(&request, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(&result, actions),
            Event::HealthChecked { host, outcome, report, .. } => {
                self.on_health_checked(host, outcome, report, actions);
            }
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::ResponseStarted { id, attempt } => self.on_response_started(id, attempt),
            Event::WriteShared(write) => self.on_shared_write(&write),
            Event::SharedWritesMissed(position) => self.on_shared_writes_missed(position),
            Event::UnsharedWrites(span) => self.sessions.expect_unknown_writes(self.now, self.now + span),
            Event::PeerMessage { .. } => {}
            Event::Timer(_) => self.on_timer(actions),
        }
        self.schedule_check(actions);
    }

    fn context(&self) -> Context<'_> {
        Context { settings: &self.settings, now: self.now, hosts: &self.hosts, load: &self.load }
    }

    fn advance_random_state(&mut self) {
        let multiplied = self.random_state.wrapping_mul(6_364_136_223_846_793_005);
        self.random_state = multiplied.wrapping_add(1_442_695_040_888_963_407);
    }

    /// Sets the timer for the next check unless it is set for an earlier time. Does nothing while no request
    /// is pending and the endpoint list needs no new watch.
    fn schedule_check(&mut self, actions: &mut Vec<Action>) {
        let is_idle = self.requests.is_empty() && self.timers.next_watch.is_none();
        if is_idle {
            return;
        }
        let at = self.now + queue::check_interval(self.context(), &self.requests);
        if self.timers.next_check.is_none_or(|scheduled| at < scheduled) {
            self.timers.next_check = Some(at);
            actions.push(Action::SetTimer { at, token: TIMER_TOKEN });
        }
    }

    fn on_endpoint_list(
        &mut self,
        kind: EndpointUpdate,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if self.settings.discovery_is_polled && kind == EndpointUpdate::Unavailable {
            self.timers.next_watch = Some(self.now + DISCOVERY_RETRY_DELAY);
        } else if self.settings.discovery_is_polled && !self.endpoint_list_received {
            actions.push(Action::WatchEndpoints(true));
        }
        let update = ListUpdate {
            kind,
            now: self.now,
            is_first: !self.endpoint_list_received,
            initial_concurrency_limit: concurrency_limit::initial_limit(self.settings.router_count),
        };
        endpoint_list::apply(&mut self.hosts, update, entries);
        self.withdraw_reads_with_doubted_role(actions);
        self.endpoint_list_received = true;
        for (group, members) in self.hosts.listed_members() {
            self.load.traffic.entry(group).or_default().record_members(members);
        }
        let removal_is_advisory = self.settings.removal_is_advisory;
        endpoint_list::forget_removed(&mut self.hosts, self.now, removal_is_advisory);
        if !removal_is_advisory {
            self.load.traffic.retain(|group, _| self.hosts.has_group(*group));
        }
        self.dispatch_all(actions);
    }

    fn on_request_arrived(&mut self, request: &Request, actions: &mut Vec<Action>) {
        if request.class >= self.settings.classes.len() {
            actions.push(Action::Reject { id: request.id, retry_after: None });
            return;
        }
        let pending = self.register_arrival(request);
        let context =
            Context { settings: &self.settings, now: self.now, hosts: &self.hosts, load: &self.load };
        let decision = self.admission.decide(context, &pending);
        self.requests.insert(request.id, pending);
        if decision == Decision::ShedLoad {
            self.reject(request.id, actions);
            return;
        }
        self.dispatch(request.group, actions);
        // The next check would be too late for a request that arrives close to its deadline.
        self.give_up_if_due(request.id, actions);
    }

    /// Records the arrival of a request and returns it as a pending one.
    fn register_arrival(&mut self, request: &Request) -> PendingRequest {
        let class = &self.settings.classes[request.class];
        let minimum_position = freshness::minimum_position(&self.settings, &self.sessions, request, self.now);
        let traffic = self.load.traffic.entry(request.group).or_default();
        traffic.record_arrival(serving_role(class), self.now, self.settings.slow_start_budget_window);
        let tenant_weight = self.admission.tenant_weight(&self.settings, request.tenant);
        self.retry_budget.deposit();
        PendingRequest {
            class: request.class,
            group: request.group,
            minimum_position,
            arrived_at: self.now,
            deadline: self.now + request.timeout,
            priority_weight: class.priority_weight * tenant_weight,
            session: request.session,
            random_seed: self.random_state,
            ..PendingRequest::default()
        }
    }

    /// Marks an attempt whose response has started to reach the client: it is not hedged any more.
    fn on_response_started(&mut self, id: RequestId, number: u32) {
        if let Some(attempt) = self.requests.attempt_mut(id, number) {
            attempt.response_started = true;
        }
    }

    fn on_attempt_ended(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.remove_attempt(result.id, result.attempt) else { return };
        self.observe_result(result, &attempt);
        if let Some(host) = self.hosts.get_mut(result.host) {
            let class = &self.settings.classes[attempt.class];
            let end = AttemptEnd { attempt: &attempt, result, class };
            outlier::record_outcome(host, &mut self.load, &self.settings, self.now, &end);
        }
        self.withdraw_reads_with_doubted_role(actions);
        let context =
            Context { settings: &self.settings, now: self.now, hosts: &self.hosts, load: &self.load };
        self.connection_pressure.release_idle_connections(context, result, actions);
        let group = self.hosts.get(result.host).map(|host| host.group);
        self.record_write_end(&attempt, result, actions);
        self.record_attempt_end(&attempt, result);
        if result.request_closed || result.outcome == Outcome::Ok {
            self.close_request(result.id, actions);
        } else {
            self.give_up_if_due(result.id, actions);
        }
        if let Some(group) = group {
            self.dispatch(group, actions);
        }
    }

    /// Records the position and role that an attempt's result reports of its host. A host that rejects a
    /// write as misdirected counts as a replica even if the part of the response that reports the role is
    /// missing.
    fn observe_result(&mut self, result: &AttemptResult, attempt: &Attempt) {
        let is_write = self.settings.classes[attempt.class].freshness == Freshness::Write;
        let rejected_write = is_write && result.outcome == Outcome::Misdirected;
        let role = result.role.or(rejected_write.then_some(Role::Replica));
        let sent_at = attempt.sent_at;
        let observation = Observation { position: result.position, role, observed_at: self.now, sent_at };
        freshness::record_observation(&mut self.hosts, result.host, observation, self.now);
        if let Some(report) = result.report {
            freshness::record_load_report(&mut self.hosts, result.host, report, self.now);
        }
    }

    /// Records the end of an attempt in its request, if that is still pending.
    fn record_attempt_end(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(result.id) else { return };
        request.in_flight_attempts -= 1;
        let is_first = request.possible_execution.is_none_or(|first| attempt.sent_at < first.sent_at);
        if retry::may_have_executed(result.outcome) && is_first {
            let zone = self.hosts.get(result.host).map_or(0, |host| host.zone);
            request.possible_execution = Some(PossibleExecution { sent_at: attempt.sent_at, zone });
        }
        request.reached_a_host |= !matches!(result.outcome, Outcome::ConnectFailed | Outcome::NotSent);
        match result.outcome {
            Outcome::Misdirected | Outcome::Stale => request.rejected_as_behind.push(result.host),
            Outcome::Error => request.failed_at.push(result.host),
            _ => {}
        }
        // A request close to its deadline is not retried, so it must not use up the retry budget.
        let has_time_left = self.now < request.deadline - queue::GIVE_UP_MARGIN;
        if retry::counts_against_budget(result.outcome) && has_time_left {
            request.retries_exhausted = retry::retries_exhausted(request, &self.retry_budget);
            self.retry_budget.withdraw();
        }
    }

    fn on_health_checked(
        &mut self,
        id: HostId,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.health_check_in_flight = false;
        if report.is_none() && matches!(outcome, Outcome::Timeout | Outcome::Reset) {
            host.role.record_response_lost(self.now);
        }
        let (group, position_before) = (host.group, host.applied_position);
        if let Some(report) = report {
            freshness::record_load_report(&mut self.hosts, id, report, self.now);
        }
        // A host that hangs still responds to health checks, but its position does not advance. An
        // advancing position shows that the host is alive, even if the load report is old.
        let advanced = self.hosts.get_mut(id).filter(|host| host.applied_position > position_before);
        if let Some(host) = advanced {
            host.last_response_at = Some(self.now);
        }
        self.dispatch(group, actions);
    }

    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        if self.timers.next_check.is_some_and(|at| at > self.now) {
            return;
        }
        self.timers.next_check = None;
        if self.timers.next_watch.is_some_and(|at| at <= self.now) {
            self.timers.next_watch = None;
            actions.push(Action::WatchEndpoints(true));
        }
        self.eject_unresponsive_hosts();
        self.withdraw_reads_with_doubted_role(actions);
        let ids: Vec<RequestId> = self.requests.ids().collect();
        for id in ids {
            self.give_up_if_due(id, actions);
            self.hedge_if_slow(id, actions);
        }
        self.dispatch_all(actions);
    }

    fn eject_unresponsive_hosts(&mut self) {
        for id in outlier::unresponsive_hosts(self.context(), &self.requests) {
            if let Some(host) = self.hosts.get_mut(id) {
                outlier::record_unresponsive(host, self.now);
            }
        }
    }
}
