//! The state that the acceptor and all client actors share, including the settings and the drains.

use super::cancel::Cancellations;
use super::connection_registry::ConnectionRegistry;
use crate::config::{Config, Names};
use crate::counters::Counters;
use crate::drain::connection::{self, ActiveDrain, ConnectionSchedule};
use crate::drain::ShutdownSchedule;
use crate::interface::TimeDelta;
use crate::net::clock::Clock;
use crate::net::console::AdminState;
use crate::net::memory::{Memory, Reclaim};
use crate::net::messages::CoreEvent;
use crate::net::rejections::Rejections;
use crate::pipeline::PipelineLimits;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The settings that concern clients.
#[derive(Clone, Debug)]
pub(crate) struct FrontendSettings {
    /// Names of classes and tenants.
    pub names: Names,
    /// The schedule of a graceful shutdown.
    pub shutdown: ShutdownSchedule,
    /// The time after which clients without a connection slot may retry; `None` if the settings do not allow
    /// sending it.
    pub retry_after: Option<TimeDelta>,
}

impl FrontendSettings {
    /// Returns the part of a configuration that concerns clients. The shutdown schedule depends on the
    /// longest deadline of the classes that accept requests.
    pub fn of(config: &Config) -> Self {
        let classes = config.names.classes.iter().zip(&config.settings.classes);
        let longest = classes.filter(|(name, _)| name.is_configured).map(|(_, class)| class.deadline.0).max();
        let longest = Duration::from_micros(longest.unwrap_or(0).max(0) as u64);
        Self {
            names: config.names.clone(),
            shutdown: ShutdownSchedule::with_longest_deadline(longest),
            retry_after: config.settings.retry_after_allowed.then_some(config.settings.max_retry_after),
        }
    }
}

/// The state that the acceptor and all client actors share.
#[derive(Clone, Debug)]
pub(crate) struct ClientContext {
    /// Converts times for decisions.
    pub clock: Clock,
    /// Mailbox of the core actor.
    pub events: mpsc::Sender<CoreEvent>,
    /// The current settings, replaced when the configuration is reloaded.
    pub settings: watch::Receiver<Arc<FrontendSettings>>,
    /// Readiness, and the state that the console changes.
    pub admin: AdminState,
    /// Time at which SIGTERM was received; `None` before.
    pub draining: watch::Receiver<Option<Instant>>,
    /// The proxy's counters.
    pub counters: Arc<Counters>,
    /// Counts and logs rejections.
    pub rejections: Rejections,
    /// The memory budget.
    pub memory: Memory,
    /// Client buffers that have to be released.
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    /// The number of client connection slots.
    pub max_clients: usize,
    /// Limits on the pipeline of one connection.
    pub pipeline_limits: PipelineLimits,
    /// The keys for cancelling requests from another connection.
    pub cancellations: Cancellations,
    /// The open connections, for the log.
    pub connections: ConnectionRegistry,
}

impl ClientContext {
    /// Returns the time at which SIGTERM was received, and the schedule that counts from then; `None` before.
    pub(super) fn shutdown(&self) -> Option<(Instant, ShutdownSchedule)> {
        self.draining.borrow().map(|started_at| (started_at, self.settings.borrow().shutdown))
    }

    /// Returns the drains that have begun, in the form that [`connection`] takes.
    pub(super) fn active_drains(&self) -> impl Iterator<Item = ActiveDrain> {
        let quiesced = self.admin.quiesced.borrow().map(|started_at| ActiveDrain {
            started_at: self.clock.timestamp(started_at),
            schedule: ConnectionSchedule::QUIESCE,
            ends_process: false,
        });
        let shutdown = self.shutdown().map(|(started_at, schedule)| ActiveDrain {
            started_at: self.clock.timestamp(started_at),
            schedule: schedule.into(),
            ends_process: true,
        });
        quiesced.into_iter().chain(shutdown)
    }

    /// Returns the end of the startup of a connection that is accepted now, or was in its startup when a
    /// drain began; `None` without a drain.
    pub(super) fn startup_deadline(&self) -> Option<Instant> {
        let deadline = connection::startup_deadline(self.active_drains(), self.clock.now());
        deadline.map(|deadline| self.clock.instant(deadline))
    }

    /// Returns the time at which the answers to requests that are read now are due; `None` unless the process
    /// is shutting down.
    pub(super) fn answers_due_at(&self) -> Option<Instant> {
        let due = connection::answers_due_at(self.active_drains());
        due.map(|due| self.clock.instant(due))
    }

    /// Returns whether a drain has begun, by the console or by SIGTERM.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.borrow().is_some() || self.admin.quiesced.borrow().is_some()
    }

    /// Returns the time after which a rejected client may retry; `None` if the settings do not allow sending
    /// it.
    pub(super) fn retry_after(&self) -> Option<TimeDelta> {
        self.settings.borrow().retry_after
    }
}
