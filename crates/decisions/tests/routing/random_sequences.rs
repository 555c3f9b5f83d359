//! Random valid event sequences: nothing panics, and every action obeys the routing rules.

use crate::world::*;
use std::collections::BTreeMap;
use wheelpier_decisions::*;

const HOSTS: usize = 5;
const STEPS: u64 = 1_500;
const STEP_MS: i64 = 10;
const REQUEST_TIMEOUT_MS: i64 = 2_000;

/// Outcomes of attempts that end before the deadline; three of six are successful.
const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Overloaded, Outcome::Misdirected];

/// A xorshift random generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// State of a request as its client sees it.
#[derive(Default)]
struct ClientRequest {
    class: usize,
    deadline: i64,
    has_ended: bool,
    attempts: u32,
    /// Host and send time of each attempt in flight, by attempt number.
    in_flight: BTreeMap<u32, (u32, i64)>,
    may_have_been_executed: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlight {
    id: RequestId,
    attempt: u32,
    host: u32,
    sent_at: i64,
}

struct Sequence {
    settings: Settings,
    world: World,
    random: Random,
    requests: BTreeMap<RequestId, ClientRequest>,
    is_draining: [bool; HOSTS],
}

impl Sequence {
    fn new(seed: u64, change: fn(&mut Settings)) -> Self {
        let mut settings = settings();
        change(&mut settings);
        let world = World::with_positions(settings.clone(), HOSTS as u32);
        let (requests, is_draining) = (BTreeMap::new(), [false; HOSTS]);
        Self { settings, world, random: Random(seed), requests, is_draining }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.world.now += STEP_MS * MS;
            let mut actions = self.random_event(step);
            actions.extend(self.end_attempts_at_their_deadline());
            actions.extend(self.world.event(Event::Timer(0)));
            actions.iter().for_each(|action| self.check(action));
            self.check_every_request_ends_in_time();
            self.requests.retain(|_, request| !request.has_ended || !request.in_flight.is_empty());
        }
    }

    fn random_event(&mut self, step: u64) -> Vec<Action> {
        match self.random.below(8) {
            0..=2 => self.request(),
            3 => self.health_checked(),
            4 if step.is_multiple_of(40) => self.toggle_draining(),
            5..=6 => self.end_random_attempt(),
            _ => Vec::new(),
        }
    }

    fn request(&mut self) -> Vec<Action> {
        let class = self.random.below(self.settings.classes.len() as u64) as usize;
        let since_write = Some(self.random.below(600) as i64 * MS).filter(|since| *since > 0);
        let (id, actions) = self.world.request(class, since_write);
        let deadline = self.world.now + REQUEST_TIMEOUT_MS * MS;
        self.requests.insert(id, ClientRequest { class, deadline, ..ClientRequest::default() });
        actions
    }

    fn health_checked(&mut self) -> Vec<Action> {
        let host = self.random.below(HOSTS as u64) as u32;
        let role = if self.random.below(4) == 0 { Role::Primary } else { Role::Replica };
        let age = self.random.below(900) as i64 * MS;
        self.world.health_checked(host, load_report(self.world.now - age, role))
    }

    fn toggle_draining(&mut self) -> Vec<Action> {
        let host = self.random.below(HOSTS as u64) as usize;
        self.is_draining[host] = !self.is_draining[host];
        let state = if self.is_draining[host] { HostState::Draining } else { HostState::Running };
        let mut entry = EndpointEntry::new(HostId(host as u32), 0, state);
        entry.started_at = Some(Timestamp(self.world.now));
        self.world.event(Event::EndpointList(EndpointUpdate::Delta, vec![entry]))
    }

    fn in_flight(&self, is_selected: impl Fn(&ClientRequest) -> bool) -> Vec<InFlight> {
        let selected = self.requests.iter().filter(|(_, request)| is_selected(request));
        let attempts = selected.flat_map(|(id, request)| {
            let attempts = request.in_flight.iter();
            attempts.map(|(attempt, (host, sent_at))| InFlight {
                id: *id,
                attempt: *attempt,
                host: *host,
                sent_at: *sent_at,
            })
        });
        attempts.collect()
    }

    fn end_random_attempt(&mut self) -> Vec<Action> {
        let in_flight = self.in_flight(|_| true);
        if in_flight.is_empty() {
            return Vec::new();
        }
        let ended = in_flight[self.random.below(in_flight.len() as u64) as usize];
        let outcome = OUTCOMES[self.random.below(OUTCOMES.len() as u64) as usize];
        let request = self.requests.get_mut(&ended.id).unwrap();
        request.in_flight.remove(&ended.attempt);
        request.may_have_been_executed |= outcome == Outcome::Error;
        request.has_ended |= outcome == Outcome::Ok;
        let role = if ended.host == 0 { Role::Primary } else { Role::Replica };
        let position = LogPosition(self.world.now - 20 * MS);
        self.end_attempt(ended, outcome, Some((position, role)))
    }

    fn end_attempts_at_their_deadline(&mut self) -> Vec<Action> {
        let now = self.world.now;
        let mut actions = Vec::new();
        for ended in self.in_flight(|request| request.deadline <= now) {
            let request = self.requests.get_mut(&ended.id).unwrap();
            request.in_flight.remove(&ended.attempt);
            request.may_have_been_executed = true;
            actions.extend(self.end_attempt(ended, Outcome::Timeout, None));
        }
        actions
    }

    fn end_attempt(
        &mut self,
        ended: InFlight,
        outcome: Outcome,
        observed: Option<(LogPosition, Role)>,
    ) -> Vec<Action> {
        self.world.event(Event::AttemptEnded(AttemptResult {
            id: ended.id,
            attempt: ended.attempt,
            host: HostId(ended.host),
            outcome,
            latency: TimeDelta(self.world.now - ended.sent_at),
            request_closed: self.requests[&ended.id].has_ended,
            position: observed.map(|(position, _)| position),
            role: observed.map(|(_, role)| role),
            answer_lost: observed.is_none() && is_response_lost(outcome),
            report: None,
        }))
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Forward { id, host, .. } => self.check_forwarded(*id, *host),
            Action::Reject { id, .. } => {
                let request = self.requests.get_mut(id).unwrap();
                let idempotency = self.settings.classes[request.class].idempotency;
                let is_harmless = idempotency == Idempotency::Idempotent || !request.may_have_been_executed;
                assert!(
                    !request.has_ended && is_harmless,
                    "a rejection promises that the request was not executed, or may be repeated"
                );
                request.has_ended = true;
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(id).unwrap();
                assert!(!request.has_ended, "the request ended twice");
                request.has_ended = true;
            }
            _ => {}
        }
    }

    fn check_forwarded(&mut self, id: RequestId, host: HostId) {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.has_ended, "forwarded after the request had ended");
        assert!(!self.is_draining[host.0 as usize], "forwarded to a draining host");
        let is_first = request.in_flight.is_empty();
        assert!(self.settings.hedging_allowed || is_first, "two attempts in flight");
        let idempotency = self.settings.classes[request.class].idempotency;
        assert!(idempotency != Idempotency::NotIdempotent || (is_first && !request.may_have_been_executed));
        assert!(request.attempts < self.settings.max_attempts);
        request.in_flight.insert(request.attempts, (host.0, self.world.now));
        request.attempts += 1;
    }

    fn check_every_request_ends_in_time(&self) {
        let slack = self.settings.response_deadline_slack.0;
        for (id, request) in &self.requests {
            assert!(
                request.has_ended || self.world.now <= request.deadline + slack,
                "{id:?} has no final reply"
            );
        }
    }
}

#[test]
fn the_routing_rules_hold_for_random_valid_event_sequences() {
    let run = |seed, change| Sequence::new(seed, change).run();
    for seed in 1..4 {
        run(seed, |_| {});
        run(seed, |settings| settings.hedging_allowed = false);
        run(seed, |settings| settings.lag_policy = LagPolicy::WaitThenReject(TimeDelta(100 * MS)));
        run(seed, |settings| {
            settings.health_checks_allowed = false;
            settings.cancellation_allowed = false;
        });
        run(seed, |settings| settings.max_attempts = 1);
    }
}
