//! Admission, answer and end of requests.

use super::request_table::{send_answer, InFlightRequest};
use super::timers::{final_reply_at, request_deadline};
use super::Core;
use crate::counters::RequestEnd;
use crate::interface::{self, Event, Freshness, ReadRequirement, RequestId, TimeDelta, Timestamp};
use crate::net::messages::{Answer, Arrival, ClientMessage, InvalidRequest, Request};
use crate::rejection_reason::RejectionReason;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Reason why a request is not admitted to the request table.
#[derive(Debug, thiserror::Error)]
enum AdmissionError {
    /// No endpoint list has been received, so no group is known yet.
    #[error("no endpoint list has been received yet")]
    NotReady,
    #[error("the limit of requests in flight is reached")]
    TooManyRequests,
    #[error("the request is invalid: {0}")]
    Invalid(InvalidRequest),
}

impl Core {
    /// Admits a request and notifies the router, or answers the request at once.
    pub(super) async fn request_arrived(&mut self, arrival: Arrival) {
        self.counters.request_accepted();
        match self.admit(&arrival.request) {
            Ok(()) => {
                self.follow_shared_writes(&arrival.request).await;
                let request = self.insert_request(arrival);
                self.notify_router(Event::RequestArrived(request)).await;
            }
            Err(error) => self.answer_not_admitted(&arrival, error),
        }
    }

    /// Checks that a request can be admitted, and reserves its client request id.
    fn admit(&mut self, request: &Request) -> Result<(), AdmissionError> {
        if self.hosts.is_empty() {
            return Err(AdmissionError::NotReady);
        }
        if self.requests.open_count() >= self.config.max_pending_requests {
            return Err(AdmissionError::TooManyRequests);
        }
        // The router would queue a request of an unknown group until its client disconnects.
        if !self.hosts.has_group(request.group) {
            return Err(AdmissionError::Invalid(InvalidRequest::UnknownGroup(request.group)));
        }
        if !self.requests.reserve_client_request_id(&request.client_request_id) {
            return Err(AdmissionError::Invalid(InvalidRequest::DuplicateId));
        }
        Ok(())
    }

    /// Answers a request that is not admitted.
    fn answer_not_admitted(&self, arrival: &Arrival, error: AdmissionError) {
        let retry_after = self.max_retry_after();
        let (reason, retry_after) = match error {
            AdmissionError::NotReady => (RejectionReason::NotReady, retry_after),
            AdmissionError::TooManyRequests => (RejectionReason::TooManyRequests, retry_after),
            AdmissionError::Invalid(invalid) => {
                self.counters.request_ended(RequestEnd::Failed, arrival.request.class);
                return send_answer(&arrival.client, arrival.id, Answer::Invalid(invalid));
            }
        };
        self.rejections.record(reason, error);
        self.counters.request_ended(RequestEnd::Rejected, arrival.request.class);
        send_answer(&arrival.client, arrival.id, Answer::Rejected { retry_after });
    }

    /// Inserts an admitted request into the table. Returns the request in the form that the router takes.
    fn insert_request(&mut self, arrival: Arrival) -> interface::Request {
        let Arrival { id, request, arrived_at, reply_due, client, client_liveness, memory_reservation } =
            arrival;
        let deadline = request_deadline(arrived_at, request.timeout);
        let final_reply_at = final_reply_at(arrived_at, reply_due.min(arrived_at + request.timeout));
        let Request {
            class,
            tenant,
            group,
            session,
            is_client_retry,
            last_write_at,
            client_request_id,
            statement,
            ..
        } = request;
        let router_request = interface::Request {
            id,
            class,
            group,
            tenant,
            time_since_write: last_write_at.map(|at| self.time_since_write(arrived_at, at)),
            is_client_retry,
            timeout: deadline.saturating_duration_since(Instant::now()).into(),
            session,
        };
        let in_flight = InFlightRequest {
            client_request_id,
            statement,
            deadline,
            client: Some(client),
            client_liveness,
            final_reply_timer: Some(self.timers.set_final_reply(final_reply_at, id)),
            is_reply_due_early: reply_due < deadline,
            attempt_hosts: Vec::new(),
            requirement: ReadRequirement::Any,
            in_flight_attempts: 0,
            is_client_retry,
            is_write: self.config.settings.classes[class].freshness == Freshness::Write,
            class,
            _memory_reservation: memory_reservation,
        };
        self.requests.insert(id, in_flight);
        router_request
    }

    /// Returns the time from the session's last write to `arrived_at`. A write that is ahead of the clock
    /// counts as made just now.
    fn time_since_write(&self, arrived_at: Instant, last_write_at: Timestamp) -> TimeDelta {
        let since_write = self.clock.timestamp(arrived_at).0 - self.host_clock.to_local(last_write_at).0;
        TimeDelta(since_write.max(1))
    }

    /// Limits the reply to a request to `reply_due`; has no effect if the reply is due earlier.
    pub(super) fn bring_reply_forward(&mut self, id: RequestId, reply_due: Instant) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(timer) = &request.final_reply_timer else { return };
        let at = final_reply_at(Instant::now(), reply_due);
        request.is_reply_due_early |= self.timers.bring_forward(timer, at);
    }

    /// Ends a request whose client has disconnected.
    pub(super) async fn client_disconnected(&mut self, id: RequestId) {
        if self.close(id, RequestEnd::Disconnected).is_some() {
            if self.requests.get(id).is_some_and(|request| !self.client_may_retry(request)) {
                // The id may come again: the request must not run twice.
                self.requests.retain_client_request_id(id);
            }
            self.notify_router(Event::ClientDisconnected(id)).await;
        }
        self.withdraw_attempts(id).await;
        self.requests.remove_if_finished(id);
    }

    /// Answers a request whose final-reply timer has expired. Guarantees that every request is answered in
    /// time, even if the router never decides on it.
    pub(super) async fn send_final_reply(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.final_reply_timer = None;
        }
        if let Some(request) = self.requests.get(id) {
            self.record_final_reply(id, request);
        }
        let (ended, answer) = match self.requests.get(id).is_none_or(|request| self.client_may_retry(request))
        {
            true => (RequestEnd::Rejected, Answer::Rejected { retry_after: self.max_retry_after() }),
            false => (RequestEnd::Failed, Answer::Failed),
        };
        if let Some(client) = self.close(id, ended) {
            send_answer(&client, id, answer);
            self.notify_router(Event::ClientDisconnected(id)).await;
        }
        self.withdraw_attempts(id).await;
        self.requests.remove_if_finished(id);
    }

    /// Records a rejection of a request whose reply is due early, or logs that a request reached its
    /// deadline.
    fn record_final_reply(&self, id: RequestId, request: &InFlightRequest) {
        if request.is_reply_due_early {
            let attempts = request.attempt_hosts.len();
            let cause = format_args!(
                "no answer after {attempts} attempts, and the answer to a later request of the connection is due"
            );
            self.rejections.record(RejectionReason::PipelineOrder, cause);
        } else {
            let attempt_hosts: Vec<&str> = request
                .attempt_hosts
                .iter()
                .filter_map(|host| self.hosts.get(*host))
                .map(|host| host.name.as_str())
                .collect();
            tracing::warn!(
                request_id = id.0,
                attempt_hosts = ?attempt_hosts,
                in_flight_attempts = request.in_flight_attempts,
                "request not answered by its deadline"
            );
        }
    }

    /// Returns whether the client may retry the request: no attempt was made, or a repeat does no harm on
    /// any host. Stricter than the router, which knows which attempts cannot have been executed.
    fn client_may_retry(&self, request: &InFlightRequest) -> bool {
        let class = self.config.settings.classes.get(request.class);
        request.attempt_hosts.is_empty()
            || class.is_some_and(|class| class.idempotency.is_safe_to_retry_on_any_host())
    }

    /// Returns the longest Retry-After of the settings; `None` if the settings do not allow one.
    fn max_retry_after(&self) -> Option<TimeDelta> {
        let settings = &self.config.settings;
        settings.retry_after_allowed.then_some(settings.max_retry_after)
    }

    /// Closes a request and counts its end. Returns the mailbox for its answer; `None` if the request is not
    /// open.
    pub(super) fn close(&mut self, id: RequestId, ended: RequestEnd) -> Option<mpsc::Sender<ClientMessage>> {
        let closed = self.requests.close(id)?;
        if let Some(timer) = closed.final_reply_timer {
            self.timers.cancel(timer);
        }
        self.counters.request_ended(ended, closed.class);
        Some(closed.client)
    }

    /// Answers a request if it is open.
    pub(super) fn answer(&mut self, id: RequestId, ended: RequestEnd, answer: Answer) {
        if let Some(client) = self.close(id, ended) {
            send_answer(&client, id, answer);
        }
        self.requests.remove_if_finished(id);
    }
}
