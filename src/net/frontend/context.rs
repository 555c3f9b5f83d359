//! What all client actors share, and the settings and drains as they see them.

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
    /// What a graceful shutdown does when.
    pub shutdown: ShutdownSchedule,
    /// When clients that find no connection slot may retry; `None` if clients are given no such time.
    pub retry_after: Option<TimeDelta>,
}

impl FrontendSettings {
    /// Returns the settings in a configuration. The shutdown schedule depends on the longest deadline among classes that
    /// accept requests.
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

/// What the acceptor and all client actors share.
#[derive(Clone, Debug)]
pub(crate) struct ClientContext {
    /// The clock of decisions.
    pub clock: Clock,
    /// Mailbox of the core actor.
    pub events: mpsc::Sender<CoreEvent>,
    /// The settings that concern clients; replaced when the configuration is reloaded.
    pub settings: watch::Receiver<Arc<FrontendSettings>>,
    /// Readiness, and since when the console has quiesced the proxy.
    pub admin: AdminState,
    /// When SIGTERM came.
    pub draining: watch::Receiver<Option<Instant>>,
    /// The proxy's counters.
    pub counters: Arc<Counters>,
    /// Counts and logs what is rejected.
    pub rejections: Rejections,
    /// The memory budget.
    pub memory: Memory,
    /// Client buffers that have to be released.
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    /// The number of client connection slots.
    pub max_clients: usize,
    /// What one connection may have in its pipeline.
    pub pipeline_limits: PipelineLimits,
    /// The keys by which clients cancel requests of other connections.
    pub cancellations: Cancellations,
    /// The open connections, for the log.
    pub connections: ConnectionRegistry,
}

impl ClientContext {
    /// Returns when SIGTERM came and the schedule that the process follows from then on; `None` before.
    pub(super) fn shutdown(&self) -> Option<(Instant, ShutdownSchedule)> {
        self.draining.borrow().map(|started_at| (started_at, self.settings.borrow().shutdown))
    }

    /// Returns the drains that have begun, as [`connection`] takes them.
    pub(super) fn active_drains(&self) -> impl Iterator<Item = ActiveDrain> {
        let quiesced = self.admin.quiesced.borrow().map(|started_at| ActiveDrain {
            started_at: self.clock.timestamp(started_at),
            schedule: ConnectionSchedule::QUIESCE,
            ends_process: false,
        });
        let terminated = self.shutdown().map(|(started_at, schedule)| ActiveDrain {
            started_at: self.clock.timestamp(started_at),
            schedule: schedule.into(),
            ends_process: true,
        });
        quiesced.into_iter().chain(terminated)
    }

    /// Returns until when the startup of a connection may take that is accepted now, or is in its startup as a drain
    /// begins; `None` without a drain.
    pub(super) fn startup_deadline(&self) -> Option<Instant> {
        let deadline = connection::startup_deadline(self.active_drains(), self.clock.now());
        deadline.map(|deadline| self.clock.instant(deadline))
    }

    /// Returns by when a request that is read now has to be answered; `None` unless the process ends.
    pub(super) fn answers_due_at(&self) -> Option<Instant> {
        let due = connection::answers_due_at(self.active_drains());
        due.map(|due| self.clock.instant(due))
    }

    /// Returns whether a drain has begun, by the console or by SIGTERM.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.borrow().is_some() || self.admin.quiesced.borrow().is_some()
    }

    /// Returns when a rejected client may retry; `None` if clients are given no such time.
    pub(super) fn retry_after(&self) -> Option<TimeDelta> {
        self.settings.borrow().retry_after
    }
}
