//! The state that calls to the console read and change: counters, readiness, drains and the fleet.

use super::call::Call;
use crate::counters::Counters;
use crate::net::clock::record_drain_start;
use crate::net::peers::MembershipQueries;
use hyper::StatusCode;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// The state of the proxy that the console reads and changes. Copies share it.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub counters: Arc<Counters>,
    /// Whether the endpoint list holds a host that can serve.
    pub ready: watch::Receiver<bool>,
    /// Time at which the console quiesced the proxy; `None` if the proxy is not quiesced.
    pub quiesced: Arc<watch::Sender<Option<Instant>>>,
    /// Notified when a drain begins, by SIGTERM or by the console, and when the console ends one.
    pub drain_changes: Arc<watch::Sender<()>>,
    /// Time at which the graceful shutdown began; `None` before.
    pub draining: watch::Receiver<Option<Instant>>,
    /// Mailbox for queries of the fleet's status; `None` if this proxy belongs to no fleet.
    pub fleet: Option<MembershipQueries>,
}

/// The response to a call.
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
    /// Returns whether the proxy is ready and not quiesced. Decides the answer to an empty query, with which
    /// load balancers check the proxy: true during a graceful shutdown too, in which new clients are still
    /// served.
    pub fn is_serving(&self) -> bool {
        *self.ready.borrow() && self.quiesced.borrow().is_none()
    }

    /// Returns whether the proxy is serving and not shutting down. Decides the answer to the health call.
    pub fn is_healthy(&self) -> bool {
        self.is_serving() && self.draining.borrow().is_none()
    }

    /// Carries out a call and returns the response to it.
    pub(super) async fn carry_out(&self, call: Call) -> Reply {
        match call {
            Call::Health if self.is_healthy() => Reply::text(StatusCode::OK, "ok\n"),
            Call::Health => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "drained or not ready\n"),
            Call::Stats => Reply::text(StatusCode::OK, self.counters.format_metrics()),
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
