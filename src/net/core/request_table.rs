//! The requests in flight: those without an answer, and those with attempts that have not ended.

use super::timers::FinalReplyTimer;
use crate::budget::Reservation;
use crate::interface::{HostId, ReadRequirement, RequestId};
use crate::net::messages::{Answer, ClientMessage, Statement};
use crate::net::socket::PeerLiveness;
use std::collections::{HashMap, HashSet};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A request without an answer, or with attempts that have not ended.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    /// The client's name for it.
    pub name: String,
    /// What each attempt forwards.
    pub statement: Statement,
    /// Until when it may be worked on.
    pub deadline: Instant,
    /// Where the answer goes; none once it is answered.
    pub client: Option<mpsc::Sender<ClientMessage>>,
    /// Whether the client's connection is still open.
    pub client_liveness: PeerLiveness,
    /// None once it is answered.
    pub final_reply_timer: Option<FinalReplyTimer>,
    /// Whether its reply is due before its own deadline, for the requests behind it on its connection.
    pub is_reply_due_early: bool,
    /// The host of each attempt, by the attempt's index.
    pub attempt_hosts: Vec<HostId>,
    /// What the data behind an answer to the latest attempt has to satisfy.
    pub requirement: ReadRequirement,
    /// How many attempts have not ended.
    pub in_flight_attempts: u32,
    /// Whether its client marks it as a retry.
    pub is_client_retry: bool,
    /// Whether its class writes.
    pub is_write: bool,
    /// Index of its class in the settings at its arrival.
    pub class: usize,
    /// Accounts for its memory until it is removed.
    pub _memory_reservation: Reservation,
}

impl InFlightRequest {
    /// Returns whether it has been answered or its client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.client.is_none()
    }
}

/// What is left to do for a request that has just been closed.
#[derive(Debug)]
pub(super) struct ClosedRequest {
    pub client: mpsc::Sender<ClientMessage>,
    pub final_reply_timer: Option<FinalReplyTimer>,
    pub class: usize,
}

/// Owns the requests in flight.
///
/// Invariant: a request is in the table while it is open or has attempts in flight; its name is reserved while it is open.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, InFlightRequest>,
    /// How many requests have no answer yet.
    open: usize,
    /// The clients' names of the open requests.
    open_names: HashSet<String>,
}

impl RequestTable {
    /// Returns how many requests have no answer yet.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Reserves a name. Returns whether no open request had it.
    pub fn reserve_name(&mut self, name: &str) -> bool {
        self.open_names.insert(name.to_owned())
    }

    /// Releases the name of a request that is not inserted after all.
    pub fn release_name(&mut self, name: &str) {
        self.open_names.remove(name);
    }

    /// Inserts an open request whose name is reserved.
    pub fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.requests.insert(id, request);
        self.open += 1;
    }

    /// Returns the request of this id.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// Returns the request of this id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the timers of all open requests.
    pub fn final_reply_timers(&self) -> impl Iterator<Item = &FinalReplyTimer> {
        self.requests.values().filter_map(|request| request.final_reply_timer.as_ref())
    }

    /// Marks a request as answered; none if it is not open.
    pub fn close(&mut self, id: RequestId) -> Option<ClosedRequest> {
        let request = self.requests.get_mut(&id)?;
        let client = request.client.take()?;
        let final_reply_timer = request.final_reply_timer.take();
        self.open -= 1;
        self.open_names.remove(&request.name);
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
    // Fails only when the client has disconnected: the mailbox holds one answer for each request that it may have in flight.
    let _ = client.try_send(ClientMessage::Answer(id, answer));
}
