//! Simulation of a fleet of real routers in virtual time over one emulated world: no sockets and no system
//! clock, and the same result for the same seed. It collects figures over all proxies that no single proxy
//! can see. The callers decide which figures are acceptable.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use wheelpier_decisions::{
    settings, Action, AttemptResult as Answer, EndpointEntry, EndpointUpdate, Event, HostId, HostState,
    LoadReport, LogPosition, Outcome, Request, RequestId, Role, Router, SessionId, Settings, TimeDelta,
    Timestamp,
};
use wheelpier_emulator::checker::{Checker, RULES};
use wheelpier_emulator::host::State;
use wheelpier_emulator::schedule::Planned;
use wheelpier_emulator::spec::Freshness;
use wheelpier_emulator::world::{Effect, HostFault, Query, Reply, Status, World};
use wheelpier_emulator::{Micros, MS, SECOND};

mod cold;
mod day;
mod metrics;

pub use cold::ColdPeak;
pub use day::{Burst, Incident, Scenario};
pub use metrics::{ClassOutcomes, FleetMetrics};

/// One-way network latency between a proxy and a host.
const NETWORK_LATENCY: Micros = 300;
/// Latency that opening a connection adds to the first request on it.
const HANDSHAKE_LATENCY: Micros = 2 * MS;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Micros = 10 * SECOND;
/// Virtual time at the start of a scenario.
const START_TIME: Micros = 1_000_000 * SECOND;

/// Something that happens at a point in virtual time.
enum Due {
    /// The client sends the planned request with this index.
    ClientRequest(usize),
    Incident(usize),
    /// The proxy with this index starts again after a restart.
    ProxyStart(usize),
    /// An event of the proxy with this index and generation; dropped if the proxy has been killed since.
    ProxyEvent(usize, u64, ProxyEvent),
}

/// An event of one proxy.
enum ProxyEvent {
    TimerFired(u64),
    EndpointListed { host: usize, status: Status, started: Option<Micros> },
    AttemptArrived { id: u64, attempt: u32, host: usize, sent: Micros },
    HealthCheckCompleted { host: usize, sent: Micros },
    AttemptTimedOut { id: u64, attempt: u32 },
}

/// An attempt whose result is outstanding.
struct InFlightAttempt {
    host: usize,
    sent: Micros,
    /// The world's ticket of the query, once the attempt has reached its host.
    ticket: Option<u64>,
}

struct Proxy {
    router: Option<Router>,
    /// Number of times that the proxy has been killed.
    generation: u64,
    checker: Checker,
    /// Deadline of the client of each open request; removed with the final reply.
    open: HashMap<u64, Micros>,
    /// Attempts in flight by request id and attempt number.
    in_flight: HashMap<(u64, u32), InFlightAttempt>,
    /// Number of attempts by request id.
    attempts: HashMap<u64, u32>,
    /// Times since which connections have been idle, by host.
    idle: HashMap<usize, Vec<Micros>>,
    /// The latest start time of each host in the proxy's endpoint list.
    known_starts: HashMap<usize, Micros>,
}

struct Fleet {
    scenario: Scenario,
    plan: Vec<Planned>,
    world: World,
    random: ChaCha8Rng,
    proxies: Vec<Proxy>,
    settings: Settings,
    /// Times and keys in `due_items` of everything scheduled, the earliest first.
    due_queue: BinaryHeap<Reverse<(Micros, u64)>>,
    due_items: HashMap<u64, Due>,
    sequence: u64,
    /// Proxy, generation, request id and attempt number by ticket of the world.
    tickets: HashMap<u64, (usize, u64, u64, u32)>,
    /// Recent load of each host while it is cold.
    cold_loads: Vec<cold::ColdLoad>,
    /// Number of earlier tries by the client of each planned request.
    earlier_tries: Vec<u32>,
    /// The latest status and start time of each host in discovery.
    listed: Vec<(Status, Option<Micros>)>,
    metrics: FleetMetrics,
    now: Micros,
}

/// Runs a scenario and returns the fleet's metrics.
///
/// # Errors
/// Returns an error message if the settings are invalid.
pub fn run_scenario(scenario: Scenario) -> Result<FleetMetrics, String> {
    let settings = settings::read(&scenario.spec.settings(scenario.rate).to_string());
    let (mut settings, _) = settings.map_err(|error| error.to_string())?;
    settings.router_count = scenario.routers as u32;
    (scenario.adjust_settings)(&mut settings);
    let hosts = scenario.spec.groups * scenario.spec.members;
    let mut listed = vec![(Status::Up, None); hosts];
    scenario.first_starts.iter().for_each(|(host, _)| listed[*host].0 = Status::Removed);
    let mut fleet = Fleet {
        plan: scenario.requests(),
        world: World::new(scenario.spec.clone(), scenario.seed, START_TIME),
        random: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xf1ee7),
        proxies: Vec::new(),
        settings,
        due_queue: BinaryHeap::new(),
        due_items: HashMap::new(),
        sequence: 0,
        tickets: HashMap::new(),
        cold_loads: vec![cold::ColdLoad::default(); hosts],
        earlier_tries: Vec::new(),
        listed,
        metrics: FleetMetrics::default(),
        now: START_TIME,
        scenario,
    };
    fleet.run()?;
    Ok(fleet.metrics)
}

impl Fleet {
    fn run(&mut self) -> Result<(), String> {
        for n in 0..self.scenario.routers {
            self.proxies.push(Proxy {
                router: None,
                generation: 0,
                checker: Checker::new(&self.scenario.spec),
                open: HashMap::new(),
                in_flight: HashMap::new(),
                attempts: HashMap::new(),
                idle: HashMap::new(),
                known_starts: HashMap::new(),
            });
            self.start_proxy(n)?;
        }
        for (host, at) in self.scenario.first_starts.clone() {
            let effects = self.world.inject(START_TIME, &HostFault::Death { host, span: at });
            self.apply_effects(effects);
        }
        self.earlier_tries = vec![0; self.plan.len()];
        for n in 0..self.plan.len() {
            self.schedule(START_TIME + self.plan[n].at, Due::ClientRequest(n));
        }
        for n in 0..self.scenario.incidents.len() {
            self.schedule(START_TIME + self.scenario.incidents[n].0, Due::Incident(n));
        }
        let end = START_TIME + self.scenario.duration + 10 * SECOND;
        loop {
            let earliest = self.due_queue.peek().map(|Reverse((when, _))| *when);
            let Some(next) = earliest.into_iter().chain(self.world.next()).min().filter(|when| *when <= end)
            else {
                break;
            };
            self.now = next;
            let effects = self.world.advance(next);
            self.apply_effects(effects);
            while self.due_queue.peek().is_some_and(|Reverse((when, _))| *when <= next) {
                let Some(Reverse((_, number))) = self.due_queue.pop() else { break };
                if let Some(due) = self.due_items.remove(&number) {
                    self.handle_due(due)?;
                }
            }
        }
        self.collect_verdicts();
        Ok(())
    }

    fn schedule(&mut self, when: Micros, due: Due) {
        self.sequence += 1;
        self.due_items.insert(self.sequence, due);
        self.due_queue.push(Reverse((when, self.sequence)));
    }

    fn start_proxy(&mut self, n: usize) -> Result<(), String> {
        let seed = self.scenario.seed ^ ((n as u64) << 20) ^ self.proxies[n].generation;
        let settings = Settings { zone: self.scenario.spec.zone(n) as u32, ..self.settings.clone() };
        self.proxies[n].router = Some(Router::new(settings, seed).map_err(|e| e.to_string())?);
        let starts_later = |host| self.scenario.first_starts.iter().any(|(other, _)| *other == host);
        let unknown = |host, listed| starts_later(host) && listed == (Status::Removed, None);
        let listed = self.listed.iter().enumerate().filter(|(host, listed)| !unknown(*host, **listed));
        let listed: Vec<_> = listed.map(|(host, (status, started))| (host, *status, *started)).collect();
        let starts = listed.iter().filter_map(|(host, _, started)| started.map(|started| (*host, started)));
        self.proxies[n].known_starts = starts.collect();
        let entries =
            listed.into_iter().map(|(host, status, started)| self.entry(host, status, started)).collect();
        self.deliver(n, Event::EndpointList(EndpointUpdate::Cached, entries));
        Ok(())
    }

    fn entry(&self, host: usize, status: Status, started: Option<Micros>) -> EndpointEntry {
        let state = match status {
            Status::Up => HostState::Running,
            Status::Draining => HostState::Draining,
            Status::Removed => HostState::Removed,
        };
        let group = self.world.group(host) as u32;
        let zone = self.world.zone(host) as u32;
        EndpointEntry {
            zone,
            started_at: started.map(Timestamp),
            ..EndpointEntry::new(HostId(host as u32), group, state)
        }
    }

    fn handle_due(&mut self, due: Due) -> Result<(), String> {
        match due {
            Due::ClientRequest(n) => self.send_client_request(n),
            Due::ProxyEvent(router, generation, event) if self.proxies[router].generation == generation => {
                self.handle_proxy_event(router, event)
            }
            Due::ProxyEvent(..) => {}
            Due::Incident(n) => match self.scenario.incidents[n].1.clone() {
                Incident::World(fault) => {
                    let effects = self.world.inject(self.now, &fault);
                    self.apply_effects(effects);
                }
                Incident::Restart(router, span) => {
                    self.kill_proxy(router);
                    self.schedule(self.now + span, Due::ProxyStart(router));
                }
            },
            Due::ProxyStart(router) => self.start_proxy(router)?,
        }
        Ok(())
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    /// Sends a planned request to a proxy. The requests of a session go to the same proxy unless they roam;
    /// if that proxy is not running, they go to the next one that is.
    fn send_client_request(&mut self, n: usize) {
        let planned = &self.plan[n];
        let home = planned.roams.unwrap_or(SessionId::of(&planned.session).0) as usize % self.proxies.len();
        let alive = (0..self.proxies.len()).map(|k| (home + k) % self.proxies.len());
        let Some(at) = alive.into_iter().find(|k| self.proxies[*k].router.is_some()) else { return };
        let class = &self.scenario.spec.classes[planned.class];
        let wait = class.deadline;
        self.metrics.classes.entry(planned.class).or_default().asked += 1;
        self.world.ask(&planned.id, &self.world_session(at, &planned.session));
        self.proxies[at].checker.asked(&planned.id, self.now + wait);
        self.proxies[at].open.insert(n as u64, self.now + wait);
        let reads = matches!(class.freshness, Freshness::Write | Freshness::Session);
        let request = Request {
            tenant: planned.tenant,
            session: reads.then(|| SessionId::of(&planned.session)),
            ..Request::new(RequestId(n as u64), planned.class, planned.group as u32, wait)
        };
        self.deliver(at, Event::RequestArrived(request));
    }

    /// Returns the session's name in the world. It is specific to the proxy and its generation, as a read has
    /// to see only the writes that its own proxy has acknowledged since it started.
    fn world_session(&self, router: usize, session: &str) -> String {
        format!("{router}.{}:{session}", self.proxies[router].generation)
    }

    fn finish_request(&mut self, router: usize, id: u64, served: bool) {
        if self.proxies[router].open.remove(&id).is_none() {
            return;
        }
        let planned = &self.plan[id as usize];
        let made = World::content(&planned.id);
        let value = served.then_some((made.as_bytes(), made.as_str()));
        self.proxies[router].checker.answered(self.now, &planned.id, value);
        self.world.answered(&planned.id);
        let latency_objective = self.scenario.spec.classes[planned.class].latency_objective;
        let in_time = served && self.now - START_TIME - planned.at <= latency_objective;
        let untried = !served && !self.proxies[router].attempts.contains_key(&id);
        let outcomes = self.metrics.classes.entry(planned.class).or_default();
        outcomes.in_time += u64::from(in_time);
        outcomes.served += u64::from(served);
        outcomes.rejected += u64::from(!served);
        outcomes.untried += u64::from(untried);
        if !served && self.earlier_tries[id as usize] < self.scenario.max_client_retries {
            self.schedule_client_retry(id as usize);
        }
    }

    /// Schedules another try of a client whose request was not served, under a new request id.
    fn schedule_client_retry(&mut self, n: usize) {
        let at = self.now + self.random.random_range(15..120) * MS;
        let next = self.plan.len();
        let again =
            Planned { at: at - START_TIME, id: format!("{}+", self.plan[n].id), ..self.plan[n].clone() };
        self.plan.push(again);
        self.earlier_tries.push(self.earlier_tries[n] + 1);
        self.schedule(at, Due::ClientRequest(next));
    }

    // ---- Proxies ---------------------------------------------------------------------------------------

    fn kill_proxy(&mut self, router: usize) {
        let proxy = &mut self.proxies[router];
        proxy.router = None;
        proxy.generation += 1;
        proxy.idle.clear();
        proxy.attempts.clear();
        // A request that is lost with its proxy breaks no rule.
        for (id, _) in proxy.open.drain() {
            proxy.checker.withdrawn(&self.plan[id as usize].id);
        }
        for (_, attempt) in proxy.in_flight.drain() {
            attempt.ticket.into_iter().for_each(|ticket| self.world.cancel(ticket));
        }
    }

    fn handle_proxy_event(&mut self, router: usize, event: ProxyEvent) {
        match event {
            ProxyEvent::TimerFired(token) => self.deliver(router, Event::Timer(token)),
            // A newer status of the host has replaced this one.
            ProxyEvent::EndpointListed { host, status, started }
                if self.listed[host] != (status, started) => {}
            ProxyEvent::EndpointListed { host, status, started } => {
                self.proxies[router].checker.status_reported(self.now, host, status);
                if let Some(started) = started {
                    self.proxies[router].known_starts.insert(host, started);
                }
                let entry = self.entry(host, status, started);
                self.deliver(router, Event::EndpointList(EndpointUpdate::Delta, vec![entry]));
            }
            ProxyEvent::AttemptArrived { id, attempt, host, sent } => {
                self.attempt_arrives(router, id, attempt, host, sent)
            }
            ProxyEvent::HealthCheckCompleted { host, sent } => {
                self.health_check_completed(router, host, sent)
            }
            ProxyEvent::AttemptTimedOut { id, attempt } => {
                self.attempt_ended(router, id, attempt, Outcome::Timeout, None)
            }
        }
    }

    /// Schedules an event of a proxy. It is dropped if the proxy is killed before then.
    fn schedule_for_proxy(&mut self, router: usize, when: Micros, event: ProxyEvent) {
        let generation = self.proxies[router].generation;
        self.schedule(when, Due::ProxyEvent(router, generation, event));
    }

    fn deliver(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(instance) = &mut self.proxies[router].router {
            instance.handle(Timestamp(self.now), event, &mut actions);
        }
        for action in actions {
            self.execute(router, action);
        }
    }

    fn execute(&mut self, router: usize, action: Action) {
        match action {
            Action::Forward { id, host, timeout, .. } => {
                self.send_attempt(router, id.0, host.0 as usize, timeout)
            }
            Action::Reject { id, .. } | Action::Fail { id } => self.finish_request(router, id.0, false),
            Action::CancelAttempt { id, attempt } => {
                self.attempt_ended(router, id.0, attempt, Outcome::Cancelled, None)
            }
            Action::SetTimer { at, token } => {
                self.schedule_for_proxy(router, at.0, ProxyEvent::TimerFired(token))
            }
            Action::HealthCheck { host } => {
                self.metrics.health_checks += 1;
                let (host, sent) = (host.0 as usize, self.now);
                let latency = self.one_way_latency(router, host);
                self.schedule_for_proxy(
                    router,
                    self.now + latency,
                    ProxyEvent::HealthCheckCompleted { host, sent },
                );
            }
            Action::CloseIdleConnections { host } => {
                drop(self.proxies[router].idle.remove(&(host.0 as usize)))
            }
            // Attempts are never queued in the proxy here, so there is none to withdraw; each proxy is one
            // process.
            Action::WithdrawAttempt { .. } | Action::ShareWrite(_) => {}
            Action::Log(_) | Action::WatchEndpoints(_) | Action::FetchEndpoints => {}
        }
    }

    /// Returns the latency from a proxy to a host, over an idle connection or, with the handshake, a new one.
    fn one_way_latency(&mut self, router: usize, host: usize) -> Micros {
        let idle = self.proxies[router].idle.entry(host).or_default();
        idle.retain(|since| self.now - since < IDLE_TIMEOUT);
        let cross_zone = self.scenario.spec.zone(router) != self.world.zone(host);
        let latency = if cross_zone {
            NETWORK_LATENCY + self.scenario.spec.cross_zone_latency
        } else {
            NETWORK_LATENCY
        };
        if idle.pop().is_some() {
            return latency;
        }
        self.metrics.connects += 1;
        latency + HANDSHAKE_LATENCY
    }

    fn send_attempt(&mut self, router: usize, id: u64, host: usize, timeout: Option<TimeDelta>) {
        let latency = self.one_way_latency(router, host);
        let proxy = &mut self.proxies[router];
        let attempt = proxy.attempts.entry(id).or_default();
        let number = *attempt;
        *attempt += 1;
        proxy.checker.sent(self.now, host, &self.plan[id as usize].id);
        self.metrics.overlapping_attempts += u64::from(proxy.in_flight.keys().any(|(of, _)| *of == id));
        proxy.in_flight.insert((id, number), InFlightAttempt { host, sent: self.now, ticket: None });
        let until = proxy.open.get(&id).copied().unwrap_or(self.now);
        let until = timeout.map_or(until, |t| until.min(self.now + t.0));
        *self.metrics.attempts_by_second.entry((host, (self.now - START_TIME) / SECOND)).or_default() += 1;
        let sent = self.now;
        self.schedule_for_proxy(
            router,
            self.now + latency,
            ProxyEvent::AttemptArrived { id, attempt: number, host, sent },
        );
        // As in the real proxy, an attempt ends shortly before its client's deadline.
        self.schedule_for_proxy(router, until - 15 * MS, ProxyEvent::AttemptTimedOut { id, attempt: number });
    }

    fn attempt_arrives(&mut self, router: usize, id: u64, attempt: u32, host: usize, sent: Micros) {
        if !self.proxies[router].in_flight.contains_key(&(id, attempt)) {
            return;
        }
        if !self.world.runs(host) {
            return self.attempt_ended(router, id, attempt, Outcome::ConnectFailed, None);
        }
        self.count_cold(router, host, id);
        let planned = &self.plan[id as usize];
        let until = self.proxies[router].open.get(&id).copied().unwrap_or(sent);
        let query = Query {
            id: planned.id.clone(),
            class: planned.class,
            session: planned.session.clone(),
            key: planned.key.clone(),
            until,
        };
        self.sequence += 1;
        let ticket = self.sequence;
        self.tickets.insert(ticket, (router, self.proxies[router].generation, id, attempt));
        if let Some(in_flight) = self.proxies[router].in_flight.get_mut(&(id, attempt)) {
            in_flight.ticket = Some(ticket);
        }
        if self.world.is_primary(host) {
            self.proxies.iter_mut().for_each(|proxy| proxy.checker.seen_as_primary(host));
        }
        let effects = self.world.arrive(self.now, ticket, host, query);
        self.apply_effects(effects);
    }

    /// Counts an attempt at a cold host. Its work is drawn from an exponential distribution seeded with the
    /// request id.
    fn count_cold(&mut self, router: usize, host: usize, id: u64) {
        let Some(started) = self.world.started(host) else { return };
        let informed = self.proxies[router].known_starts.get(&host) == Some(&started);
        let mut random = ChaCha8Rng::seed_from_u64(self.scenario.seed.rotate_left(32) ^ id);
        let work = -(1.0 - random.random::<f64>()).ln();
        if self.cold_loads[host].add(&self.scenario.spec, started, self.now, work, informed) {
            self.metrics.cold.insert(host, self.cold_loads[host].peak);
        }
    }

    fn health_check_completed(&mut self, router: usize, host: usize, sent: Micros) {
        let up = self.world.state(host) == State::Up;
        let role = if self.world.is_primary(host) { Role::Primary } else { Role::Replica };
        let position = Some(LogPosition(self.world.position(host, self.now).div_euclid(MS) * MS));
        let report = up.then_some(LoadReport { position, role: Some(role) });
        let outcome = if up { Outcome::Ok } else { Outcome::ConnectFailed };
        if up {
            self.proxies[router].idle.entry(host).or_default().push(self.now);
        }
        let latency = TimeDelta(self.now + NETWORK_LATENCY - sent);
        self.deliver(router, Event::HealthChecked { host: HostId(host as u32), outcome, latency, report });
    }

    /// Reports the end of an attempt to the router. `note` holds the log position in the answer and whether
    /// the host is the primary.
    fn attempt_ended(
        &mut self,
        router: usize,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        note: Option<(Micros, bool)>,
    ) {
        let Some(in_flight) = self.proxies[router].in_flight.remove(&(id, attempt)) else { return };
        if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            in_flight.ticket.into_iter().for_each(|ticket| self.world.cancel(ticket));
        }
        if matches!(outcome, Outcome::Ok | Outcome::Misdirected | Outcome::Overloaded | Outcome::Error) {
            self.proxies[router].idle.entry(in_flight.host).or_default().push(self.now);
        }
        self.metrics.misdirected += u64::from(outcome == Outcome::Misdirected);
        let waited = self.proxies[router].open.contains_key(&id);
        let reply = Answer {
            id: RequestId(id),
            attempt,
            host: HostId(in_flight.host as u32),
            outcome,
            latency: TimeDelta(self.now - in_flight.sent),
            request_closed: outcome == Outcome::Ok || !waited,
            position: note.map(|(position, _)| LogPosition(position)),
            role: note.map(|(_, primary)| if primary { Role::Primary } else { Role::Replica }),
            answer_lost: note.is_none()
                && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled),
            report: None,
        };
        self.deliver(router, Event::AttemptEnded(reply));
        if outcome == Outcome::Ok {
            let planned = &self.plan[id as usize];
            let write = self.scenario.spec.classes[planned.class].freshness == Freshness::Write;
            if let (true, true, Some((commit, _))) = (write, waited, note) {
                let session = self.world_session(router, &self.plan[id as usize].session);
                self.world.acknowledge(&session, commit);
            }
            self.finish_request(router, id, true);
        }
    }

    // ---- The world -------------------------------------------------------------------------------------

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, reply) => self.handle_reply(ticket, &reply),
                Effect::ConnectionsBroken(host) => self.reset_connections(host),
                Effect::ConnectionsAccepted(_) => {}
                Effect::StatusPublished(host, status, started) => {
                    self.status_published(host, status, started)
                }
                Effect::ColdHostCrashed(host) if self.cold_loads[host].mostly_informed() => {
                    self.metrics.cold_crashes += 1;
                    self.proxies[0].checker.cold_host_crashed(host);
                }
                Effect::ColdHostCrashed(_) => self.metrics.unannounced_cold_crashes += 1,
                Effect::KeyRecordedAgain(key) => self.proxies[0].checker.key_recorded_again(&key),
            }
        }
    }

    fn handle_reply(&mut self, ticket: u64, reply: &Reply) {
        let Some((router, generation, id, attempt)) = self.tickets.remove(&ticket) else { return };
        if self.proxies[router].generation != generation {
            return;
        }
        let Some((host, sent)) = self.proxies[router].in_flight.get(&(id, attempt)).map(|o| (o.host, o.sent))
        else {
            return;
        };
        let (outcome, note) = match reply {
            Reply::Served { position, primary, needed, .. } => {
                let reported = if needed.is_none() { position + MS - 1 } else { *position };
                (Outcome::Ok, (reported.div_euclid(MS) * MS, *primary))
            }
            other => {
                let outcome = match other {
                    Reply::ReadOnly | Reply::Behind => Outcome::Misdirected,
                    Reply::Full => Outcome::Overloaded,
                    _ => Outcome::Error,
                };
                let position = self.world.position(host, self.now).div_euclid(MS) * MS;
                (outcome, (position, self.world.is_primary(host)))
            }
        };
        let name = self.plan[id as usize].id.clone();
        self.proxies[router].checker.replied(host, sent, &name, reply);
        self.proxies[router].checker.role_reported(self.now, host, &name, note.1);
        self.attempt_ended(router, id, attempt, outcome, Some(note));
    }

    fn reset_connections(&mut self, host: usize) {
        for router in 0..self.proxies.len() {
            self.proxies[router].idle.remove(&host);
            let affected = self.proxies[router]
                .in_flight
                .iter()
                .filter(|(_, attempt)| attempt.host == host && attempt.ticket.is_some());
            let mut affected: Vec<(u64, u32)> = affected.map(|(key, _)| *key).collect();
            affected.sort_unstable();
            for (id, attempt) in affected {
                self.attempt_ended(router, id, attempt, Outcome::Reset, None);
            }
        }
    }

    /// Passes a host's new status in discovery on to every proxy within half a second.
    fn status_published(&mut self, host: usize, status: Status, started: Option<Micros>) {
        // Its removal is outdated if the host is up again.
        if status == Status::Removed && self.world.state(host) == State::Up {
            return;
        }
        self.listed[host] = (status, started);
        for router in 0..self.proxies.len() {
            let late = self.random.random_range(0..SECOND / 2);
            self.schedule_for_proxy(
                router,
                self.now + late,
                ProxyEvent::EndpointListed { host, status, started },
            );
        }
    }

    fn collect_verdicts(&mut self) {
        for proxy in &mut self.proxies {
            proxy.checker.end();
            for rule in RULES {
                let (tried, broken) = proxy.checker.verdict(rule);
                let sum = self.metrics.rules.entry(rule).or_default();
                *sum = (sum.0 + tried, sum.1 + broken);
            }
            self.metrics
                .breaches
                .extend(proxy.checker.breaches().iter().take(2).map(|b| b.description.clone()));
        }
    }
}
