//! Provides one task with a connection: an idle one or a new one.

use super::connection::Connection;
use super::{HostAddress, UpstreamContext};
use crate::interface::Outcome;
use crate::rejection_reason::RejectionReason;
use std::sync::Arc;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// What it takes to connect to a host.
#[derive(Debug)]
pub(super) struct Connector {
    /// An idle connection, if the host's actor had one.
    pub idle: Option<Connection>,
    pub address: HostAddress,
    pub context: UpstreamContext,
    /// Whether the endpoint list says that the host runs.
    pub running: watch::Receiver<bool>,
}

impl Connector {
    /// Returns the idle connection or a new one.
    ///
    /// # Errors
    /// The attempt's outcome, when there is no connection by the deadline, or the host stops running.
    pub async fn connect(&mut self, deadline: Instant) -> Result<Connection, Outcome> {
        // Checked again: from here to the query's first byte no other task runs.
        if !*self.running.borrow() {
            return Err(Outcome::ConnectFailed);
        }
        if let Some(connection) = self.idle.take().filter(Connection::is_open_and_silent) {
            return Ok(connection);
        }
        self.context.counters.upstream_connect();
        let give_up_at = deadline.min(Instant::now() + self.context.connect_timeout);
        let Self { address, context, running, .. } = self;
        tokio::select! {
            biased;
            opened = open(*address, context, give_up_at) => opened,
            // A host that stops while a request waits for its connection gets nothing of the request.
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

/// Acquires the permit of a connection. If there is none, idle connections of all hosts are closed. A permit that cannot be
/// had is no fault of the host, whose circuit breaker must not open for it.
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
