//! A router under test with a simulated clock, scripted hosts and clients.

use wheelpier_decisions::*;

/// Microseconds per millisecond.
pub const MS: i64 = 1_000;

/// The router under test and its surroundings.
pub struct World {
    pub router: Router,
    /// The current time in microseconds.
    pub now: i64,
    next_request_id: u64,
    /// Number of attempts that [`World::end_next_attempt`] has ended, by request.
    ended_attempts: std::collections::BTreeMap<RequestId, u32>,
    /// Attempts that the router has withdrawn.
    pub withdrawn: Vec<(RequestId, u32)>,
}

/// Returns a request class with a latency objective of 500 ms and a deadline of 2 s.
pub fn class(freshness: Freshness, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: TimeDelta(500 * MS),
        deadline: TimeDelta(2_000 * MS),
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        idempotency,
        idempotency_key_window: TimeDelta(2_000 * MS),
        freshness,
    }
}

/// Settings with these classes: 0 reads data of any age, 1 session reads, 2 bounded reads (800 ms), 3 writes
/// that must not be repeated, 4 fresh reads, 5 writes with an idempotency key.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Freshness::Any, Idempotency::Idempotent),
            class(Freshness::Session, Idempotency::Idempotent),
            class(Freshness::Bounded(TimeDelta(800 * MS)), Idempotency::Idempotent),
            class(Freshness::Write, Idempotency::NotIdempotent),
            class(Freshness::Fresh, Idempotency::Idempotent),
            class(Freshness::Write, Idempotency::WithKey(KeyScope::Group)),
        ],
        ..Settings::example()
    }
}

/// Returns a load report with this position and role.
pub fn load_report(position: i64, role: Role) -> Option<LoadReport> {
    Some(LoadReport { position: Some(LogPosition(position)), role: Some(role) })
}

impl World {
    /// Creates a router with hosts 0 to `hosts - 1` in group 0, without any observations.
    pub fn new(settings: Settings, hosts: u32) -> Self {
        let router = Router::new(settings, 1).unwrap();
        let mut world = Self {
            router,
            now: 100_000 * MS,
            next_request_id: 0,
            ended_attempts: Default::default(),
            withdrawn: Vec::new(),
        };
        let list = (0..hosts).map(|n| EndpointEntry::new(HostId(n), 0, HostState::Running)).collect();
        world.event(Event::EndpointList(EndpointUpdate::Cached, list));
        world
    }

    /// Creates a router as [`World::new`] does, with host 0 known as the primary and the others as replicas
    /// that are 10 ms behind.
    pub fn with_positions(settings: Settings, hosts: u32) -> Self {
        let mut world = Self::new(settings, hosts);
        for n in 0..hosts {
            let role = if n == 0 { Role::Primary } else { Role::Replica };
            world.health_checked(n, load_report(world.now - if n == 0 { 0 } else { 10 * MS }, role));
        }
        world
    }

    /// Passes an event to the router at the current time and returns the resulting actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(Timestamp(self.now), event, &mut actions);
        let withdrawn = |action: &Action| match action {
            Action::WithdrawAttempt { id, attempt } => Some((*id, *attempt)),
            _ => None,
        };
        self.withdrawn.extend(actions.iter().filter_map(withdrawn));
        actions
    }

    /// Ends a health check of a host: with this report, or with a timeout if there is none.
    pub fn health_checked(&mut self, host: u32, report: Option<LoadReport>) -> Vec<Action> {
        let outcome = if report.is_some() { Outcome::Ok } else { Outcome::Timeout };
        self.event(Event::HealthChecked { host: HostId(host), outcome, latency: TimeDelta(MS), report })
    }

    /// Sends a request with a timeout of 2 s, `since_write` microseconds after the last write of its session.
    pub fn request(&mut self, class: usize, since_write: Option<i64>) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let since_write = since_write.map(TimeDelta);
        let request = Request { time_since_write: since_write, ..Request::new(id, class, 0, 2_000 * MS) };
        let actions = self.event(Event::RequestArrived(request));
        (id, actions)
    }

    /// Ends the next attempt of a request after 50 ms. A response that reports a role also reports a position
    /// 10 ms old.
    pub fn end_next_attempt(
        &mut self,
        id: RequestId,
        host: u32,
        outcome: Outcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        let next_attempt = self.ended_attempts.entry(id).or_insert(0);
        let number = *next_attempt;
        *next_attempt += 1;
        let position = role.map(|_| LogPosition(self.now - 10 * MS));
        self.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt: number,
            host: HostId(host),
            outcome,
            latency: TimeDelta(50 * MS),
            request_closed: outcome == Outcome::Ok,
            position,
            role,
            answer_lost: role.is_none() && is_response_lost(outcome),
            report: None,
        }))
    }

    /// Ends attempt `number` after `latency_us`. A successful response reports a position 5 ms old, and the
    /// primary role for host 0 only.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        number: u32,
        host: u32,
        outcome: Outcome,
        latency_us: i64,
    ) -> Vec<Action> {
        let is_ok = outcome == Outcome::Ok;
        let role = if host == 0 { Role::Primary } else { Role::Replica };
        self.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt: number,
            host: HostId(host),
            outcome,
            latency: TimeDelta(latency_us),
            request_closed: is_ok,
            position: is_ok.then_some(LogPosition(self.now - 5 * MS)),
            role: is_ok.then_some(role),
            answer_lost: is_response_lost(outcome),
            report: None,
        }))
    }

    /// Ends the first attempt of a request with a response that reports the position and role in `observed`.
    pub fn serve_first_attempt(
        &mut self,
        id: RequestId,
        host: u32,
        latency_us: i64,
        observed: Option<LoadReport>,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            host: HostId(host),
            outcome: Outcome::Ok,
            latency: TimeDelta(latency_us),
            request_closed: true,
            position: observed.and_then(|report| report.position),
            role: observed.and_then(|report| report.role),
            answer_lost: false,
            report: None,
        }))
    }

    /// Advances the clock in steps of 10 ms, with a timer event after each.
    pub fn advance_ms(&mut self, ms: i64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..ms / 10 {
            self.now += 10 * MS;
            actions.extend(self.event(Event::Timer(0)));
        }
        actions
    }
}

/// Returns whether an attempt with this outcome was sent but its response was lost.
pub fn is_response_lost(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Reset | Outcome::Timeout | Outcome::Cancelled)
}

/// Returns the hosts that requests are forwarded to.
pub fn forwarded_to(actions: &[Action]) -> Vec<u32> {
    let host = |action: &Action| match action {
        Action::Forward { host, .. } => Some(host.0),
        _ => None,
    };
    actions.iter().filter_map(host).collect()
}

/// Returns the hosts whose health is checked.
pub fn health_checks(actions: &[Action]) -> Vec<u32> {
    let host = |action: &Action| match action {
        Action::HealthCheck { host } => Some(host.0),
        _ => None,
    };
    actions.iter().filter_map(host).collect()
}

/// Returns the actions that reject or fail a request.
pub fn endings(actions: &[Action]) -> Vec<&Action> {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. })).collect()
}
