//! Simulation of a deployment's groups of hosts, without I/O and without a clock of its own. The caller
//! reports each event with its time, and receives its immediate effects; [`World::advance`] returns the later
//! ones.

use crate::host::{Admission, Delivery, Host, State};
use crate::keys::{Keys, Recorded};
use crate::replication::Replication;
use crate::spec::{Freshness, Spec, WhenBehind};
use crate::{Micros, SECOND};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Prefix of the ids of requests whose values have 64 KiB.
pub const LARGE_ID_PREFIX: &str = "large-";

/// Number of an attempt, assigned by the caller and never reused.
pub type Ticket = u64;

/// Request as it arrives at a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The request id, which is the same for each attempt.
    pub id: String,
    /// The index of the request class.
    pub class: usize,
    /// The session.
    pub session: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The time at which the client stops waiting, as stated with the request.
    pub until: Micros,
}

/// Reply of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was served.
    Served {
        /// The value made for this request.
        content: String,
        /// The position of a write's commit, or the host's position when it served a read.
        position: Micros,
        /// Whether the host is the primary.
        primary: bool,
        /// The position that the read requires; none for a write.
        needed: Option<Micros>,
    },
    /// The request is a write, and the host is not the primary.
    ReadOnly,
    /// The host has not applied the position that the read requires.
    Behind,
    /// The host's queue is full, the host is draining, or the client no longer waits.
    Full,
    /// The request failed. A write may have taken effect.
    Error,
}

/// Status of a host, as discovery publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The host runs.
    Up,
    /// The host is draining: it finishes the requests that it holds.
    Draining,
    /// The host was removed.
    Removed,
}

/// Effect of an event in the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A host replies to an attempt.
    Reply(Ticket, Reply),
    /// A host's connections break, and it refuses new ones.
    ConnectionsBroken(usize),
    /// A host accepts connections again.
    ConnectionsAccepted(usize),
    /// Discovery publishes a host's status, and the time of its last restart if there was one.
    StatusPublished(usize, Status, Option<Micros>),
    /// A cold host has crashed because it was sent too much.
    ColdHostCrashed(usize),
    /// An idempotency key was recorded more than once.
    KeyRecordedAgain(String),
}

/// Fault of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostFault {
    /// The host's process dies and restarts cold after a time.
    Death {
        /// The host.
        host: usize,
        /// The time until the restart.
        span: Micros,
    },
    /// The host accepts requests and answers none for a time.
    Hang {
        /// The host.
        host: usize,
        /// The duration.
        span: Micros,
    },
    /// The host drains, and is up again and warm after a time.
    Drain {
        /// The host.
        host: usize,
        /// The duration.
        span: Micros,
    },
    /// The host applies the log more slowly for a time.
    Lag {
        /// The host.
        host: usize,
        /// The factor by which it is slower.
        times: f64,
        /// The duration.
        span: Micros,
    },
    /// The network cuts the host off for a time: its connections break, new ones are refused, and its group
    /// replaces it if it was the primary. The host returns warm and continues from its log position, as a
    /// replica unless the group had not noticed its absence.
    Isolation {
        /// The host.
        host: usize,
        /// The duration.
        span: Micros,
    },
    /// A share of the host's answers is lost on the way for a time.
    LostAnswers {
        /// The host.
        host: usize,
        /// The share, from 0 to 1.
        share: f64,
        /// The way in which the answers are lost.
        delivery: Delivery,
        /// The duration.
        span: Micros,
    },
    /// The host fails a share of its requests at once for a time.
    FastErrors {
        /// The host.
        host: usize,
        /// The share, from 0 to 1.
        share: f64,
        /// The duration.
        span: Micros,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A running request is finished.
    RequestFinished(Ticket),
    /// A read that waited for the log has waited long enough.
    LogWaitOver(Ticket),
    /// A group without a primary elects one in the given term.
    Election(usize, u64),
    Restart(usize),
    StatusPublished(usize, Status),
    HangEnded(usize),
    DrainEnded(usize),
    LagEnded(usize),
    ErrorsEnded(usize),
    IsolationEnded(usize),
    AnswerLossEnded(usize),
}

/// Entry of the event queue: time, sequence number (which orders events at the same time), and key in
/// [`World::events`].
type Entry = Reverse<(Micros, u64, usize)>;

struct Job {
    host: usize,
    query: Query,
    work: Micros,
    needed: Option<Micros>,
}

struct Group {
    log: Replication,
    keys: Keys,
    /// The number of elections that were scheduled. A scheduled election is void if a later one was
    /// scheduled.
    term: u64,
    /// The member that was lost while it was the primary, and when, if the group has not noticed yet.
    lost_primary: Option<(usize, Micros)>,
}

/// A simulated deployment.
pub struct World {
    spec: Spec,
    seed: u64,
    random: ChaCha8Rng,
    hosts: Vec<Host>,
    /// The share of the time that each host spends on applying the log.
    apply_utilization: Vec<f64>,
    /// The log positions of the hosts that are down, from the time when they went down.
    position_when_down: Vec<Micros>,
    groups: Vec<Group>,
    jobs: HashMap<Ticket, Job>,
    event_queue: BinaryHeap<Entry>,
    events: HashMap<usize, Event>,
    next_event: usize,
    sequence: u64,
    /// The position of the last acknowledged write of each session.
    acknowledged: HashMap<String, Micros>,
    /// The position that each open request has to see: the session's last write that was acknowledged when
    /// the client sent the request.
    required_positions: HashMap<String, Micros>,
    now: Micros,
}

impl World {
    /// Creates a world without faults that starts at `now`.
    pub fn new(spec: Spec, seed: u64, now: Micros) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = spec.groups * spec.members;
        let apply_utilization: Vec<f64> = (0..count)
            .map(|_| random.random_range(spec.apply_utilization.0..spec.apply_utilization.1))
            .collect();
        let groups = (0..spec.groups)
            .map(|group| {
                let members: Vec<(Micros, f64)> = (0..spec.members)
                    .map(|member| {
                        let delay = random.random_range(spec.replication_delay.0..=spec.replication_delay.1);
                        (delay, apply_utilization[group * spec.members + member])
                    })
                    .collect();
                Group {
                    log: Replication::new(&members, now),
                    keys: Keys::default(),
                    term: 0,
                    lost_primary: None,
                }
            })
            .collect();
        Self {
            hosts: (0..count).map(|_| Host::new(&spec)).collect(),
            position_when_down: vec![now; count],
            apply_utilization,
            groups,
            spec,
            seed,
            random,
            jobs: HashMap::new(),
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            sequence: 0,
            acknowledged: HashMap::new(),
            required_positions: HashMap::new(),
            now,
        }
    }

    /// Returns the description of the deployment.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the number of hosts.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the index of a host's group.
    pub fn group(&self, host: usize) -> usize {
        host / self.spec.members
    }

    /// Returns the index of a host's zone.
    pub fn zone(&self, host: usize) -> usize {
        self.spec.zone(self.member(host))
    }

    fn member(&self, host: usize) -> usize {
        host % self.spec.members
    }

    /// Returns a host's state.
    pub fn state(&self, host: usize) -> State {
        self.hosts[host].state
    }

    /// Returns the time of a host's last restart, if there was one.
    pub fn started(&self, host: usize) -> Option<Micros> {
        self.hosts[host].started
    }

    /// Returns a host's present capacity as a fraction of its full capacity.
    pub fn warmth(&self, host: usize, now: Micros) -> f64 {
        self.hosts[host].warmth(&self.spec, now)
    }

    /// Returns whether a host is the primary of its group.
    pub fn is_primary(&self, host: usize) -> bool {
        self.groups[self.group(host)].log.primary() == Some(self.member(host))
    }

    /// Returns the position up to which a host has applied the log.
    pub fn position(&self, host: usize, now: Micros) -> Micros {
        self.groups[self.group(host)].log.position(self.member(host), now)
    }

    /// Returns a host's load report: its position in seconds, whether it is the primary, and the share of
    /// busy cores.
    pub fn report(&self, host: usize, now: Micros) -> String {
        let at = (now - self.spec.load_report_age).max(0);
        let position =
            self.position(host, now).min(at.max(self.position(host, now) - self.spec.load_report_age));
        let (seconds, primary) = (position as f64 / SECOND as f64, u8::from(self.is_primary(host)));
        format!("x0={seconds:.6},x1={primary},cpu={:.2}", self.hosts[host].utilization())
    }

    /// Returns the idempotency keys of a group.
    pub fn keys(&self, group: usize) -> &Keys {
        &self.groups[group].keys
    }

    /// Records that a client has received the answer to a write, which its session must see from now on.
    pub fn acknowledge(&mut self, session: &str, commit: Micros) {
        let position = self.acknowledged.entry(session.to_owned()).or_insert(commit);
        *position = (*position).max(commit);
    }

    /// Records that a client is about to send a request. The request must see the session's writes that are
    /// acknowledged by now.
    pub fn ask(&mut self, id: &str, session: &str) {
        if let Some(commit) = self.acknowledged.get(session) {
            self.required_positions.insert(id.to_owned(), *commit);
        }
    }

    /// Records that a client no longer waits for a request.
    pub fn answered(&mut self, id: &str) {
        self.required_positions.remove(id);
    }

    /// Returns the value that is made for a request.
    pub fn content(id: &str) -> String {
        let mut content = format!("value of {id}");
        if id.starts_with(LARGE_ID_PREFIX) {
            content.extend(std::iter::repeat_n(' ', 64 * 1024 - content.len()));
        }
        content
    }

    /// Returns the service time of a request on a core of a warm host. It depends only on the seed, the class
    /// and the request id, so it is the same for each attempt and protocol.
    fn work(&self, query: &Query) -> Micros {
        let (min, max) = self.spec.classes[query.class].work;
        let seed = query.id.bytes().fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        min + (ChaCha8Rng::seed_from_u64(seed).next_u64() % (max - min).max(1) as u64) as Micros
    }

    /// Returns the position that a read which arrives now has to see, or none for a write.
    pub fn needed(&self, now: Micros, query: &Query) -> Option<Micros> {
        match self.spec.classes[query.class].freshness {
            Freshness::Write => None,
            Freshness::Session => Some(self.required_positions.get(&query.id).copied().unwrap_or(0)),
            Freshness::Bounded(bound) => Some(now - bound),
            Freshness::Any => Some(0),
        }
    }

    /// Returns whether a host can be reached and its process runs.
    pub fn runs(&self, host: usize) -> bool {
        !matches!(self.hosts[host].state, State::Isolated | State::Dead | State::Crashed)
    }

    /// Handles the complete arrival of a request at a host.
    pub fn arrive(&mut self, now: Micros, ticket: Ticket, host: usize, query: Query) -> Vec<Effect> {
        self.now = now;
        let work = self.work(&query);
        let needed = self.needed(now, &query);
        let is_write = needed.is_none();
        let mut effects = Vec::new();
        if self.hosts[host].crashes_under(work, &self.spec, now) && self.hosts[host].state != State::Crashed {
            effects.push(Effect::ColdHostCrashed(host));
            effects.extend(self.take_down(host, State::Crashed));
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
            State::Up if is_write && !self.is_primary(host) => {
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

    /// Lets a read wait for the log if the host is too far behind and hosts wait; queues any other request
    /// for the cores.
    fn admit(&mut self, ticket: Ticket) -> Option<Effect> {
        let job = &self.jobs[&ticket];
        let is_behind = job.needed.is_some_and(|needed| self.position(job.host, self.now) < needed);
        let WhenBehind::Wait(wait) = self.spec.when_behind else { return self.queue(ticket) };
        if !is_behind {
            return self.queue(ticket);
        }
        let (group, member) = (self.group(job.host), self.member(job.host));
        let reached_at = self.groups[group].log.time_of_reaching(member, job.needed.unwrap_or(0), self.now);
        let until = self.now + wait;
        self.schedule(reached_at.map_or(until, |at| at.min(until)), Event::LogWaitOver(ticket));
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
        self.schedule(self.now + service_time, Event::RequestFinished(ticket));
    }

    fn schedule(&mut self, when: Micros, event: Event) {
        self.sequence += 1;
        self.events.insert(self.next_event, event);
        self.event_queue.push(Reverse((when, self.sequence, self.next_event)));
        self.next_event += 1;
    }

    /// Cancels an attempt whose connection is gone: a queued request is dropped if hosts do so, a running one
    /// goes on.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(job) = self.jobs.get(&ticket).filter(|_| self.spec.cancels) {
            if self.hosts[job.host].drop_queued(ticket) {
                self.jobs.remove(&ticket);
            }
        }
    }

    /// Returns the time of the next event.
    pub fn next(&self) -> Option<Micros> {
        self.event_queue.peek().map(|Reverse((when, ..))| *when)
    }

    /// Processes all events up to `now` and returns their effects in order.
    pub fn advance(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.next().is_some_and(|when| when <= now) {
            let Some(Reverse((when, _, key))) = self.event_queue.pop() else { break };
            self.now = when;
            if let Some(event) = self.events.remove(&key) {
                effects.extend(self.handle_event(event));
            }
        }
        self.now = now;
        effects
    }

    fn handle_event(&mut self, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestFinished(ticket) => self.finish(ticket),
            Event::LogWaitOver(ticket) => self.end_log_wait(ticket).into_iter().collect(),
            Event::Election(group, term) => self.elect(group, term),
            Event::Restart(host) => self.restart(host),
            Event::StatusPublished(host, status) => {
                vec![Effect::StatusPublished(host, status, self.hosts[host].started)]
            }
            Event::HangEnded(host) => self.end_hang(host),
            Event::DrainEnded(host) => self.end_drain(host),
            Event::LagEnded(host) => {
                let (group, member) = (self.group(host), self.member(host));
                self.groups[group].log.set_slowdown(member, 1.0, self.apply_utilization[host], self.now);
                Vec::new()
            }
            Event::ErrorsEnded(host) => {
                self.hosts[host].error_share = 0.0;
                Vec::new()
            }
            Event::IsolationEnded(host) => self.end_isolation(host),
            Event::AnswerLossEnded(host) => {
                self.hosts[host].answer_loss = None;
                Vec::new()
            }
        }
    }

    fn end_log_wait(&mut self, ticket: Ticket) -> Option<Effect> {
        let job = self.jobs.get(&ticket)?;
        if job.needed.is_some_and(|needed| self.position(job.host, self.now) < needed) {
            self.jobs.remove(&ticket);
            return Some(Effect::Reply(ticket, Reply::Behind));
        }
        self.queue(ticket)
    }

    fn finish(&mut self, ticket: Ticket) -> Vec<Effect> {
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
            // The host lost its role while it held the write.
            return vec![Effect::Reply(ticket, Reply::Error)];
        }
        let (now, window) = (self.now, self.spec.key_window);
        let group = self.group(job.host);
        let state = &mut self.groups[group];
        let recorded = job.query.key.as_deref().map(|key| state.keys.record(key, now, window));
        let position = match recorded {
            Some(Recorded::Repeat(committed)) => committed,
            _ => state.log.commit(now),
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

    /// Starts a fault and returns its immediate effects.
    pub fn inject(&mut self, now: Micros, fault: &HostFault) -> Vec<Effect> {
        self.now = now;
        match *fault {
            HostFault::Death { host, span } => {
                let effects = self.take_down(host, State::Dead);
                self.schedule(now + span, Event::Restart(host));
                effects
            }
            HostFault::Hang { host, span } => {
                self.hosts[host].state = State::Hung;
                // The requests that the host holds are never answered.
                for ticket in self.hosts[host].drop_all() {
                    self.jobs.remove(&ticket);
                }
                self.lose_primary_role(host, None);
                self.schedule(now + span, Event::HangEnded(host));
                Vec::new()
            }
            HostFault::Drain { host, span } => {
                self.hosts[host].state = State::Draining;
                let handover_delay = self.draw(self.spec.handover_delay);
                self.lose_primary_role(host, Some(handover_delay));
                self.publish_status(host, Status::Draining);
                self.schedule(now + span, Event::DrainEnded(host));
                Vec::new()
            }
            HostFault::Lag { host, times, span } => {
                let (group, member) = (self.group(host), self.member(host));
                self.groups[group].log.set_slowdown(member, times, self.apply_utilization[host], now);
                self.schedule(now + span, Event::LagEnded(host));
                Vec::new()
            }
            HostFault::Isolation { host, span } => self.isolate(host, span),
            HostFault::LostAnswers { host, share, delivery, span } => {
                self.hosts[host].answer_loss = Some((share, delivery));
                self.schedule(now + span, Event::AnswerLossEnded(host));
                Vec::new()
            }
            HostFault::FastErrors { host, share, span } => {
                self.hosts[host].error_share = share;
                self.schedule(now + span, Event::ErrorsEnded(host));
                Vec::new()
            }
        }
    }

    fn draw(&mut self, (min, max): (Micros, Micros)) -> Micros {
        self.random.random_range(min..=max)
    }

    fn publish_status(&mut self, host: usize, status: Status) {
        let delay = self.draw(self.spec.discovery_delay);
        self.schedule(self.now + delay, Event::StatusPublished(host, status));
    }

    fn take_down(&mut self, host: usize, state: State) -> Vec<Effect> {
        self.make_unreachable(host, state);
        self.publish_status(host, Status::Removed);
        vec![Effect::ConnectionsBroken(host)]
    }

    /// Makes a host unreachable and drops the requests that it holds.
    fn make_unreachable(&mut self, host: usize, state: State) {
        self.position_when_down[host] = self.position(host, self.now);
        for ticket in self.hosts[host].drop_all() {
            self.jobs.remove(&ticket);
        }
        self.jobs.retain(|_, job| job.host != host);
        self.hosts[host].state = state;
        self.lose_primary_role(host, None);
    }

    /// Isolates a host from the network; has no effect on a host that is not up.
    fn isolate(&mut self, host: usize, span: Micros) -> Vec<Effect> {
        if self.hosts[host].state != State::Up {
            return Vec::new();
        }
        self.make_unreachable(host, State::Isolated);
        self.schedule(self.now + span, Event::IsolationEnded(host));
        vec![Effect::ConnectionsBroken(host)]
    }

    fn end_isolation(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state != State::Isolated {
            return Vec::new();
        }
        let (group, member) = (self.group(host), self.member(host));
        self.hosts[host].state = State::Up;
        self.groups[group].log.resume(member, self.position_when_down[host], self.now);
        self.regain_primary_role(host);
        vec![Effect::ConnectionsAccepted(host)]
    }

    /// Draws the fate of the answer that a host writes now.
    pub fn delivery(&mut self, host: usize) -> Delivery {
        match self.hosts[host].answer_loss {
            Some((share, delivery)) if self.random.random_bool(share.clamp(0.0, 1.0)) => delivery,
            _ => Delivery::Complete,
        }
    }

    /// Leaves the host's group without a primary if the host is the primary. The group elects a new one after
    /// the given time, or after a random detection and election time if none is given.
    fn lose_primary_role(&mut self, host: usize, after: Option<Micros>) {
        if !self.is_primary(host) {
            return;
        }
        let is_unnoticed = after.is_none();
        let after = after
            .unwrap_or_else(|| self.draw(self.spec.detection_delay) + self.draw(self.spec.election_delay));
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        let state = &mut self.groups[group];
        state.lost_primary = is_unnoticed.then_some((member, now));
        state.log.remove_primary(now);
        state.term += 1;
        let term = state.term;
        self.schedule(now + after, Event::Election(group, term));
    }

    /// Handles the return of a host: if it was the primary and its group has not had the time to notice its
    /// absence, it is the primary again.
    fn regain_primary_role(&mut self, host: usize) {
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        let state = &mut self.groups[group];
        let is_unnoticed = state
            .lost_primary
            .is_some_and(|(lost, at)| lost == member && now - at < self.spec.detection_delay.0);
        if is_unnoticed && state.log.primary().is_none() {
            state.term += 1;
            state.log.elect(&[member], now);
        }
    }

    fn elect(&mut self, group: usize, term: u64) -> Vec<Effect> {
        let (members, now) = (self.spec.members, self.now);
        let is_up = |member: &usize| self.hosts[group * members + member].state == State::Up;
        let candidates: Vec<usize> = (0..members).filter(is_up).collect();
        let state = &mut self.groups[group];
        if state.term == term && state.log.primary().is_none() && state.log.elect(&candidates, now).is_none()
        {
            // No member is up; the election is repeated after 100 ms.
            self.schedule(now + SECOND / 10, Event::Election(group, term));
        }
        Vec::new()
    }

    fn restart(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state != State::Dead {
            return Vec::new();
        }
        let (group, member, now) = (self.group(host), self.member(host), self.now);
        self.hosts[host].restart(now);
        let position_when_down = self.position_when_down[host];
        self.groups[group].log.resume(member, position_when_down, now);
        self.publish_status(host, Status::Up);
        vec![Effect::ConnectionsAccepted(host)]
    }

    fn end_hang(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state == State::Hung {
            self.hosts[host].state = State::Up;
            self.regain_primary_role(host);
        }
        Vec::new()
    }

    fn end_drain(&mut self, host: usize) -> Vec<Effect> {
        if self.hosts[host].state == State::Draining {
            self.hosts[host].state = State::Up;
            self.publish_status(host, Status::Up);
        }
        Vec::new()
    }
}
