//! The world: ledger sets, without I/O and without a clock of its own. It is told what comes and when, and
//! returns what happens; what happens later comes out of [`World::advance`].

use crate::host::{Admission, Delivery, Host, State};
use crate::keys::{Keys, Recorded};
use crate::replication::Replication;
use crate::spec::{Freshness, Spec, WhenBehind};
use crate::{Micros, SECOND};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The value made for a request whose id begins so has 64 KiB.
pub const LARGE_ID_PREFIX: &str = "large-";

/// A request's number at the world, given by the caller and not used again.
pub type Ticket = u64;

/// What comes to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The request's id, the same for each of its attempts.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// The session.
    pub session: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// When its client's patience, as told with it, is over.
    pub until: Micros,
}

/// What a host answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A value.
    Served {
        /// The value made for this request.
        content: String,
        /// The commit of a write, or the position behind a read.
        position: Micros,
        /// Whether the primary answers.
        primary: bool,
        /// The position that the class asks for; none for a write.
        needed: Option<Micros>,
    },
    /// A write, and this is no primary.
    ReadOnly,
    /// Too far behind.
    Behind,
    /// No room, or draining.
    Full,
    /// A failure; it may have had an effect.
    Error,
}

/// What discovery says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It runs.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A request is answered.
    Reply(Ticket, Reply),
    /// A host's connections break and new ones are refused.
    ConnectionsBroken(usize),
    /// It takes connections again.
    ConnectionsAccepted(usize),
    /// Discovery knows: the host's status and when it last started, if lately.
    StatusPublished(usize, Status, Option<Micros>),
    /// A cold host has been pushed over.
    ColdHostCrashed(usize),
    /// A key has been recorded more than once.
    KeyRecordedAgain(String),
}

/// A fault that a script brings.
#[derive(Clone, Debug, PartialEq)]
pub enum HostFault {
    /// The process dies and comes back cold after that time.
    Death {
        /// Who.
        host: usize,
        /// Until it comes back.
        span: Micros,
    },
    /// It takes requests and answers none for that time.
    Hang {
        /// Who.
        host: usize,
        /// For how long.
        span: Micros,
    },
    /// It drains, and is up again, warm, after that time.
    Drain {
        /// Who.
        host: usize,
        /// For how long.
        span: Micros,
    },
    /// It applies so many times more slowly for that time.
    Lag {
        /// Who.
        host: usize,
        /// How many times.
        times: f64,
        /// For how long.
        span: Micros,
    },
    /// The network cuts it off for that time: its connections break, new ones are refused, and its set gives it up. It
    /// comes back, warm, and goes on with the log where it stood: as a replica, unless nobody had noticed.
    Isolation {
        /// Who.
        host: usize,
        /// For how long.
        span: Micros,
    },
    /// That share of the answers that it writes is lost on the way for that time.
    LostAnswers {
        /// Who.
        host: usize,
        /// The share.
        share: f64,
        /// How.
        delivery: Delivery,
        /// For how long.
        span: Micros,
    },
    /// It fails that share of its requests quickly.
    FastErrors {
        /// Who.
        host: usize,
        /// The share.
        share: f64,
        /// For how long.
        span: Micros,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Due {
    /// A request's work is done.
    Done(Ticket),
    /// A read has waited long enough for the log.
    Waited(Ticket),
    /// A set without a primary elects one.
    Elect(usize, u64),
    Returns(usize),
    Roster(usize, Status),
    EndsHang(usize),
    EndsDrain(usize),
    EndsLag(usize),
    EndsErrors(usize),
    EndsIsolation(usize),
    EndsLosses(usize),
}

/// An entry of the heap: by time, then in the order in which they were set.
type Entry = Reverse<(Micros, u64, usize)>;

struct Job {
    host: usize,
    query: Query,
    work: Micros,
    needed: Option<Micros>,
}

struct Set {
    log: Replication,
    keys: Keys,
    /// Counts the elections called, so that one that is overtaken does not happen.
    term: u64,
    /// The member that was lost as the primary, and when, while nobody has noticed.
    lost: Option<(usize, Micros)>,
}

/// The world.
pub struct World {
    spec: Spec,
    seed: u64,
    random: ChaCha8Rng,
    hosts: Vec<Host>,
    /// How busy each host's applying thread is.
    applies: Vec<f64>,
    /// Where those stood that are down.
    stood: Vec<Micros>,
    sets: Vec<Set>,
    jobs: HashMap<Ticket, Job>,
    due: BinaryHeap<Entry>,
    dues: HashMap<usize, Due>,
    next_due: usize,
    sequence: u64,
    /// The last acknowledged write of each session.
    acknowledged: HashMap<String, Micros>,
    /// Which of them each open request has to see: what was acknowledged when its client sent it.
    to_see: HashMap<String, Micros>,
    now: Micros,
}

impl World {
    /// A calm world from that moment on.
    pub fn new(spec: Spec, seed: u64, now: Micros) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = spec.groups * spec.members;
        let applies: Vec<f64> = (0..count)
            .map(|_| random.random_range(spec.apply_utilization.0..spec.apply_utilization.1))
            .collect();
        let sets = (0..spec.groups)
            .map(|group| {
                let members: Vec<(Micros, f64)> = (0..spec.members)
                    .map(|member| {
                        let ship = random.random_range(spec.replication_delay.0..=spec.replication_delay.1);
                        (ship, applies[group * spec.members + member])
                    })
                    .collect();
                Set { log: Replication::new(&members, now), keys: Keys::default(), term: 0, lost: None }
            })
            .collect();
        Self {
            hosts: (0..count).map(|_| Host::new(&spec)).collect(),
            stood: vec![now; count],
            applies,
            sets,
            spec,
            seed,
            random,
            jobs: HashMap::new(),
            due: BinaryHeap::new(),
            dues: HashMap::new(),
            next_due: 0,
            sequence: 0,
            acknowledged: HashMap::new(),
            to_see: HashMap::new(),
            now,
        }
    }

    /// What it is made of.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// How many hosts there are.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// The set of a host.
    pub fn group(&self, host: usize) -> usize {
        host / self.spec.members
    }

    /// The zone of a host, by number.
    pub fn zone(&self, host: usize) -> usize {
        self.spec.zone(self.member(host))
    }

    fn member(&self, host: usize) -> usize {
        host % self.spec.members
    }

    /// What a host is up to.
    pub fn state(&self, host: usize) -> State {
        self.hosts[host].state
    }

    /// When a host last started, if that was lately.
    pub fn started(&self, host: usize) -> Option<Micros> {
        self.hosts[host].started
    }

    /// A host's capacity as a share of the full one.
    pub fn warmth(&self, host: usize, now: Micros) -> f64 {
        self.hosts[host].warmth(&self.spec, now)
    }

    /// Whether a host is its set's primary.
    pub fn is_primary(&self, host: usize) -> bool {
        self.sets[self.group(host)].log.primary() == Some(self.member(host))
    }

    /// Up to where a host has applied the log.
    pub fn position(&self, host: usize, now: Micros) -> Micros {
        self.sets[self.group(host)].log.position(self.member(host), now)
    }

    /// A host's load report: position in seconds, whether it is the primary, how busy it is.
    pub fn report(&self, host: usize, now: Micros) -> String {
        let at = (now - self.spec.load_report_age).max(0);
        let position =
            self.position(host, now).min(at.max(self.position(host, now) - self.spec.load_report_age));
        let (seconds, primary) = (position as f64 / SECOND as f64, u8::from(self.is_primary(host)));
        format!("x0={seconds:.6},x1={primary},cpu={:.2}", self.hosts[host].utilization())
    }

    /// The keys of a set.
    pub fn keys(&self, group: usize) -> &Keys {
        &self.sets[group].keys
    }

    /// A client has had the answer to a write: its session must see it from now on.
    pub fn acknowledge(&mut self, session: &str, commit: Micros) {
        let known = self.acknowledged.entry(session.to_owned()).or_insert(commit);
        *known = (*known).max(commit);
    }

    /// A client is about to send a request of a session: it must see what is acknowledged by now.
    pub fn ask(&mut self, id: &str, session: &str) {
        if let Some(commit) = self.acknowledged.get(session) {
            self.to_see.insert(id.to_owned(), *commit);
        }
    }

    /// A client has its answer.
    pub fn answered(&mut self, id: &str) {
        self.to_see.remove(id);
    }

    /// The value made for a request.
    pub fn content(id: &str) -> String {
        let mut content = format!("value of {id}");
        if id.starts_with(LARGE_ID_PREFIX) {
            content.extend(std::iter::repeat_n(' ', 64 * 1024 - content.len()));
        }
        content
    }

    /// The work of a request: the same for each attempt, whoever asks and in whatever protocol.
    fn work(&self, query: &Query) -> Micros {
        let (least, most) = self.spec.classes[query.class].work;
        let seed = query.id.bytes().fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        least + (ChaCha8Rng::seed_from_u64(seed).next_u64() % (most - least).max(1) as u64) as Micros
    }

    /// The position that a read which comes now has to see; none for a write.
    pub fn needed(&self, now: Micros, query: &Query) -> Option<Micros> {
        match self.spec.classes[query.class].freshness {
            Freshness::Write => None,
            Freshness::Session => Some(self.to_see.get(&query.id).copied().unwrap_or(0)),
            Freshness::Bounded(bound) => Some(now - bound),
            Freshness::Any => Some(0),
        }
    }

    /// Whether a host can be reached and its process runs.
    pub fn runs(&self, host: usize) -> bool {
        !matches!(self.hosts[host].state, State::Isolated | State::Dead | State::Crashed)
    }

    /// A request's last byte has come to a host.
    pub fn arrive(&mut self, now: Micros, ticket: Ticket, host: usize, query: Query) -> Vec<Effect> {
        self.now = now;
        let work = self.work(&query);
        let needed = self.needed(now, &query);
        let write = needed.is_none();
        let mut effects = Vec::new();
        if self.hosts[host].crashes_under(work, &self.spec, now) && self.hosts[host].state != State::Crashed {
            effects.push(Effect::ColdHostCrashed(host));
            effects.extend(self.break_down(host, State::Crashed));
            return effects;
        }
        match self.hosts[host].state {
            State::Isolated | State::Dead | State::Crashed => return effects,
            State::Hung => {
                self.jobs.insert(ticket, Job { host, query, work, needed });
                return effects;
            }
            State::Draining => effects.push(Effect::Reply(ticket, Reply::Full)),
            State::Up if now >= query.until => effects.push(Effect::Reply(ticket, Reply::Full)),
            State::Up if write && !self.is_primary(host) => {
                effects.push(Effect::Reply(ticket, Reply::ReadOnly));
            }
            State::Up => {
                let error_share = self.hosts[host].error_share;
                if error_share > 0.0 && self.random.random_bool(error_share) {
                    effects.push(Effect::Reply(ticket, Reply::Error));
                    return effects;
                }
                self.jobs.insert(ticket, Job { host, query, work, needed });
                effects.extend(self.admit(ticket));
            }
        }
        effects
    }

    /// A read that the host is too far behind for waits, if hosts do so; any other goes to the cores.
    fn admit(&mut self, ticket: Ticket) -> Option<Effect> {
        let job = &self.jobs[&ticket];
        let behind = job.needed.is_some_and(|needed| self.position(job.host, self.now) < needed);
        let WhenBehind::Wait(wait) = self.spec.when_behind else { return self.queue(ticket) };
        if !behind {
            return self.queue(ticket);
        }
        let (group, member) = (self.group(job.host), self.member(job.host));
        let reaches = self.sets[group].log.time_of_reaching(member, job.needed.unwrap_or(0), self.now);
        let until = self.now + wait;
        self.at(reaches.map_or(until, |at| at.min(until)), Due::Waited(ticket));
        None
    }

    fn queue(&mut self, ticket: Ticket) -> Option<Effect> {
        let host = self.jobs[&ticket].host;
        match self.hosts[host].admit(ticket) {
            Admission::Running => self.run(ticket),
            Admission::Queued => {}
            Admission::Full => {
                self.jobs.remove(&ticket);
                return Some(Effect::Reply(ticket, Reply::Full));
            }
        }
        None
    }

    fn run(&mut self, ticket: Ticket) {
        let job = &self.jobs[&ticket];
        let service_time = self.hosts[job.host].service_time(job.work, &self.spec, self.now);
        self.at(self.now + service_time, Due::Done(ticket));
    }

    fn at(&mut self, when: Micros, due: Due) {
        self.sequence += 1;
        self.dues.insert(self.next_due, due);
        self.due.push(Reverse((when, self.sequence, self.next_due)));
        self.next_due += 1;
    }

    /// The client's side of an attempt is gone: waiting work is dropped where hosts do so, running work goes on.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(job) = self.jobs.get(&ticket).filter(|_| self.spec.cancels) {
            if self.hosts[job.host].drop_queued(ticket) {
                self.jobs.remove(&ticket);
            }
        }
    }

    /// When something happens next.
    pub fn next(&self) -> Option<Micros> {
        self.due.peek().map(|Reverse((when, ..))| *when)
    }

    /// All that happens up to that moment, in its order.
    pub fn advance(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.next().is_some_and(|when| when <= now) {
            let Some(Reverse((when, _, number))) = self.due.pop() else { break };
            self.now = when;
            if let Some(due) = self.dues.remove(&number) {
                effects.extend(self.happens(due));
            }
        }
        self.now = now;
        effects
    }

    fn happens(&mut self, due: Due) -> Vec<Effect> {
        match due {
            Due::Done(ticket) => self.done(ticket),
            Due::Waited(ticket) => self.waited(ticket).into_iter().collect(),
            Due::Elect(group, term) => self.elect(group, term),
            Due::Returns(host) => self.returns(host),
            Due::Roster(host, status) => {
                vec![Effect::StatusPublished(host, status, self.hosts[host].started)]
            }
            Due::EndsHang(host) => self.ends_hang(host),
            Due::EndsDrain(host) => self.ends_drain(host),
            Due::EndsLag(host) => {
                let (group, member) = (self.group(host), self.member(host));
                self.sets[group].log.set_slowdown(member, 1.0, self.applies[host], self.now);
                Vec::new()
            }
            Due::EndsErrors(host) => {
                self.hosts[host].error_share = 0.0;
                Vec::new()
            }
            Due::EndsIsolation(host) => self.ends_isolation(host),
            Due::EndsLosses(host) => {
                self.hosts[host].answer_loss = None;
                Vec::new()
            }
        }
    }

    fn waited(&mut self, ticket: Ticket) -> Option<Effect> {
        let job = self.jobs.get(&ticket)?;
        if job.needed.is_some_and(|needed| self.position(job.host, self.now) < needed) {
            self.jobs.remove(&ticket);
            return Some(Effect::Reply(ticket, Reply::Behind));
        }
        self.queue(ticket)
    }

    fn done(&mut self, ticket: Ticket) -> Vec<Effect> {
        let Some(job) = self.jobs.remove(&ticket) else { return Vec::new() };
        if let Some(next) = self.hosts[job.host].finish(ticket) {
            self.run(next);
        }
        match self.spec.classes[job.query.class].freshness {
            Freshness::Write => self.commit(ticket, &job),
            _ => {
                let reply = Reply::Served {
                    content: Self::content(&job.query.id),
                    position: self.position(job.host, self.now),
                    primary: self.is_primary(job.host),
                    needed: job.needed,
                };
                vec![Effect::Reply(ticket, reply)]
            }
        }
    }

    fn commit(&mut self, ticket: Ticket, job: &Job) -> Vec<Effect> {
        if !self.is_primary(job.host) {
            // It lost its role while it held the write.
            return vec![Effect::Reply(ticket, Reply::Error)];
        }
        let (now, window) = (self.now, self.spec.key_window);
        let group = self.group(job.host);
        let set = &mut self.sets[group];
        let recorded = job.query.key.as_deref().map(|key| set.keys.record(key, now, window));
        let position = match recorded {
            Some(Recorded::Repeat(committed)) => committed,
            _ => set.log.commit(now),
        };
        let content = Self::content(&job.query.id);
        let reply = Reply::Served { content, position, primary: true, needed: None };
        let mut effects = vec![Effect::Reply(ticket, reply)];
        if recorded == Some(Recorded::Again) {
            effects.push(Effect::KeyRecordedAgain(job.query.key.clone().unwrap_or_default()));
        }
        effects
    }

    // ---- Faults --------------------------------------------------------------------------------------

    /// A fault begins.
    pub fn inject(&mut self, now: Micros, fault: &HostFault) -> Vec<Effect> {
        self.now = now;
        match *fault {
            HostFault::Death { host, span } => {
                let effects = self.break_down(host, State::Dead);
                self.at(now + span, Due::Returns(host));
                effects
            }
            HostFault::Hang { host, span } => {
                self.hosts[host].state = State::Hung;
                // What it holds is answered by nobody.
                for ticket in self.hosts[host].drop_all() {
                    self.jobs.remove(&ticket);
                }
                self.headless(host, None);
                self.at(now + span, Due::EndsHang(host));
                Vec::new()
            }
            HostFault::Drain { host, span } => {
                self.hosts[host].state = State::Draining;
                let switch = self.draw(self.spec.handover_delay);
                self.headless(host, Some(switch));
                self.tell_roster(host, Status::Draining);
                self.at(now + span, Due::EndsDrain(host));
                Vec::new()
            }
            HostFault::Lag { host, times, span } => {
                let (group, member) = (self.group(host), self.member(host));
                self.sets[group].log.set_slowdown(member, times, self.applies[host], now);
                self.at(now + span, Due::EndsLag(host));
                Vec::new()
            }
            HostFault::Isolation { host, span } => self.isolate(host, span),
            HostFault::LostAnswers { host, share, delivery, span } => {
                self.hosts[host].answer_loss = Some((share, delivery));
                self.at(now + span, Due::EndsLosses(host));
                Vec::new()
            }
            HostFault::FastErrors { host, share, span } => {
                self.hosts[host].error_share = share;
                self.at(now + span, Due::EndsErrors(host));
                Vec::new()
            }
        }
    }

    fn draw(&mut self, (least, most): (Micros, Micros)) -> Micros {
        self.random.random_range(least..=most)
    }

    fn tell_roster(&mut self, host: usize, status: Status) {
        let late = self.draw(self.spec.discovery_delay);
        self.at(self.now + late, Due::Roster(host, status));
    }

    fn break_down(&mut self, host: usize, state: State) -> Vec<Effect> {
        self.cut_off(host, state);
        self.tell_roster(host, Status::Removed);
        vec![Effect::ConnectionsBroken(host)]
    }

    /// Nobody reaches a host any more, and what it holds is lost.
    fn cut_off(&mut self, host: usize, state: State) {
        self.stood[host] = self.position(host, self.now);
        for ticket in self.hosts[host].drop_all() {
            self.jobs.remove(&ticket);
        }
        self.jobs.retain(|_, job| job.host != host);
        self.hosts[host].state = state;
        self.headless(host, None);
    }

    /// A host that does not serve just then is left as it is.
    fn isolate(&mut self, host: usize, span: Micros) -> Vec<Effect> {
        if self.hosts[host].state != State::Up {
            return Vec::new();
        }
        self.cut_off(host, State::Isolated);
        self.at(self.now + span, Due::EndsIsolation(host));
        vec![Effect::ConnectionsBroken(host)]
    }

    fn ends_isolation(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state != State::Isolated {
            return Vec::new();
        }
        let (group, member) = (self.group(host), self.member(host));
        self.hosts[host].state = State::Up;
        self.sets[group].log.resume(member, self.stood[host], self.now);
        self.heard_again(host);
        vec![Effect::ConnectionsAccepted(host)]
    }

    /// What becomes of the answer that a host writes now.
    pub fn delivery(&mut self, host: usize) -> Delivery {
        match self.hosts[host].answer_loss {
            Some((share, delivery)) if self.random.random_bool(share.clamp(0.0, 1.0)) => delivery,
            _ => Delivery::Complete,
        }
    }

    /// If the host is its set's primary: the set has none until it elects one, after that time or after it has
    /// noticed.
    fn headless(&mut self, host: usize, after: Option<Micros>) {
        if !self.is_primary(host) {
            return;
        }
        let is_unnoticed = after.is_none();
        let after = after.unwrap_or_else(|| self.draw(self.spec.detect) + self.draw(self.spec.elect));
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        let set = &mut self.sets[group];
        set.lost = is_unnoticed.then_some((member, now));
        set.log.remove_primary(now);
        set.term += 1;
        let term = set.term;
        self.at(now + after, Due::Elect(group, term));
    }

    /// A host is heard again: if it was lost as the primary for less time than its set takes to notice, it still is.
    fn heard_again(&mut self, host: usize) {
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        let set = &mut self.sets[group];
        let is_unnoticed = set.lost.is_some_and(|(lost, at)| lost == member && now - at < self.spec.detect.0);
        if is_unnoticed && set.log.primary().is_none() {
            set.term += 1;
            set.log.elect(&[member], now);
        }
    }

    fn elect(&mut self, group: usize, term: u64) -> Vec<Effect> {
        let (members, now) = (self.spec.members, self.now);
        let up = |member: &usize| self.hosts[group * members + member].state == State::Up;
        let alive: Vec<usize> = (0..members).filter(up).collect();
        let set = &mut self.sets[group];
        if set.term == term && set.log.primary().is_none() && set.log.elect(&alive, now).is_none() {
            // Nobody is there: again a little later.
            self.at(now + SECOND / 10, Due::Elect(group, term));
        }
        Vec::new()
    }

    fn returns(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state != State::Dead {
            return Vec::new();
        }
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        self.hosts[host].restart(now);
        let stood = self.stood[host];
        self.sets[group].log.resume(member, stood, now);
        self.tell_roster(host, Status::Up);
        vec![Effect::ConnectionsAccepted(host)]
    }

    fn ends_hang(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state == State::Hung {
            self.hosts[host].state = State::Up;
            self.heard_again(host);
        }
        Vec::new()
    }

    fn ends_drain(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state == State::Draining {
            self.hosts[host].state = State::Up;
            self.tell_roster(host, Status::Up);
        }
        Vec::new()
    }
}
