//! Log lines about the connections that a drain waits for, once a second.

use super::connection_registry::ConnectionRegistry;
use crate::net::console::AdminState;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The starts of the drains that have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainStarts {
    /// Time at which the console quiesced the proxy.
    quiesced_at: Option<Instant>,
    /// Time at which SIGTERM was received.
    shutdown_at: Option<Instant>,
}

impl DrainStarts {
    fn of(admin: &AdminState) -> Self {
        Self { quiesced_at: *admin.quiesced.borrow(), shutdown_at: *admin.draining.borrow() }
    }

    /// Returns the kind and the start of the drain to report: the shutdown if there is one, else the quiesce
    /// call.
    fn drain_to_report(self) -> Option<(&'static str, Instant)> {
        let shutdown = self.shutdown_at.map(|started_at| ("shutdown", started_at));
        shutdown.or(self.quiesced_at.map(|started_at| ("quiesce", started_at)))
    }
}

/// Waits until the drains fulfil a condition. Returns false if the proxy has ended before.
async fn wait_until(
    changes: &mut watch::Receiver<()>,
    admin: &AdminState,
    is_fulfilled: impl Fn(DrainStarts) -> bool,
) -> bool {
    while !is_fulfilled(DrainStarts::of(admin)) {
        if changes.changed().await.is_err() {
            return false;
        }
    }
    true
}

/// Logs which connections are still open while a drain, by the console or by SIGTERM, waits for them.
pub(crate) async fn report_drains(registry: ConnectionRegistry, admin: AdminState) {
    let mut changes = admin.drain_changes.subscribe();
    while wait_until(&mut changes, &admin, |starts| starts.drain_to_report().is_some()).await {
        let mut known_starts = DrainStarts::of(&admin);
        loop {
            sleep(REPORT_INTERVAL).await;
            let Some((kind, started_at)) = DrainStarts::of(&admin).drain_to_report() else { break };
            if !registry.log_open(kind, started_at) {
                // No connection is open: wait until a drain begins or ends. A repeated call changes no start.
                if !wait_until(&mut changes, &admin, |starts| starts != known_starts).await {
                    return;
                }
                known_starts = DrainStarts::of(&admin);
            }
        }
    }
}
