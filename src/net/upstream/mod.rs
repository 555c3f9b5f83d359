//! Ledger hosts: one actor each, which owns its connections, attempts and probes.

mod connection;
mod dialect;
mod exchange;
mod large;
mod postgres;
mod tds;

use super::messages::{AttemptEnd, CoreEvent, HealthCheckResult, Statement, Value};
use super::rejections::Rejections;
use super::socket::PeerLiveness;
use crate::config::Config;
use crate::counters::Counters;
use crate::interface::{HostId, HostState, Outcome, RequestId, TimeDelta};
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use connection::{Connection, Place};
use dialect::Ask;
use exchange::Exchange;
pub(crate) use large::LargeAnswers;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant};

/// A connection is used again so long after its last answer: what a host wrote beyond that answer has come by
/// then and shows that the connection is of no use, instead of being read as the answer to the next query.
const REST: Duration = Duration::from_millis(3);
/// Commands that may wait for a host's actor.
const MAILBOX: usize = 256;

/// What a host's actor is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// The list names the host.
    ListedEndpoint { address: SocketAddr, protocol: Protocol, state: HostState },
    /// The list names it no longer.
    Gone,
    /// Sends a request.
    Attempt(Attempt),
    /// Gives an attempt up; ignored if it is not here.
    Cancel { id: RequestId, attempt: u32 },
    /// Nobody waits for the attempt any more: given up as long as it is not written whole, and so never runs.
    Withdraw { id: RequestId, attempt: u32 },
    /// Asks the host for its report.
    Probe { sent: Instant },
    /// Closes idle connections.
    LetGo,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub id: RequestId,
    pub attempt: u32,
    pub statement: Statement,
    /// Not to be written once its client has gone.
    pub presence: PeerLiveness,
    pub sent: Instant,
    pub deadline: Instant,
    /// Not to be written after that.
    pub until: Option<Instant>,
}

/// What the hosts' actors share: the descriptors that they may use, and the spans.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    permits: Arc<Semaphore>,
    squeeze: Arc<watch::Sender<()>>,
    connect_timeout: Duration,
    retire_after: Duration,
    reports: bool,
    counters: Arc<Counters>,
    rejections: Rejections,
    large: LargeAnswers,
    /// Whether an answer may reach its client before it is known whole: not where its position decides on that.
    may_stream: bool,
}

impl Pool {
    pub fn new(
        config: &Config,
        counters: Arc<Counters>,
        rejections: Rejections,
        large: LargeAnswers,
    ) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(config.limits.upstream)),
            squeeze: Arc::new(watch::channel(()).0),
            connect_timeout: config.connect_timeout,
            retire_after: config.retire_after,
            reports: config.settings.load_reports != crate::interface::LoadReports::Off,
            counters,
            rejections,
            large,
            may_stream: !config.settings.responses_verified,
        }
    }
}

/// The module's way to a host's actor.
#[derive(Debug)]
pub(crate) struct Peer(mpsc::Sender<Command>);

impl Peer {
    pub fn start(
        host: HostId,
        address: SocketAddr,
        protocol: Protocol,
        pool: Pool,
        events: mpsc::Sender<CoreEvent>,
    ) -> Self {
        let (commands, mailbox) = mpsc::channel(MAILBOX);
        let running = watch::channel(true).0;
        let squeezed = pool.squeeze.subscribe();
        let actor = Host {
            host,
            place: Place { address, protocol },
            pool,
            running,
            idle: VecDeque::new(),
            out: HashMap::new(),
            tasks: JoinSet::new(),
            owed: HashMap::new(),
            tell: VecDeque::new(),
        };
        tokio::spawn(actor.run(mailbox, events, squeezed));
        Self(commands)
    }

    /// Waits for room: the host's actor never waits for the module, so there will be some.
    pub async fn tell(&self, command: Command) {
        if self.0.send(command).await.is_err() {
            tracing::error!("a host's actor has ended");
        }
    }
}

/// What a task of a host's actor brings back: its connection, if that is still good, and what to tell.
struct Done {
    connection: Option<Connection>,
    event: CoreEvent,
}

/// What a task has to bring back. If it panics that is told for it: the module would wait for good.
#[derive(Clone, Copy, Debug)]
enum Owed {
    Attempt { id: RequestId, attempt: u32, sent: Instant },
    Probe { sent: Instant },
}

impl Owed {
    /// Its end is not known: an attempt may have run.
    fn lost(self, host: HostId) -> Done {
        let since = |sent: Instant| TimeDelta(sent.elapsed().as_micros() as i64);
        let event = match self {
            Self::Attempt { id, attempt, sent } => CoreEvent::AttemptEnded(Box::new(AttemptEnd {
                id,
                attempt,
                host,
                outcome: Outcome::Reset,
                latency: since(sent),
                written_at: None,
                position: None,
                role: None,
                value: None,
            })),
            Self::Probe { sent } => CoreEvent::HealthChecked(HealthCheckResult {
                host,
                outcome: Outcome::Reset,
                latency: since(sent),
                report: None,
            }),
        };
        Done { connection: None, event }
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// The ways to stop an attempt, each of which can be used once.
struct Stop {
    /// Whatever it has come to.
    cancel: Option<oneshot::Sender<()>>,
    /// Only if it is not written.
    withdraw: Option<oneshot::Sender<()>>,
}

/// What stops an attempt.
struct Stopped {
    cancelled: oneshot::Receiver<()>,
    withdrawn: oneshot::Receiver<()>,
}

impl Stop {
    fn new() -> (Self, Stopped) {
        let (cancel, cancelled) = oneshot::channel();
        let (withdraw, withdrawn) = oneshot::channel();
        (Self { cancel: Some(cancel), withdraw: Some(withdraw) }, Stopped { cancelled, withdrawn })
    }
}

struct Host {
    host: HostId,
    place: Place,
    pool: Pool,
    /// Whether the list says that it runs: what is not yet written goes to no other.
    running: watch::Sender<bool>,
    /// The longest idle first; the others are used first, so that what is too much grows old.
    idle: VecDeque<Idle>,
    out: HashMap<(RequestId, u32), Stop>,
    tasks: JoinSet<Done>,
    /// What each task is to bring back.
    owed: HashMap<tokio::task::Id, Owed>,
    /// What the module's actor has had no room for yet.
    tell: VecDeque<CoreEvent>,
}

impl Host {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Command>,
        events: mpsc::Sender<CoreEvent>,
        mut squeezed: watch::Receiver<()>,
    ) {
        loop {
            let retire = self.idle.front().map(|idle| idle.since + self.pool.retire_after);
            tokio::select! {
                biased;
                Some(done) = self.tasks.join_next_with_id() => match done {
                    Ok((task, done)) => {
                        self.owed.remove(&task);
                        self.done(done);
                    }
                    Err(problem) => {
                        tracing::error!("an attempt's task: {problem}");
                        if let Some(owed) = self.owed.remove(&problem.id()) {
                            self.done(owed.lost(self.host));
                        }
                    }
                },
                Ok(permit) = events.reserve(), if !self.tell.is_empty() => {
                    if let Some(event) = self.tell.pop_front() {
                        permit.send(event);
                    }
                }
                command = mailbox.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                () = sleep_until(retire.unwrap_or_else(Instant::now)), if retire.is_some() => {
                    self.idle.pop_front();
                }
                Ok(()) = squeezed.changed() => self.idle.clear(),
            }
        }
    }

    fn done(&mut self, done: Done) {
        if let CoreEvent::AttemptEnded(end) = &done.event {
            self.out.remove(&(end.id, end.attempt));
        }
        if let Some(connection) = done.connection.filter(|c| c.place() == self.place) {
            self.idle.push_back(Idle { connection, since: Instant::now() });
        }
        self.tell.push_back(done.event);
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::ListedEndpoint { address, protocol, state } => {
                let place = Place { address, protocol };
                if place != self.place {
                    self.place = place;
                    self.idle.clear();
                }
                self.running.send_replace(state == HostState::Running);
                if state == HostState::Removed {
                    self.idle.clear();
                }
            }
            Command::Gone => {
                self.running.send_replace(false);
                self.idle.clear();
            }
            Command::Attempt(attempt) => {
                let (stop, stopped) = Stop::new();
                self.out.insert((attempt.id, attempt.attempt), stop);
                let way = self.way();
                let owed = Owed::Attempt { id: attempt.id, attempt: attempt.attempt, sent: attempt.sent };
                self.owes(owed, try_once(self.host, attempt, way, stopped));
            }
            Command::Cancel { id, attempt } => {
                let stop = self.out.get_mut(&(id, attempt)).and_then(|stop| stop.cancel.take());
                let _ = stop.map(|stop| stop.send(()));
            }
            Command::Withdraw { id, attempt } => {
                let stop = self.out.get_mut(&(id, attempt)).and_then(|stop| stop.withdraw.take());
                let _ = stop.map(|stop| stop.send(()));
            }
            Command::Probe { sent } => {
                let way = self.way();
                self.owes(Owed::Probe { sent }, probe(self.host, sent, way));
            }
            Command::LetGo => self.idle.clear(),
        }
    }

    /// Starts what brings that back, whatever becomes of it.
    fn owes(&mut self, owed: Owed, work: impl Future<Output = Done> + Send + 'static) {
        let task = self.tasks.spawn(work).id();
        self.owed.insert(task, owed);
    }

    /// A connection that still stands, or what it takes to open one.
    fn way(&mut self) -> Way {
        let mut idle = None;
        let rested = Instant::now() - REST;
        let young = self.idle.len() - self.idle.partition_point(|idle| idle.since <= rested);
        while let Some(at) = self.idle.len().checked_sub(young + 1) {
            // The host may have closed it, or died and come back, since.
            match self.idle.remove(at) {
                Some(Idle { connection, .. }) if connection.stands() => {
                    idle = Some(connection);
                    break;
                }
                _ => {}
            }
        }
        Way { idle, place: self.place, pool: self.pool.clone(), running: self.running.subscribe() }
    }
}

struct Way {
    idle: Option<Connection>,
    place: Place,
    pool: Pool,
    running: watch::Receiver<bool>,
}

impl Way {
    /// The idle connection or a new one; the outcome if there is none in time.
    async fn open(&mut self, deadline: Instant) -> Result<Connection, Outcome> {
        // Looked at once more: from here to the query's first byte nothing else gets a turn.
        if !*self.running.borrow() {
            return Err(Outcome::ConnectFailed);
        }
        if let Some(connection) = self.idle.take().filter(Connection::stands) {
            return Ok(connection);
        }
        self.pool.counters.connect();
        let give_up = deadline.min(Instant::now() + self.pool.connect_timeout);
        let Way { place, pool, running, .. } = self;
        let opened = async {
            let permits = Arc::clone(&pool.permits);
            let permit = match Arc::clone(&permits).try_acquire_owned() {
                Ok(permit) => permit,
                Err(_) => {
                    // Idle connections elsewhere hold what is needed here. That there is none to be had is no
                    // fault of the host's: it must not rest for it.
                    pool.squeeze.send_replace(());
                    match timeout_at(give_up, permits.acquire_owned()).await {
                        Ok(Ok(permit)) => permit,
                        _ => return Err(Outcome::NotSent),
                    }
                }
            };
            let opened = Connection::open(*place, permit, give_up).await;
            if matches!(opened, Err(Outcome::NotSent)) {
                let what = "this machine has no port, descriptor or buffer for a connection to a ledger host";
                pool.rejections.record(RejectionReason::Local, what);
            }
            opened
        };
        tokio::select! {
            biased;
            opened = opened => opened,
            // A host that stops while a request waits for its connection gets none of it.
            Ok(_) = running.wait_for(|running| !running) => Err(Outcome::ConnectFailed),
        }
    }
}

async fn try_once(host: HostId, a: Attempt, mut way: Way, stopped: Stopped) -> Done {
    let Stopped { mut cancelled, withdrawn } = stopped;
    let mut connection = None;
    // A write's answer tells its commit behind the row, and its session's next read has to know that.
    let may_stream = way.pool.may_stream && a.statement.value_range.is_none();
    let mut exchange = Exchange::new(may_stream);
    let mut slot = None;
    let written = AtomicBool::new(false);
    let withdrawn = async {
        // What is written whole may run, and is left to the settings' word on cancels.
        if withdrawn.await.is_err() || written.load(Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    let stopped = {
        let work = async {
            let open = way.open(a.deadline).await?;
            // Its client may have gone in this very turn, and the word of it be on its way.
            if a.until.is_some_and(|until| Instant::now() > until) || a.presence.has_closed().await {
                // The connection is as good as new, and nothing is known against its host.
                connection = Some(open);
                return Ok(None);
            }
            let left = a.deadline.saturating_duration_since(Instant::now());
            let (open, pool) = (connection.insert(open), &way.pool);
            let note = || {
                written.store(true, Relaxed);
                pool.counters.forwarded();
            };
            let good = open.ask(&Ask::Statement(&a.statement, left), &mut exchange, note).await;
            if exchange.large.is_some() {
                // Nothing is read meanwhile: the host keeps what it has not written yet.
                slot = pool.large.acquire().await;
            }
            Ok(Some(good))
        };
        tokio::select! {
            biased;
            Ok(()) = &mut cancelled => Err(Outcome::Cancelled),
            () = withdrawn => Err(Outcome::NotSent),
            done = work => done,
            () = sleep_until(a.deadline) => Err(Outcome::Timeout),
        }
    };
    let latency = TimeDelta(a.sent.elapsed().as_micros() as i64);
    let (written, position, role) = (exchange.written, exchange.position, exchange.role);
    let large = match (exchange.large, slot, &stopped) {
        (Some(row), Some(slot), Ok(Some(true))) => connection.take().map(|open| (row, slot, open)),
        _ => None,
    };
    let (outcome, good) = match stopped {
        _ if large.is_some() => (Outcome::Ok, false),
        // It has run, but there is no room to pass its answer on.
        Ok(Some(_)) if exchange.large.is_some() => (Outcome::Error, false),
        Ok(Some(good)) => (exchange.outcome(), good),
        Ok(None) => (Outcome::NotSent, true),
        // What the host has said whole counts, though the rest of its answer did not come in time.
        Err(Outcome::Timeout) if exchange.told() => (exchange.outcome(), false),
        // Stuck in the middle of the query: it never ran.
        Err(Outcome::Timeout) if exchange.written.is_none() => (Outcome::ConnectFailed, false),
        // Called off before it was whole: its connection closes, and it never runs.
        Err(Outcome::Cancelled) if exchange.written.is_none() => (Outcome::NotSent, false),
        Err(outcome) => (outcome, false),
    };
    let value = match large {
        Some((row, slot, open)) => {
            let (begun, rest) = large::forward(open, exchange, row, slot);
            Some(Value { postgres_messages: Some(begun), remainder: Some(rest), ..Value::default() })
        }
        None => (outcome == Outcome::Ok).then(|| exchange.value()),
    };
    let (id, attempt) = (a.id, a.attempt);
    let end = AttemptEnd { id, attempt, host, outcome, latency, written_at: written, position, role, value };
    Done { connection: connection.filter(|_| good), event: CoreEvent::AttemptEnded(Box::new(end)) }
}

async fn probe(host: HostId, sent: Instant, mut way: Way) -> Done {
    let mut connection = None;
    let mut exchange = Exchange::default();
    let deadline = sent + way.pool.connect_timeout;
    let ask = if way.pool.reports { Ask::Load } else { Ask::Ping };
    let work = async {
        let open = way.open(deadline).await?;
        let open = connection.insert(open);
        Ok(open.ask(&ask, &mut exchange, || {}).await)
    };
    let (outcome, good) = match timeout_at(deadline, work).await {
        Ok(Ok(good)) => (exchange.outcome(), good),
        Ok(Err(outcome)) => (outcome, false),
        Err(_) => (Outcome::Timeout, false),
    };
    let report = exchange.report().filter(|_| outcome == Outcome::Ok);
    let latency = TimeDelta(sent.elapsed().as_micros() as i64);
    let event = CoreEvent::HealthChecked(HealthCheckResult { host, outcome, latency, report });
    Done { connection: connection.filter(|_| good), event }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host() -> Host {
        let pool = Pool {
            permits: Arc::new(Semaphore::new(4)),
            squeeze: Arc::new(watch::channel(()).0),
            connect_timeout: Duration::from_secs(1),
            retire_after: Duration::from_secs(1),
            reports: true,
            counters: Arc::new(Counters::default()),
            rejections: Rejections::new(Arc::default(), crate::net::clock::Clock::start()),
            large: large::tests::slots(1).0,
            may_stream: true,
        };
        let address = "127.0.0.1:9".parse().unwrap();
        Host {
            host: HostId(3),
            place: Place { address, protocol: Protocol::Postgres },
            pool,
            running: watch::channel(true).0,
            idle: VecDeque::new(),
            out: HashMap::new(),
            tasks: JoinSet::new(),
            owed: HashMap::new(),
            tell: VecDeque::new(),
        }
    }

    /// Its attempt comes back all the same, as one that may have run, and so does a probe.
    #[tokio::test]
    async fn a_task_that_panics_owes_nothing_in_the_end() {
        let mut host = host();
        let sent = Instant::now();
        let (stop, _stopped) = Stop::new();
        host.out.insert((RequestId(5), 1), stop);
        host.owes(Owed::Attempt { id: RequestId(5), attempt: 1, sent }, async { panic!("on purpose") });
        host.owes(Owed::Probe { sent }, async { panic!("on purpose") });
        let (events, mut told) = mpsc::channel(4);
        let (commands, mailbox) = mpsc::channel(4);
        let squeezed = host.pool.squeeze.subscribe();
        let actor = tokio::spawn(host.run(mailbox, events, squeezed));
        let mut outcomes = Vec::new();
        for _ in 0..2 {
            outcomes.push(match told.recv().await.unwrap() {
                CoreEvent::AttemptEnded(end) => {
                    assert_eq!((end.id, end.attempt, end.host), (RequestId(5), 1, HostId(3)));
                    ("attempt", end.outcome)
                }
                CoreEvent::HealthChecked(probe) => ("probe", probe.outcome),
                other => panic!("{other:?}"),
            });
        }
        outcomes.sort_by_key(|(what, _)| *what);
        assert_eq!(outcomes, [("attempt", Outcome::Reset), ("probe", Outcome::Reset)]);
        drop(commands);
        actor.await.unwrap();
    }
}
