//! The log of a drain that waits: which connections are still open, once a second.

use super::connection_registry::ConnectionRegistry;
use crate::net::console::AdminState;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The drains that have begun, by their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainStarts {
    /// When the console quiesced the proxy.
    quiesced_at: Option<Instant>,
    /// When SIGTERM came.
    terminated_at: Option<Instant>,
}

impl DrainStarts {
    fn of(admin: &AdminState) -> Self {
        Self { quiesced_at: *admin.quiesced.borrow(), terminated_at: *admin.draining.borrow() }
    }

    /// Returns what a report is about: the shutdown, or else the quiesce call.
    fn reported(self) -> Option<(&'static str, Instant)> {
        let shutdown = self.terminated_at.map(|started_at| ("drain", started_at));
        shutdown.or(self.quiesced_at.map(|started_at| ("quiesce", started_at)))
    }
}

/// Waits until the drains fulfil a condition. Returns whether they do; not if the proxy has ended.
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

/// Logs, while a drain by the console or by SIGTERM waits for them, which connections are still open.
pub(crate) async fn report_drains(registry: ConnectionRegistry, admin: AdminState) {
    let mut changes = admin.drain_changes.subscribe();
    while wait_until(&mut changes, &admin, |starts| starts.reported().is_some()).await {
        let mut seen = DrainStarts::of(&admin);
        loop {
            sleep(REPORT_INTERVAL).await;
            let Some((kind, started_at)) = DrainStarts::of(&admin).reported() else { break };
            if !registry.log_open(kind, started_at) {
                // A repeated call changes nothing.
                if !wait_until(&mut changes, &admin, |starts| starts != seen).await {
                    return;
                }
                seen = DrainStarts::of(&admin);
            }
        }
    }
}
