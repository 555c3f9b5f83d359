//! The core actor: owns the router and connects its decisions with the actors of clients and hosts.
//!
//! - `request_table`: the requests in flight
//! - `requests`: arrival, answer and end of a request
//! - `attempts`: forwarding a request to a host and the end of an attempt
//! - `positions`: conversion of the hosts' log positions and times to local time, and staleness checks
//! - `shared_writes`: the writes of sessions that other processes of the proxy took
//! - `host_registry`: the hosts, their ids and their actors
//! - `endpoints`: endpoint lists from discovery
//! - `timers`: the router's timers and the final reply of each request
//! - `actions`: passes events to the router and carries out its actions

mod actions;
mod attempts;
mod endpoints;
mod host_registry;
mod positions;
mod request_table;
mod requests;
mod shared_writes;
mod timers;

use super::clock::Clock;
use super::memory::Memory;
use super::messages::{CoreEvent, HealthCheckResult};
use super::rejections::Rejections;
use super::upstream::UpstreamContext;
use crate::config::Config;
use crate::counters::Counters;
use crate::interface::{Action, EndpointUpdate, Event, SettingsError};
use crate::state::host_clock::HostClock;
use crate::Router;
use host_registry::HostRegistry;
use request_table::RequestTable;
pub(crate) use shared_writes::SharedWrites;
use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use timers::{ScheduledEvent, Timers};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Handling time from which an event is logged as slow.
const SLOW_EVENT: Duration = Duration::from_secs(1);

/// State that the core actor shares with other actors.
#[derive(Debug)]
pub(crate) struct CoreContext {
    pub clock: Clock,
    /// Mailbox of the core actor, for the actors that it starts.
    pub events: mpsc::Sender<CoreEvent>,
    /// Becomes true once a running host is listed.
    pub ready: watch::Sender<bool>,
    pub counters: Arc<Counters>,
    /// Counts and logs rejections.
    pub rejections: Rejections,
    /// Accounts for the memory of answers.
    pub memory: Memory,
    /// The exchange of session writes with other processes; `None` if the proxy does not track writes.
    pub shared_writes: Option<SharedWrites>,
}

/// The core actor. The module documentation lists its parts.
pub(crate) struct Core {
    router: Router,
    config: Config,
    clock: Clock,
    /// The clock of the hosts' log positions, start times and write times.
    host_clock: HostClock,
    requests: RequestTable,
    hosts: HostRegistry,
    timers: Timers,
    ready: watch::Sender<bool>,
    counters: Arc<Counters>,
    rejections: Rejections,
    shared_writes: Option<SharedWrites>,
    /// Reused buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
    /// Events for the router that were caused by carrying out its actions.
    pending_events: VecDeque<Event>,
}

impl Core {
    /// Returns an actor that has not started.
    ///
    /// # Errors
    /// Returns an error if the settings contradict one another.
    pub fn new(config: Config, context: CoreContext) -> Result<Self, SettingsError> {
        let CoreContext { clock, events, ready, counters, rejections, memory, shared_writes } = context;
        let upstream = UpstreamContext::new(&config, Arc::clone(&counters), rejections.clone(), &memory);
        Ok(Self {
            router: Router::new(config.settings.clone(), config.seed)?,
            config,
            clock,
            host_clock: HostClock::default(),
            requests: RequestTable::default(),
            hosts: HostRegistry::new(upstream, events),
            timers: Timers::default(),
            ready,
            counters,
            rejections,
            shared_writes,
            actions: Vec::new(),
            pending_events: VecDeque::new(),
        })
    }

    /// Runs until all senders of the mailbox are dropped, or the task is aborted.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<CoreEvent>) {
        if let Some(cached) = self.config.cached_endpoints.take() {
            self.update_endpoints(cached, EndpointUpdate::Cached).await;
        }
        self.check_processes().await;
        loop {
            tokio::select! {
                event = mailbox.recv() => match event {
                    Some(event) => log_if_slow(event.name(), self.handle(event)).await,
                    None => return,
                },
                Some(event) = self.timers.next(), if !self.timers.is_empty() => {
                    log_if_slow(event.name(), self.handle_scheduled(event)).await;
                }
            }
        }
    }

    async fn handle_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RouterTimer(token) => self.notify_router(Event::Timer(token)).await,
            ScheduledEvent::FinalReply(id) => self.send_final_reply(id).await,
            ScheduledEvent::ProcessCheck => self.check_processes().await,
        }
    }

    async fn handle(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::RequestArrived(arrival) => self.request_arrived(*arrival).await,
            CoreEvent::ClientDisconnected(id) => self.client_disconnected(id).await,
            CoreEvent::DeadlineShortened { id, reply_due } => self.bring_reply_forward(id, reply_due),
            CoreEvent::AttemptEnded(end) => self.attempt_ended(*end).await,
            CoreEvent::HealthChecked(result) => self.health_checked(result).await,
            CoreEvent::EndpointList(list) => {
                let kind = if list.is_complete { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
                self.update_endpoints(list, kind).await;
            }
            CoreEvent::Reconfigured(config) => {
                self.router.reconfigure(config.settings.clone());
                self.config = *config;
            }
            CoreEvent::DrainStarted(reply_by) => self.bring_all_replies_forward(reply_by),
        }
    }

    async fn health_checked(&mut self, result: HealthCheckResult) {
        let HealthCheckResult { host, outcome, latency, report } = result;
        self.hosts.work_ended(host);
        let report = report.map(|report| self.report_in_local_time(host, report));
        self.notify_router(Event::HealthChecked { host, outcome, latency, report }).await;
    }

    /// Limits the final reply of each open request to `reply_by` at the latest.
    fn bring_all_replies_forward(&mut self, reply_by: Instant) {
        for timer in self.requests.final_reply_timers() {
            self.timers.bring_forward(timer, reply_by);
        }
    }
}

/// Awaits the handling of an event, and logs the event's name if it took [`SLOW_EVENT`] or longer.
async fn log_if_slow(event: &'static str, handling: impl Future<Output = ()>) {
    let started_at = Instant::now();
    handling.await;
    let elapsed = started_at.elapsed();
    if elapsed >= SLOW_EVENT {
        tracing::warn!(event, elapsed_ms = elapsed.as_millis(), "the core actor was slow to handle an event");
    }
}
