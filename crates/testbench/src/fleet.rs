//! A whole fleet of real routers in virtual time over the stand-in's one world: no sockets and no clock, the same
//! for the same seed. It counts over the fleet what no single proxy can see, and leaves judging to its users.

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
pub use day::{Burst, Day, Incident};
pub use metrics::{ClassOutcomes, FleetMetrics};

/// One way between a proxy and a host or client.
const WAY: Micros = 300;
/// What a new connection costs the first request on it.
const HANDSHAKE: Micros = 2 * MS;
/// An idle connection is closed after this.
const IDLE: Micros = 10 * SECOND;
/// When the virtual time begins.
const START: Micros = 1_000_000 * SECOND;

enum Due {
    Ask(usize),
    Incident(usize),
    Starts(usize),
    /// To a proxy in that life of its; nothing if it has been killed since.
    Proxy(usize, u64, Own),
}

enum Own {
    Rings(u64),
    Listed { host: usize, status: Status, started: Option<Micros> },
    Arrives { id: u64, attempt: u32, host: usize, sent: Micros },
    Reported { host: usize, sent: Micros },
    Over { id: u64, attempt: u32 },
}

struct Out {
    host: usize,
    sent: Micros,
    ticket: Option<u64>,
}

struct Node {
    router: Option<Router>,
    life: u64,
    checker: Checker,
    /// When the client of each open request leaves; gone once it has its answer.
    open: HashMap<u64, Micros>,
    out: HashMap<(u64, u32), Out>,
    attempts: HashMap<u64, u32>,
    /// Idle connections by host: since when.
    idle: HashMap<usize, Vec<Micros>>,
    /// The latest start of each host that its list has named.
    starts: HashMap<usize, Micros>,
}

struct Fleet {
    day: Day,
    plan: Vec<Planned>,
    world: World,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    settings: Settings,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Due>,
    sequence: u64,
    tickets: HashMap<u64, (usize, u64, u64, u32)>,
    /// Load of each host since it started cold.
    cold: Vec<cold::ColdLoad>,
    /// How often the client of each planned request has asked before.
    asked: Vec<u32>,
    /// What discovery has said of each host.
    listed: Vec<(Status, Option<Micros>)>,
    metrics: FleetMetrics,
    now: Micros,
}

/// Plays a day.
///
/// # Errors
/// When the settings cannot be read or no router takes them; the text says why.
pub fn play(day: Day) -> Result<FleetMetrics, String> {
    let settings = settings::read(&day.spec.settings(day.rate).to_string());
    let (mut settings, _) = settings.map_err(|error| error.to_string())?;
    settings.router_count = day.routers as u32;
    (day.tune)(&mut settings);
    let hosts = day.spec.groups * day.spec.members;
    let mut listed = vec![(Status::Up, None); hosts];
    day.joins.iter().for_each(|(host, _)| listed[*host].0 = Status::Removed);
    let mut fleet = Fleet {
        plan: day.requests(),
        world: World::new(day.spec.clone(), day.seed, START),
        random: ChaCha8Rng::seed_from_u64(day.seed ^ 0xf1ee7),
        nodes: Vec::new(),
        settings,
        due: BinaryHeap::new(),
        what: HashMap::new(),
        sequence: 0,
        tickets: HashMap::new(),
        cold: vec![cold::ColdLoad::default(); hosts],
        asked: Vec::new(),
        listed,
        metrics: FleetMetrics::default(),
        now: START,
        day,
    };
    fleet.run()?;
    Ok(fleet.metrics)
}

impl Fleet {
    fn run(&mut self) -> Result<(), String> {
        for n in 0..self.day.routers {
            self.nodes.push(Node {
                router: None,
                life: 0,
                checker: Checker::new(&self.day.spec),
                open: HashMap::new(),
                out: HashMap::new(),
                attempts: HashMap::new(),
                idle: HashMap::new(),
                starts: HashMap::new(),
            });
            self.start(n)?;
        }
        for (host, at) in self.day.joins.clone() {
            let effects = self.world.inject(START, &HostFault::Death { host, span: at });
            self.effects(effects);
        }
        self.asked = vec![0; self.plan.len()];
        for n in 0..self.plan.len() {
            self.at(START + self.plan[n].at, Due::Ask(n));
        }
        for n in 0..self.day.incidents.len() {
            self.at(START + self.day.incidents[n].0, Due::Incident(n));
        }
        let end = START + self.day.span + 10 * SECOND;
        loop {
            let own = self.due.peek().map(|Reverse((when, _))| *when);
            let Some(next) = own.into_iter().chain(self.world.next()).min().filter(|when| *when <= end)
            else {
                break;
            };
            self.now = next;
            let effects = self.world.advance(next);
            self.effects(effects);
            while self.due.peek().is_some_and(|Reverse((when, _))| *when <= next) {
                let Some(Reverse((_, number))) = self.due.pop() else { break };
                if let Some(due) = self.what.remove(&number) {
                    self.happens(due)?;
                }
            }
        }
        self.close();
        Ok(())
    }

    fn at(&mut self, when: Micros, due: Due) {
        self.sequence += 1;
        self.what.insert(self.sequence, due);
        self.due.push(Reverse((when, self.sequence)));
    }

    fn start(&mut self, n: usize) -> Result<(), String> {
        let seed = self.day.seed ^ ((n as u64) << 20) ^ self.nodes[n].life;
        let own = Settings { zone: self.day.spec.zone(n) as u32, ..self.settings.clone() };
        self.nodes[n].router = Some(Router::new(own, seed).map_err(|e| e.to_string())?);
        let joins = |host| self.day.joins.iter().any(|(other, _)| *other == host);
        let unknown = |host, listed| joins(host) && listed == (Status::Removed, None);
        let listed = self.listed.iter().enumerate().filter(|(host, listed)| !unknown(*host, **listed));
        let listed: Vec<_> = listed.map(|(host, (status, started))| (host, *status, *started)).collect();
        let starts = listed.iter().filter_map(|(host, _, started)| started.map(|started| (*host, started)));
        self.nodes[n].starts = starts.collect();
        let entries =
            listed.into_iter().map(|(host, status, started)| self.entry(host, status, started)).collect();
        self.tell(n, Event::EndpointList(EndpointUpdate::Cached, entries));
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

    fn happens(&mut self, due: Due) -> Result<(), String> {
        match due {
            Due::Ask(n) => self.ask(n),
            Due::Proxy(router, life, own) if self.nodes[router].life == life => self.own(router, own),
            Due::Proxy(..) => {}
            Due::Incident(n) => match self.day.incidents[n].1.clone() {
                Incident::World(fault) => {
                    let effects = self.world.inject(self.now, &fault);
                    self.effects(effects);
                }
                Incident::Restart(router, span) => {
                    self.kill(router);
                    self.at(self.now + span, Due::Starts(router));
                }
            },
            Due::Starts(router) => self.start(router)?,
        }
        Ok(())
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    /// A session's requests go to one proxy while it runs, but for those that roam; to the next one that runs
    /// otherwise.
    fn ask(&mut self, n: usize) {
        let planned = &self.plan[n];
        let home = planned.roams.unwrap_or(SessionId::of(&planned.session).0) as usize % self.nodes.len();
        let alive = (0..self.nodes.len()).map(|k| (home + k) % self.nodes.len());
        let Some(at) = alive.into_iter().find(|k| self.nodes[*k].router.is_some()) else { return };
        let class = &self.day.spec.classes[planned.class];
        let wait = class.deadline;
        self.metrics.classes.entry(planned.class).or_default().asked += 1;
        self.world.ask(&planned.id, &self.seen_by(at, &planned.session));
        self.nodes[at].checker.asked(&planned.id, self.now + wait);
        self.nodes[at].open.insert(n as u64, self.now + wait);
        let reads = matches!(class.freshness, Freshness::Write | Freshness::Session);
        let request = Request {
            tenant: planned.tenant,
            session: reads.then(|| SessionId::of(&planned.session)),
            ..Request::new(RequestId(n as u64), planned.class, planned.group as u32, wait)
        };
        self.tell(at, Event::RequestArrived(request));
    }

    /// The session as the world knows it: a read has to see only what its own proxy has acknowledged since it
    /// started.
    fn seen_by(&self, router: usize, session: &str) -> String {
        format!("{router}.{}:{session}", self.nodes[router].life)
    }

    fn answer(&mut self, router: usize, id: u64, served: bool) {
        if self.nodes[router].open.remove(&id).is_none() {
            return;
        }
        let planned = &self.plan[id as usize];
        let made = World::content(&planned.id);
        let value = served.then_some((made.as_bytes(), made.as_str()));
        self.nodes[router].checker.answered(self.now, &planned.id, value);
        self.world.answered(&planned.id);
        let latency_objective = self.day.spec.classes[planned.class].latency_objective;
        let in_time = served && self.now - START - planned.at <= latency_objective;
        let untried = !served && !self.nodes[router].attempts.contains_key(&id);
        let outcomes = self.metrics.classes.entry(planned.class).or_default();
        outcomes.in_time += u64::from(in_time);
        outcomes.served += u64::from(served);
        outcomes.rejected += u64::from(!served);
        outcomes.untried += u64::from(untried);
        if !served && self.asked[id as usize] < self.day.again {
            self.comes_again(id as usize);
        }
    }

    /// A client that was turned away asks once more, under another id.
    fn comes_again(&mut self, n: usize) {
        let at = self.now + self.random.random_range(15..120) * MS;
        let next = self.plan.len();
        let again = Planned { at: at - START, id: format!("{}+", self.plan[n].id), ..self.plan[n].clone() };
        self.plan.push(again);
        self.asked.push(self.asked[n] + 1);
        self.at(at, Due::Ask(next));
    }

    // ---- Proxies ---------------------------------------------------------------------------------------

    fn kill(&mut self, router: usize) {
        let node = &mut self.nodes[router];
        node.router = None;
        node.life += 1;
        node.idle.clear();
        node.attempts.clear();
        // What dies with its proxy is no breach of anybody's.
        for (id, _) in node.open.drain() {
            node.checker.withdrawn(&self.plan[id as usize].id);
        }
        for (_, out) in node.out.drain() {
            out.ticket.into_iter().for_each(|ticket| self.world.cancel(ticket));
        }
    }

    fn own(&mut self, router: usize, own: Own) {
        match own {
            Own::Rings(token) => self.tell(router, Event::Timer(token)),
            // A newer list has overtaken this one.
            Own::Listed { host, status, started } if self.listed[host] != (status, started) => {}
            Own::Listed { host, status, started } => {
                self.nodes[router].checker.status_reported(self.now, host, status);
                if let Some(started) = started {
                    self.nodes[router].starts.insert(host, started);
                }
                let entry = self.entry(host, status, started);
                self.tell(router, Event::EndpointList(EndpointUpdate::Delta, vec![entry]));
            }
            Own::Arrives { id, attempt, host, sent } => self.arrives(router, id, attempt, host, sent),
            Own::Reported { host, sent } => self.reported(router, host, sent),
            Own::Over { id, attempt } => self.ended(router, id, attempt, Outcome::Timeout, None),
        }
    }

    /// Sets something that happens to a proxy if it lives so long.
    fn later(&mut self, router: usize, when: Micros, own: Own) {
        let life = self.nodes[router].life;
        self.at(when, Due::Proxy(router, life, own));
    }

    fn tell(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(of) = &mut self.nodes[router].router {
            of.handle(Timestamp(self.now), event, &mut actions);
        }
        for action in actions {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Forward { id, host, timeout, .. } => self.send(router, id.0, host.0 as usize, timeout),
            Action::Reject { id, .. } | Action::Fail { id } => self.answer(router, id.0, false),
            Action::CancelAttempt { id, attempt } => {
                self.ended(router, id.0, attempt, Outcome::Cancelled, None)
            }
            Action::SetTimer { at, token } => self.later(router, at.0, Own::Rings(token)),
            Action::HealthCheck { host } => {
                self.metrics.probes += 1;
                let (host, sent) = (host.0 as usize, self.now);
                let way = self.way(router, host);
                self.later(router, self.now + way, Own::Reported { host, sent });
            }
            Action::CloseIdleConnections { host } => drop(self.nodes[router].idle.remove(&(host.0 as usize))),
            // An attempt is with its host at once: none can be withdrawn.
            Action::WithdrawAttempt { .. } => {}
            Action::Log(_) | Action::WatchEndpoints(_) | Action::FetchEndpoints => {}
        }
    }

    /// How long it takes to a host, over a connection that stands or a new one.
    fn way(&mut self, router: usize, host: usize) -> Micros {
        let idle = self.nodes[router].idle.entry(host).or_default();
        idle.retain(|since| self.now - since < IDLE);
        let crosses = self.day.spec.zone(router) != self.world.zone(host);
        let way = if crosses { WAY + self.day.spec.cross_zone_latency } else { WAY };
        if idle.pop().is_some() {
            return way;
        }
        self.metrics.connects += 1;
        way + HANDSHAKE
    }

    fn send(&mut self, router: usize, id: u64, host: usize, timeout: Option<TimeDelta>) {
        let way = self.way(router, host);
        let node = &mut self.nodes[router];
        let attempt = node.attempts.entry(id).or_default();
        let number = *attempt;
        *attempt += 1;
        node.checker.sent(self.now, host, &self.plan[id as usize].id);
        self.metrics.copies += u64::from(node.out.keys().any(|(of, _)| *of == id));
        node.out.insert((id, number), Out { host, sent: self.now, ticket: None });
        let until = node.open.get(&id).copied().unwrap_or(self.now);
        let until = timeout.map_or(until, |t| until.min(self.now + t.0));
        *self.metrics.sends.entry((host, (self.now - START) / SECOND)).or_default() += 1;
        let sent = self.now;
        self.later(router, self.now + way, Own::Arrives { id, attempt: number, host, sent });
        // As on sockets: the proxy gives up a little before its client.
        self.later(router, until - 15 * MS, Own::Over { id, attempt: number });
    }

    fn arrives(&mut self, router: usize, id: u64, attempt: u32, host: usize, sent: Micros) {
        if !self.nodes[router].out.contains_key(&(id, attempt)) {
            return;
        }
        if !self.world.runs(host) {
            return self.ended(router, id, attempt, Outcome::ConnectFailed, None);
        }
        self.count_cold(router, host, id);
        let planned = &self.plan[id as usize];
        let until = self.nodes[router].open.get(&id).copied().unwrap_or(sent);
        let query = Query {
            id: planned.id.clone(),
            class: planned.class,
            session: planned.session.clone(),
            key: planned.key.clone(),
            until,
        };
        self.sequence += 1;
        let ticket = self.sequence;
        self.tickets.insert(ticket, (router, self.nodes[router].life, id, attempt));
        if let Some(out) = self.nodes[router].out.get_mut(&(id, attempt)) {
            out.ticket = Some(ticket);
        }
        if self.world.is_primary(host) {
            self.nodes.iter_mut().for_each(|node| node.checker.seen_as_primary(host));
        }
        let effects = self.world.arrive(self.now, ticket, host, query);
        self.effects(effects);
    }

    /// Counts an attempt at a cold host. Its work is drawn from an exponential distribution, by the request's id.
    fn count_cold(&mut self, router: usize, host: usize, id: u64) {
        let Some(started) = self.world.started(host) else { return };
        let informed = self.nodes[router].starts.get(&host) == Some(&started);
        let mut random = ChaCha8Rng::seed_from_u64(self.day.seed.rotate_left(32) ^ id);
        let work = -(1.0 - random.random::<f64>()).ln();
        if self.cold[host].add(&self.day.spec, started, self.now, work, informed) {
            self.metrics.cold.insert(host, self.cold[host].peak);
        }
    }

    fn reported(&mut self, router: usize, host: usize, sent: Micros) {
        let up = self.world.state(host) == State::Up;
        let role = if self.world.is_primary(host) { Role::Primary } else { Role::Replica };
        let position = Some(LogPosition(self.world.position(host, self.now).div_euclid(MS) * MS));
        let report = up.then_some(LoadReport { position, role: Some(role) });
        let outcome = if up { Outcome::Ok } else { Outcome::ConnectFailed };
        if up {
            self.nodes[router].idle.entry(host).or_default().push(self.now);
        }
        let latency = TimeDelta(self.now + WAY - sent);
        self.tell(router, Event::HealthChecked { host: HostId(host as u32), outcome, latency, report });
    }

    /// An attempt ends; `note` is the position told and whether it is a primary's.
    fn ended(
        &mut self,
        router: usize,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        note: Option<(Micros, bool)>,
    ) {
        let Some(out) = self.nodes[router].out.remove(&(id, attempt)) else { return };
        if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            out.ticket.into_iter().for_each(|ticket| self.world.cancel(ticket));
        }
        if matches!(outcome, Outcome::Ok | Outcome::Misdirected | Outcome::Overloaded | Outcome::Error) {
            self.nodes[router].idle.entry(out.host).or_default().push(self.now);
        }
        self.metrics.misses += u64::from(outcome == Outcome::Misdirected);
        let waited = self.nodes[router].open.contains_key(&id);
        let reply = Answer {
            id: RequestId(id),
            attempt,
            host: HostId(out.host as u32),
            outcome,
            latency: TimeDelta(self.now - out.sent),
            request_closed: outcome == Outcome::Ok || !waited,
            position: note.map(|(position, _)| LogPosition(position)),
            role: note.map(|(_, primary)| if primary { Role::Primary } else { Role::Replica }),
            answer_lost: note.is_none()
                && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled),
            report: None,
        };
        self.tell(router, Event::AttemptEnded(reply));
        if outcome == Outcome::Ok {
            let planned = &self.plan[id as usize];
            let write = self.day.spec.classes[planned.class].freshness == Freshness::Write;
            if let (true, true, Some((commit, _))) = (write, waited, note) {
                let session = self.seen_by(router, &self.plan[id as usize].session);
                self.world.acknowledge(&session, commit);
            }
            self.answer(router, id, true);
        }
    }

    // ---- The world -------------------------------------------------------------------------------------

    fn effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, reply) => self.replied(ticket, &reply),
                Effect::ConnectionsBroken(host) => self.breaks(host),
                Effect::ConnectionsAccepted(_) => {}
                Effect::StatusPublished(host, status, started) => self.roster(host, status, started),
                Effect::ColdHostCrashed(host) if self.cold[host].mostly_informed() => {
                    self.metrics.fell += 1;
                    self.nodes[0].checker.cold_host_crashed(host);
                }
                Effect::ColdHostCrashed(_) => self.metrics.fell_unannounced += 1,
                Effect::KeyRecordedAgain(key) => self.nodes[0].checker.key_recorded_again(&key),
            }
        }
    }

    fn replied(&mut self, ticket: u64, reply: &Reply) {
        let Some((router, life, id, attempt)) = self.tickets.remove(&ticket) else { return };
        if self.nodes[router].life != life {
            return;
        }
        let Some((host, sent)) = self.nodes[router].out.get(&(id, attempt)).map(|o| (o.host, o.sent)) else {
            return;
        };
        let (outcome, note) = match reply {
            Reply::Served { position, primary, needed, .. } => {
                let told = if needed.is_none() { position + MS - 1 } else { *position };
                (Outcome::Ok, (told.div_euclid(MS) * MS, *primary))
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
        self.nodes[router].checker.replied(host, sent, &name, reply);
        self.nodes[router].checker.role_reported(self.now, host, &name, note.1);
        self.ended(router, id, attempt, outcome, Some(note));
    }

    fn breaks(&mut self, host: usize) {
        for router in 0..self.nodes.len() {
            self.nodes[router].idle.remove(&host);
            let held =
                self.nodes[router].out.iter().filter(|(_, out)| out.host == host && out.ticket.is_some());
            let mut held: Vec<(u64, u32)> = held.map(|(key, _)| *key).collect();
            held.sort_unstable();
            for (id, attempt) in held {
                self.ended(router, id, attempt, Outcome::Reset, None);
            }
        }
    }

    /// Every proxy is told within half a second of what discovery knows.
    fn roster(&mut self, host: usize, status: Status, started: Option<Micros>) {
        // Its end comes late where its return is known already.
        if status == Status::Removed && self.world.state(host) == State::Up {
            return;
        }
        self.listed[host] = (status, started);
        for router in 0..self.nodes.len() {
            let late = self.random.random_range(0..SECOND / 2);
            self.later(router, self.now + late, Own::Listed { host, status, started });
        }
    }

    fn close(&mut self) {
        for node in &mut self.nodes {
            node.checker.end();
            for rule in RULES {
                let (tried, broken) = node.checker.verdict(rule);
                let sum = self.metrics.rules.entry(rule).or_default();
                *sum = (sum.0 + tried, sum.1 + broken);
            }
            self.metrics.breaches.extend(node.checker.breaches().iter().take(2).map(|b| b.what.clone()));
        }
    }
}
