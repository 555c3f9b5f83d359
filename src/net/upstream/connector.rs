//! Provides a task with a connection: an idle one or a new one.

use super::connection::Connection;
use super::{HostAddress, UpstreamContext};
use crate::interface::Outcome;
use crate::rejection_reason::RejectionReason;
use std::sync::Arc;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// State that a task needs to get a connection to a host.
#[derive(Debug)]
pub(super) struct Connector {
    /// Idle connection, if the host's actor had one.
    pub idle: Option<Connection>,
    pub address: HostAddress,
    pub context: UpstreamContext,
    /// Whether the host is listed as running.
    pub running: watch::Receiver<bool>,
}

impl Connector {
    /// Returns the idle connection or a new one.
    ///
    /// # Errors
    /// Returns the attempt's outcome if there is no connection by the deadline, or the host is no longer
    /// running.
    pub async fn connect(&mut self, deadline: Instant) -> Result<Connection, Outcome> {
        // The host may have stopped running since the task was started. On an idle connection no other task
        // runs between this check and the query's first byte.
        if !*self.running.borrow() {
            return Err(Outcome::ConnectFailed);
        }
        if let Some(connection) = self.idle.take().filter(Connection::is_open_and_silent) {
            return Ok(connection);
        }
        self.context.counters.upstream_connect_started();
        let give_up_at = deadline.min(Instant::now() + self.context.connect_timeout);
        let Self { address, context, running, .. } = self;
        tokio::select! {
            biased;
            opened = open(*address, context, give_up_at) => opened,
            // No request is written to a host that stops running while the connection is being opened.
            Ok(_) = running.wait_for(|running| !running) => Err(Outcome::ConnectFailed),
        }
    }
}

async fn open(
    address: HostAddress,
    context: &UpstreamContext,
    give_up_at: Instant,
) -> Result<Connection, Outcome> {
    let permit = acquire_permit(context, give_up_at).await?;
    let opened = Connection::open(address, permit, give_up_at).await;
    if matches!(opened, Err(Outcome::NotSent)) {
        let cause = "this machine has no port, descriptor or buffer for a connection to a host";
        context.rejections.record(RejectionReason::LocalResources, cause);
    }
    opened
}

/// Acquires the permit of a connection. If none is available, asks all hosts to close their idle connections.
/// A missing permit must not open the host's circuit breaker, so the outcome is [`Outcome::NotSent`].
async fn acquire_permit(
    context: &UpstreamContext,
    give_up_at: Instant,
) -> Result<OwnedSemaphorePermit, Outcome> {
    if let Ok(permit) = Arc::clone(&context.permits).try_acquire_owned() {
        return Ok(permit);
    }
    context.release_idle.send_replace(());
    match timeout_at(give_up_at, Arc::clone(&context.permits).acquire_owned()).await {
        Ok(Ok(permit)) => Ok(permit),
        _ => Err(Outcome::NotSent),
    }
}
