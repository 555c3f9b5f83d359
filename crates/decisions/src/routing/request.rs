//! Pending requests and their attempts.

use crate::interface::{HostId, LogPosition, RequestId, SessionId, Timestamp};
use std::collections::BTreeMap;

/// Salt of the random number that is shared by all hosts.
pub(super) const SHARED_SALT: u64 = 0;
/// Host id that stands for no particular host.
pub(super) const ANY_HOST: HostId = HostId(0);

/// The first attempt that a host may have executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleExecution {
    pub sent_at: Timestamp,
    pub zone: u32,
}

/// A request without a final reply.
#[derive(Debug, Default)]
pub(super) struct PendingRequest {
    pub class: usize,
    pub group: u32,
    /// The position that a read must see; `i64::MIN` if it requires none.
    pub minimum_position: LogPosition,
    pub arrived_at: Timestamp,
    pub deadline: Timestamp,
    /// Priority weight of the class, reduced if the tenant exceeds its quota.
    pub priority_weight: f64,
    pub session: Option<SessionId>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Seed of the request's random numbers, drawn on arrival.
    pub random_seed: u64,
    pub in_flight_attempts: u32,
    /// When a health check of a replica was started for this read.
    pub health_check_started_at: Option<Timestamp>,
    /// Whether a host has received the request, executed or not.
    pub reached_a_host: bool,
    pub possible_execution: Option<PossibleExecution>,
    /// Hosts that rejected the request as misdirected, or whose response was stale.
    pub rejected_as_behind: Vec<HostId>,
    /// Hosts that responded with an error.
    pub failed_at: Vec<HostId>,
    /// Whether no further attempt is allowed.
    pub retries_exhausted: bool,
}

impl PendingRequest {
    /// Returns whether no attempt is in flight, so that the request waits for a host.
    pub fn is_waiting(&self) -> bool {
        self.in_flight_attempts == 0
    }

    /// Returns a pseudo-random number from 0 to 1 that depends only on the request, the host and the salt.
    pub fn hash_fraction(&self, host: HostId, salt: u64) -> f64 {
        let seed = self.random_seed ^ u64::from(host.0).wrapping_mul(0xD134_2543_DE82_EF95) ^ salt;
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let bits = (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 40;
        bits as f64 / (1u64 << 24) as f64
    }
}

/// The session and group of a write whose position is tracked.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrackedWrite {
    pub session: SessionId,
    pub group: u32,
}

/// One attempt to have a request served by a host.
#[derive(Debug)]
pub(super) struct Attempt {
    pub host: HostId,
    pub class: usize,
    pub sent_at: Timestamp,
    /// Whether the response has started to reach the client.
    pub response_started: bool,
    pub tracked_write: Option<TrackedWrite>,
    /// Whether the request is a fresh read that was forwarded only because the host is the primary.
    pub relies_on_role: bool,
}

/// The pending requests, and the attempts in flight. An attempt may outlive its request.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
}

impl PendingRequests {
    /// Returns whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the ids of the requests, ascending.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.keys().copied()
    }

    /// Returns a request, if it is pending.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to a request, if it is pending.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns mutable references to all requests.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingRequest> + '_ {
        self.requests.values_mut()
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    /// Removes a request but not its attempts. Returns whether it was pending.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.requests.remove(&id).is_some()
    }

    /// Returns the requests that wait for a host.
    pub fn waiting(&self) -> impl Iterator<Item = (RequestId, &PendingRequest)> + '_ {
        self.requests.iter().filter(|(_, request)| request.is_waiting()).map(|(id, request)| (*id, request))
    }

    /// Returns all attempts in flight.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> + '_ {
        self.attempts.values()
    }

    /// Returns mutable references to the attempts in flight that rely on their host's role, with request id
    /// and attempt number.
    pub fn relying_on_role(&mut self) -> impl Iterator<Item = (RequestId, u32, &mut Attempt)> + '_ {
        let relying = self.attempts.iter_mut().filter(|(_, attempt)| attempt.relies_on_role);
        relying.map(|((id, number), attempt)| (*id, *number, attempt))
    }

    /// Returns a mutable reference to an attempt, if it is in flight.
    pub fn attempt_mut(&mut self, id: RequestId, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(&(id, number))
    }

    /// Adds an attempt in flight.
    pub fn insert_attempt(&mut self, id: RequestId, number: u32, attempt: Attempt) {
        self.attempts.insert((id, number), attempt);
    }

    /// Removes an attempt that has ended, and returns it.
    pub fn remove_attempt(&mut self, id: RequestId, number: u32) -> Option<Attempt> {
        self.attempts.remove(&(id, number))
    }

    /// Returns the attempts of a request that are in flight, by number.
    pub fn attempts_of(&self, id: RequestId) -> impl Iterator<Item = (u32, &Attempt)> + '_ {
        let range = (id, 0)..=(id, u32::MAX);
        self.attempts.range(range).map(|((_, number), attempt)| (*number, attempt))
    }
}
