//! Passes events to the router and carries out the actions that it returns.

use super::attempts::Forward;
use super::Core;
use crate::counters::RequestEnd;
use crate::interface::{Action, Event, HostId, RequestId, TimeDelta};
use crate::net::messages::Answer;
use crate::net::upstream::Command;
use crate::rejection_reason::RejectionReason;
use tokio::time::Instant;

impl Core {
    /// Passes an event to the router and carries out the actions that it returns. Events that these actions
    /// cause are handled in the same way before this returns.
    pub(super) async fn notify_router(&mut self, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = self.clock.now();
            tracing::trace!(at_us = now.0, ?event, "router event");
            // Ejections depend on the endpoint list and on time, so the gauge is refreshed on these two
            // events.
            let may_change_ejections = matches!(event, Event::EndpointList(..) | Event::Timer(_));
            self.router.handle(now, event, &mut actions);
            if may_change_ejections {
                self.counters.set_ejected_hosts(self.router.ejected_hosts());
            }
            for action in actions.drain(..) {
                tracing::trace!(at_us = now.0, ?action, "router action");
                self.carry_out(action).await;
            }
            self.actions = actions;
        }
    }

    async fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, timeout, requirement, write_by } => {
                let write_by = write_by.map(|at| self.clock.instant(at));
                self.forward(Forward { id, host, timeout, requirement, write_by }).await;
            }
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.answer(id, RequestEnd::Failed, Answer::Failed),
            Action::CancelAttempt { id, attempt } => {
                self.stop_attempt(id, attempt, Command::Cancel { id, attempt }).await;
            }
            Action::WithdrawAttempt { id, attempt } => {
                self.stop_attempt(id, attempt, Command::Withdraw { id, attempt }).await;
            }
            Action::HealthCheck { host } => self.start_health_check(host).await,
            Action::CloseIdleConnections { host } => {
                if let Some(handle) = self.hosts.get(host) {
                    handle.actor.send(Command::CloseIdleConnections).await;
                }
            }
            Action::SetTimer { at, token } => {
                self.timers.set_router_timer(self.clock.instant(at), token);
            }
            Action::ShareWrite(write) => self.share_write(write),
            Action::Log(note) => tracing::info!(note, "router note"),
            // The discovery actor always keeps a watch open, so there is nothing to start or fetch.
            Action::WatchEndpoints(_) | Action::FetchEndpoints => {}
        }
    }

    /// Rejects a request on the router's decision.
    fn reject(&mut self, id: RequestId, retry_after: Option<TimeDelta>) {
        if let Some(request) = self.requests.get(id) {
            let class = self.config.names.classes.get(request.class).map_or("", |class| class.name.as_str());
            let attempts = request.attempt_hosts.len();
            let cause = format_args!("the router rejected a request of `{class}` after {attempts} attempts");
            self.rejections.record(RejectionReason::RouterDecision, cause);
        }
        self.answer(id, RequestEnd::Rejected, Answer::Rejected { retry_after });
    }

    async fn start_health_check(&mut self, host: HostId) {
        self.counters.health_check_sent();
        if let Some(handle) = self.hosts.get_mut(host) {
            handle.outstanding += 1;
            handle.actor.send(Command::HealthCheck { sent_at: Instant::now() }).await;
        }
    }
}
