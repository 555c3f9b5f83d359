//! What the console reads and sets: counters, readiness, drains and the fleet.

use super::call::Call;
use crate::counters::Counters;
use crate::net::clock::record_drain_start;
use crate::net::peers::MembershipQueries;
use hyper::StatusCode;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// The state of the proxy as the console reads and sets it. Copies share it.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub counters: Arc<Counters>,
    /// Whether a host that can serve is listed.
    pub ready: watch::Receiver<bool>,
    /// When the console quiesced the proxy; none while it works.
    pub quiesced: Arc<watch::Sender<Option<Instant>>>,
    /// Notified whenever a drain of whichever kind begins or is taken back.
    pub drain_changes: Arc<watch::Sender<()>>,
    /// When the graceful shutdown began; none before.
    pub draining: watch::Receiver<Option<Instant>>,
    /// Where the fleet is queried, if this proxy belongs to one.
    pub fleet: Option<MembershipQueries>,
}

/// The status and the body that a call is answered with.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Reply {
    pub status: StatusCode,
    pub content_type: &'static str,
    pub body: String,
}

impl Reply {
    fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self { status, content_type: "text/plain; charset=utf-8", body: body.into() }
    }

    fn json(body: String) -> Self {
        Self { status: StatusCode::OK, content_type: "application/json", body }
    }
}

impl AdminState {
    /// Returns whether the proxy can serve and is not quiesced. The empty query, a balancer's check, is answered by it:
    /// during a graceful shutdown clients that still come are served.
    pub fn serving(&self) -> bool {
        *self.ready.borrow() && self.quiesced.borrow().is_none()
    }

    /// Returns whether the proxy is serving and not shutting down. The health call is answered by it.
    pub fn healthy(&self) -> bool {
        self.serving() && self.draining.borrow().is_none()
    }

    /// Carries out a call.
    pub(super) async fn carry_out(&self, call: Call) -> Reply {
        match call {
            Call::Health if self.healthy() => Reply::text(StatusCode::OK, "ok\n"),
            Call::Health => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "drained or not ready\n"),
            Call::Stats => Reply::text(StatusCode::OK, self.counters.figures()),
            Call::Fleet => self.query_fleet().await,
            Call::Quiesce => {
                record_drain_start(&self.quiesced);
                self.drain_changes.send_replace(());
                tracing::info!("quiesced by the console");
                Reply::text(StatusCode::OK, "quiesced\n")
            }
            Call::Resume => {
                self.quiesced.send_if_modified(|since| since.take().is_some());
                self.drain_changes.send_replace(());
                tracing::info!("resumed by the console");
                Reply::text(StatusCode::OK, "resumed\n")
            }
            Call::WrongMethod => Reply::text(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n"),
            Call::UnknownPath => Reply::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn query_fleet(&self) -> Reply {
        let Some(fleet) = &self.fleet else {
            return Reply::text(StatusCode::NOT_FOUND, "this proxy is of no fleet\n");
        };
        let (query, answer) = oneshot::channel();
        let view = match fleet.try_send(query) {
            Ok(()) => answer.await.ok(),
            Err(_) => None,
        };
        match view.and_then(|view| serde_json::to_string(&view).ok()) {
            Some(json) => Reply::json(json + "\n"),
            None => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "left, or too many ask at once\n"),
        }
    }
}
