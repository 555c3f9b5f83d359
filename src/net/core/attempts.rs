//! Forwarding a request to a host, and the end of an attempt.

use super::request_table::send_answer;
use super::Core;
use crate::counters::RequestEnd;
use crate::interface::{AttemptResult, Event, HostId, Outcome, ReadRequirement, RequestId, TimeDelta};
use crate::net::messages::{Answer, AttemptEnd};
use crate::net::upstream::{Attempt, Command};
use std::time::Duration;
use tokio::time::Instant;

/// The router's decision to forward a request.
#[derive(Debug)]
pub(super) struct Forward {
    pub id: RequestId,
    pub host: HostId,
    /// Longest duration of the attempt; `None` leaves it bounded by the request's deadline alone.
    pub timeout: Option<TimeDelta>,
    /// Freshness that the answer's data must have.
    pub requirement: ReadRequirement,
    /// Time after which the query must not be written.
    pub write_by: Option<Instant>,
}

impl Core {
    /// Hands a request to a host's actor. The attempt ends as not sent if the request is closed, its deadline
    /// has passed, its attempts are used up or the host is unknown.
    pub(super) async fn forward(&mut self, forward: Forward) {
        let Forward { id, host, timeout, requirement, write_by } = forward;
        let now = Instant::now();
        let Some(request) = self.requests.get_mut(id) else {
            return tracing::error!(
                request_id = id.0,
                "the router forwarded a request that had already ended"
            );
        };
        let attempt = request.attempt_hosts.len() as u32;
        request.attempt_hosts.push(host);
        request.requirement = requirement;
        let must_not_send =
            request.is_closed() || now >= request.deadline || attempt >= self.config.max_attempts;
        let Some(handle) = self.hosts.get_mut(host).filter(|_| !must_not_send) else {
            let request_closed = request.is_closed();
            return self.attempt_not_sent(id, attempt, host, request_closed);
        };
        request.in_flight_attempts += 1;
        handle.outstanding += 1;
        self.counters.attempt_sent();
        let timeout = timeout.map(|timeout| now + Duration::from_micros(timeout.0.max(0) as u64));
        let command = Command::Attempt(Attempt {
            id,
            attempt,
            statement: request.statement.clone(),
            client_liveness: request.client_liveness.clone(),
            sent_at: now,
            deadline: timeout.map_or(request.deadline, |at| at.min(request.deadline)),
            write_by,
        });
        handle.actor.send(command).await;
    }

    /// Queues the end of an attempt that no host's actor was given.
    fn attempt_not_sent(&mut self, id: RequestId, attempt: u32, host: HostId, request_closed: bool) {
        self.counters.attempt_ended(Outcome::NotSent);
        self.pending_events.push_back(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            host,
            outcome: Outcome::NotSent,
            latency: TimeDelta(0),
            request_closed,
            position: None,
            role: None,
            answer_lost: false,
            report: None,
        }));
    }

    /// Sends the command that stops an attempt to the actor of its host.
    pub(super) async fn stop_attempt(&mut self, id: RequestId, attempt: u32, command: Command) {
        let request = self.requests.get(id);
        let host = request.and_then(|request| request.attempt_hosts.get(attempt as usize));
        if let Some(handle) = host.and_then(|host| self.hosts.get(*host)) {
            handle.actor.send(command).await;
        }
    }

    /// Withdraws the in-flight attempts of a request that has ended: queries that are not completely written
    /// are abandoned. Unlike a cancellation this never interrupts a running query, since a host does not
    /// execute an incomplete one.
    pub(super) async fn withdraw_attempts(&mut self, id: RequestId) {
        let request = self.requests.get(id).filter(|request| request.in_flight_attempts > 0);
        let Some(request) = request else { return };
        for (attempt, host) in request.attempt_hosts.iter().enumerate() {
            if let Some(handle) = self.hosts.get(*host) {
                handle.actor.send(Command::Withdraw { id, attempt: attempt as u32 }).await;
            }
        }
    }

    /// Handles the end of an attempt: answers the request if the attempt returned a value, and notifies the
    /// router.
    pub(super) async fn attempt_ended(&mut self, mut end: AttemptEnd) {
        self.host_clock.expire_confirmation(self.clock.now());
        let outcome = if self.is_stale(&end) { Outcome::Stale } else { end.outcome };
        self.log_attempt(&end, outcome);
        let role = self.proven_role(&end);
        let id = end.id;
        self.counters.attempt_ended(outcome);
        self.hosts.work_ended(end.host);
        let is_open = self.record_attempt_ended(id);
        let mut served = None;
        if outcome == Outcome::Ok && is_open {
            served = self.close(id, RequestEnd::Served).zip(end.value.take());
        }
        let result = AttemptResult {
            id,
            attempt: end.attempt,
            host: end.host,
            outcome,
            latency: end.latency,
            request_closed: !is_open || outcome == Outcome::Ok,
            position: self.observe_position(&end, outcome),
            role,
            answer_lost: end.answer_lost,
            report: None,
        };
        // The router learns of a commit before the client does, so that it knows the commit at the client's
        // next read.
        self.notify_router(Event::AttemptEnded(result)).await;
        if let Some((client, value)) = served {
            send_answer(&client, id, Answer::Served(value));
            self.withdraw_attempts(id).await;
        }
        self.requests.remove_if_finished(id);
    }

    /// Removes one attempt from its request's in-flight attempts. Returns whether the request is still open.
    fn record_attempt_ended(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        request.in_flight_attempts -= 1;
        !request.is_closed()
    }
}
