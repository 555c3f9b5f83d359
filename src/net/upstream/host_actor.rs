//! The actor of one host.
//!
//! The actor never waits for the core actor: events for which the core's mailbox has no capacity stay in the
//! outbox. The core actor can therefore wait for capacity in this actor's mailbox without a deadlock.

use super::attempt::{self, StopHandle};
use super::connection::Connection;
use super::connector::Connector;
use super::health_check;
use super::idle::IdleConnections;
use super::{Attempt, Command, HostAddress, UpstreamContext};
use crate::interface::{HostId, HostState, Outcome, RequestId, TimeDelta};
use crate::net::messages::{AttemptEnd, CoreEvent, HealthCheckResult, Transfer};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use tokio::sync::{mpsc, watch};
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::{sleep_until, Instant};

/// Number of commands that can be queued for a host's actor.
const MAILBOX_CAPACITY: usize = 256;

/// Handle to a host's actor, for sending it commands. The actor ends once the handle is dropped.
#[derive(Debug)]
pub(crate) struct HostActor(mpsc::Sender<Command>);

impl HostActor {
    /// Starts the actor of a host. The actor reports to `events`.
    pub fn start(
        host: HostId,
        address: HostAddress,
        context: UpstreamContext,
        events: mpsc::Sender<CoreEvent>,
    ) -> Self {
        let (commands, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        tokio::spawn(ActorState::new(host, address, context).run(mailbox, events));
        Self(commands)
    }

    /// Sends a command, waiting until the mailbox has capacity.
    pub async fn send(&self, command: Command) {
        if self.0.send(command).await.is_err() {
            tracing::error!("actor of a host has ended");
        }
    }
}

/// Result of a task of the actor.
#[derive(Debug)]
pub(super) struct TaskResult {
    /// The task's connection, if it can be reused.
    pub connection: Option<Connection>,
    /// Event for the core actor.
    pub event: CoreEvent,
}

/// Work of a running task. If the task panics its work is reported as failed, since the core actor would
/// otherwise wait forever.
#[derive(Clone, Copy, Debug)]
enum PendingWork {
    Attempt { id: RequestId, attempt: u32, sent_at: Instant },
    HealthCheck { sent_at: Instant },
}

impl PendingWork {
    /// Returns the result of a task that panicked. Its query may have run.
    fn into_failed(self, host: HostId) -> TaskResult {
        let since = |sent_at: Instant| TimeDelta::from(sent_at.elapsed());
        let event = match self {
            Self::Attempt { id, attempt, sent_at } => CoreEvent::AttemptEnded(Box::new(AttemptEnd {
                id,
                attempt,
                host,
                outcome: Outcome::Reset,
                latency: since(sent_at),
                write_started_at: None,
                written_at: None,
                position: None,
                role: None,
                answer_lost: true,
                value: None,
                transfer: Transfer::default(),
            })),
            Self::HealthCheck { sent_at } => CoreEvent::HealthChecked(HealthCheckResult {
                host,
                outcome: Outcome::Reset,
                latency: since(sent_at),
                report: None,
            }),
        };
        TaskResult { connection: None, event }
    }
}

/// State of a host's actor.
struct ActorState {
    host: HostId,
    address: HostAddress,
    context: UpstreamContext,
    /// Whether the host is listed as running. No query is started at a host that is not.
    running: watch::Sender<bool>,
    idle: IdleConnections,
    /// Attempts that have not ended, by request and index.
    attempts: HashMap<(RequestId, u32), StopHandle>,
    tasks: JoinSet<TaskResult>,
    pending_work: HashMap<task::Id, PendingWork>,
    /// Events that wait for capacity in the core actor's mailbox.
    outbox: VecDeque<CoreEvent>,
}

impl ActorState {
    fn new(host: HostId, address: HostAddress, context: UpstreamContext) -> Self {
        Self {
            host,
            address,
            context,
            running: watch::channel(true).0,
            idle: IdleConnections::default(),
            attempts: HashMap::new(),
            tasks: JoinSet::new(),
            pending_work: HashMap::new(),
            outbox: VecDeque::new(),
        }
    }

    async fn run(mut self, mut mailbox: mpsc::Receiver<Command>, events: mpsc::Sender<CoreEvent>) {
        let mut release_idle = self.context.release_idle.subscribe();
        loop {
            let idle_expiry = self.idle.next_expiry(self.context.idle_timeout);
            tokio::select! {
                biased;
                // Polled first: there are always commands while the core is busy, but only so many idle
                // connections.
                () = sleep_until(idle_expiry.unwrap_or_else(Instant::now)), if idle_expiry.is_some() => {
                    self.idle.close_oldest();
                }
                Ok(()) = release_idle.changed() => self.idle.close_all(),
                Some(result) = self.tasks.join_next_with_id() => self.task_ended(result),
                Ok(permit) = events.reserve(), if !self.outbox.is_empty() => {
                    if let Some(event) = self.outbox.pop_front() {
                        permit.send(event);
                    }
                }
                command = mailbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
            }
        }
    }

    fn task_ended(&mut self, result: Result<(task::Id, TaskResult), JoinError>) {
        match result {
            Ok((task, result)) => {
                self.pending_work.remove(&task);
                self.work_ended(result);
            }
            Err(error) => {
                tracing::error!(host = self.host.0, %error, "task of a host's actor failed");
                if let Some(work) = self.pending_work.remove(&error.id()) {
                    self.work_ended(work.into_failed(self.host));
                }
            }
        }
    }

    fn work_ended(&mut self, result: TaskResult) {
        if let CoreEvent::AttemptEnded(end) = &result.event {
            self.attempts.remove(&(end.id, end.attempt));
        }
        let connection = result.connection;
        if let Some(connection) = connection.filter(|connection| connection.address() == self.address) {
            self.idle.add(connection);
        }
        self.outbox.push_back(result.event);
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Listed { address, state } => self.apply_listing(address, state),
            Command::Unlisted => {
                self.running.send_replace(false);
                self.idle.close_all();
            }
            Command::Attempt(attempt) => self.start_attempt(attempt),
            Command::Cancel { id, attempt } => {
                if let Some(stop) = self.attempts.get_mut(&(id, attempt)) {
                    stop.cancel();
                }
            }
            Command::Withdraw { id, attempt } => {
                if let Some(stop) = self.attempts.get_mut(&(id, attempt)) {
                    stop.withdraw();
                }
            }
            Command::HealthCheck { sent_at } => {
                let work = health_check::run(self.host, sent_at, self.connector());
                self.spawn(PendingWork::HealthCheck { sent_at }, work);
            }
            Command::CloseIdleConnections => self.idle.close_all(),
        }
    }

    fn apply_listing(&mut self, address: HostAddress, state: HostState) {
        if address != self.address {
            self.address = address;
            self.idle.close_all();
        }
        self.running.send_replace(state == HostState::Running);
        if state == HostState::Removed {
            self.idle.close_all();
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let (stop, signals) = StopHandle::new();
        self.attempts.insert((attempt.id, attempt.attempt), stop);
        let Attempt { id, attempt: index, sent_at, .. } = attempt;
        let work = attempt::run(self.host, attempt, self.connector(), signals);
        self.spawn(PendingWork::Attempt { id, attempt: index, sent_at }, work);
    }

    fn spawn(&mut self, pending: PendingWork, work: impl Future<Output = TaskResult> + Send + 'static) {
        let task = self.tasks.spawn(work).id();
        self.pending_work.insert(task, pending);
    }

    fn connector(&mut self) -> Connector {
        Connector {
            idle: self.idle.take(),
            address: self.address,
            context: self.context.clone(),
            running: self.running.subscribe(),
        }
    }
}

#[cfg(test)]
mod tests;
