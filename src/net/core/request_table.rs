//! Table of the requests in flight: those without an answer, and those with attempts that have not ended.

use super::timers::FinalReplyTimer;
use crate::budget::Reservation;
use crate::interface::{HostId, ReadRequirement, RequestId};
use crate::net::messages::{Answer, ClientMessage, Statement};
use crate::net::socket::PeerLiveness;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time for which the id of a request that may have run stays reserved after its client has left.
const ID_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of ids that stay reserved after their clients have left.
const MAX_RETAINED_IDS: usize = 4096;

/// A request without an answer, or with attempts that have not ended.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    /// The id that the client gave the request.
    pub client_request_id: String,
    /// Statement that each attempt forwards.
    pub statement: Statement,
    /// Time at which attempts of the request end.
    pub deadline: Instant,
    /// Mailbox of the client's actor, for the answer; `None` once the request is closed.
    pub client: Option<mpsc::Sender<ClientMessage>>,
    /// Whether the client's connection is still open.
    pub client_liveness: PeerLiveness,
    /// Timer of the final reply; `None` once the request is closed or the timer has expired.
    pub final_reply_timer: Option<FinalReplyTimer>,
    /// Whether the reply is due before the request's own deadline, because of requests behind it on its
    /// connection.
    pub is_reply_due_early: bool,
    /// Host of each attempt, by the attempt's index.
    pub attempt_hosts: Vec<HostId>,
    /// Freshness that the data of an answer to the latest attempt must have.
    pub requirement: ReadRequirement,
    /// Number of attempts that have not ended.
    pub in_flight_attempts: u32,
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Whether the request's class writes.
    pub is_write: bool,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Accounts for the request's memory until the request is removed.
    pub _memory_reservation: Reservation,
}

impl InFlightRequest {
    /// Returns whether the request has been answered or its client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.client.is_none()
    }
}

/// State of a closed request that the caller still needs: where to send the answer, and the timer to cancel.
#[derive(Debug)]
pub(super) struct ClosedRequest {
    pub client: mpsc::Sender<ClientMessage>,
    pub final_reply_timer: Option<FinalReplyTimer>,
    pub class: usize,
}

/// Owns the requests in flight. A request is open until it is answered or its client disconnects.
///
/// Invariant: a request is in the table while it is open or has attempts in flight. Its client request id is
/// reserved while it is open; that of a request which may have run, and whose client has left, for a while longer.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, InFlightRequest>,
    /// Number of open requests.
    open: usize,
    /// Client request ids of the open requests, and the retained ones.
    reserved_client_request_ids: HashSet<String>,
    /// Ids that stay reserved although their requests are closed, each with the end of that time.
    retained_client_request_ids: VecDeque<(Instant, String)>,
}

impl RequestTable {
    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Reserves the id that a client gave its request. Returns false if it was reserved already.
    pub fn reserve_client_request_id(&mut self, client_request_id: &str) -> bool {
        let now = Instant::now();
        while self.retained_client_request_ids.front().is_some_and(|(until, _)| *until <= now) {
            self.release_oldest_retained_id();
        }
        self.reserved_client_request_ids.insert(client_request_id.to_owned())
    }

    /// Keeps the id of a closed request reserved for [`ID_RETENTION`], because the request may have run.
    pub fn retain_client_request_id(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let client_request_id = request.client_request_id.clone();
        if self.reserved_client_request_ids.insert(client_request_id.clone()) {
            self.retained_client_request_ids.push_back((Instant::now() + ID_RETENTION, client_request_id));
        }
        if self.retained_client_request_ids.len() > MAX_RETAINED_IDS {
            self.release_oldest_retained_id();
        }
    }

    fn release_oldest_retained_id(&mut self) {
        if let Some((_, oldest)) = self.retained_client_request_ids.pop_front() {
            self.reserved_client_request_ids.remove(&oldest);
        }
    }

    /// Inserts an open request whose client request id is reserved.
    pub fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.requests.insert(id, request);
        self.open += 1;
    }

    /// Returns the request with this id; `None` if it is not in flight.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// Returns the request with this id; `None` if it is not in flight.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the final-reply timers of all open requests.
    pub fn final_reply_timers(&self) -> impl Iterator<Item = &FinalReplyTimer> {
        self.requests.values().filter_map(|request| request.final_reply_timer.as_ref())
    }

    /// Closes a request. Returns `None` if it is not open.
    pub fn close(&mut self, id: RequestId) -> Option<ClosedRequest> {
        let request = self.requests.get_mut(&id)?;
        let client = request.client.take()?;
        let final_reply_timer = request.final_reply_timer.take();
        self.open -= 1;
        self.reserved_client_request_ids.remove(&request.client_request_id);
        Some(ClosedRequest { client, final_reply_timer, class: request.class })
    }

    /// Removes a request that is closed and has no attempts in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &InFlightRequest| request.is_closed() && request.in_flight_attempts == 0;
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }
}

/// Sends a request's answer to its client's actor.
pub(super) fn send_answer(client: &mpsc::Sender<ClientMessage>, id: RequestId, answer: Answer) {
    // Fails only if the client has disconnected: the mailbox has room for an answer to each request that a
    // client may have in flight.
    let _ = client.try_send(ClientMessage::Answer(id, answer));
}
