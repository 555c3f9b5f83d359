//! Which connections are admitted: client connection slots, eviction of clients that have not sent a request, and the
//! signal that slots run short.
//!
//! Up to [`MAX_OVERFLOW_CONNECTIONS`] connections beyond the slots are admitted so that their requests can be
//! rejected with a reason; the actors of these reject every request while all slots are taken.

use super::client::AdmittedConnection;
use super::context::ClientContext;
use crate::budget::Reservation;
use crate::config::MAX_OVERFLOW_CONNECTIONS;
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// Connections in startup may take one slot in this many, so that silent clients don't displace those that send requests.
const UNAUTHENTICATED_DIVISOR: usize = 2;
/// Age from which a connection in startup, or without a request, may be evicted when all slots are taken.
const EVICTION_AGE: Duration = Duration::from_millis(200);
/// Percentage of slots taken from which idle clients are asked to leave: some send one request and stay connected.
const PRESSURE_PERCENT: usize = 75;
/// Time between two such signals. Each reaches all clients.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(100);

/// The client connection slots.
#[derive(Debug, Default)]
struct ClientSlots(Arc<()>);

impl ClientSlots {
    /// Returns how many connections have a slot.
    fn taken(&self) -> usize {
        // One reference is this value's own.
        Arc::strong_count(&self.0) - 1
    }

    fn take(&self) -> ClientSlot {
        ClientSlot(Arc::clone(&self.0))
    }
}

/// The slot of one connection, freed on drop.
#[derive(Debug)]
pub(super) struct ClientSlot(Arc<()>);

impl ClientSlot {
    /// Returns how many connections have a slot, this one among them.
    pub fn taken(&self) -> usize {
        // One reference is that of the acceptor.
        Arc::strong_count(&self.0) - 1
    }
}

/// Connections that may be evicted, the oldest first.
#[derive(Debug, Default)]
struct EvictionQueue(VecDeque<(Instant, Weak<Notify>)>);

impl EvictionQueue {
    /// Adds a connection and returns what its actor waits for; the connection leaves the queue when the actor drops it.
    fn add(&mut self) -> Arc<Notify> {
        let eviction = Arc::new(Notify::new());
        self.0.push_back((Instant::now(), Arc::downgrade(&eviction)));
        eviction
    }

    fn remove_dropped(&mut self) {
        self.0.retain(|(_, eviction)| eviction.strong_count() > 0);
    }

    fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the oldest connection has had time to send what would keep it.
    fn has_overdue(&self) -> bool {
        self.0.front().is_some_and(|(added_at, _)| added_at.elapsed() >= EVICTION_AGE)
    }

    /// Asks the oldest connection to leave.
    fn evict_oldest(&mut self) {
        if let Some(eviction) = self.0.pop_front().and_then(|(_, eviction)| eviction.upgrade()) {
            eviction.notify_one();
        }
    }
}

/// Admits connections and frees slots for them.
#[derive(Debug)]
pub(super) struct AdmissionControl {
    context: ClientContext,
    slots: ClientSlots,
    /// Connections in startup.
    unauthenticated: EvictionQueue,
    /// Connections that have not sent a request.
    without_request: EvictionQueue,
    pressure: watch::Sender<()>,
    /// What each client's actor gets a clone of. It has seen no signal.
    pressure_signals: watch::Receiver<()>,
    pressure_signalled_at: Instant,
}

impl AdmissionControl {
    /// Returns the admission control of an acceptor.
    pub fn new(context: ClientContext) -> Self {
        let (pressure, pressure_signals) = watch::channel(());
        Self {
            context,
            slots: ClientSlots::default(),
            unauthenticated: EvictionQueue::default(),
            without_request: EvictionQueue::default(),
            pressure,
            pressure_signals,
            pressure_signalled_at: Instant::now(),
        }
    }

    /// Returns whether all slots are taken.
    pub fn is_full(&self) -> bool {
        self.slots.taken() >= self.context.max_clients
    }

    /// Asks the clients that have been idle for long to leave.
    pub fn signal_pressure(&self) {
        self.pressure.send_replace(());
    }

    /// Asks clients to leave if one more connection finds too few free slots.
    pub fn evict_if_short(&mut self) {
        self.unauthenticated.remove_dropped();
        self.without_request.remove_dropped();
        let is_full = self.is_full();
        let max_unauthenticated = self.context.max_clients / UNAUTHENTICATED_DIVISOR;
        if self.unauthenticated.len() >= max_unauthenticated
            || (is_full && self.unauthenticated.has_overdue())
        {
            self.unauthenticated.evict_oldest();
        } else if is_full && self.without_request.has_overdue() {
            self.without_request.evict_oldest();
        }
        let is_short = self.slots.taken() >= self.context.max_clients * PRESSURE_PERCENT / 100;
        if is_short && self.pressure_signalled_at.elapsed() >= PRESSURE_INTERVAL {
            self.pressure_signalled_at = Instant::now();
            self.signal_pressure();
        }
    }

    /// Admits a connection that was accepted; `None` if it has to be closed.
    pub fn admit(&mut self, protocol: Protocol, peer: Option<SocketAddr>) -> Option<AdmittedConnection> {
        let (connection, buffers) = match self.reserve() {
            Ok(reserved) => reserved,
            Err(reason) => {
                self.context.rejections.record(reason, "a connection is closed at the acceptor");
                return None;
            }
        };
        Some(AdmittedConnection {
            slot: self.slots.take(),
            startup_eviction: Some(self.unauthenticated.add()),
            first_request_eviction: Some(self.without_request.add()),
            _connection: connection,
            buffers,
            entry: self.context.connections.enter(protocol, peer),
            reclaims: self.context.reclaims.clone(),
            connection_pressure: self.pressure_signals.clone(),
        })
    }

    /// Reserves the memory of a connection and of its buffers.
    ///
    /// # Errors
    /// When too many connections are open, or the memory budget has none left.
    fn reserve(&self) -> Result<(Reservation, Reservation), RejectionReason> {
        if self.slots.taken() >= self.context.max_clients + MAX_OVERFLOW_CONNECTIONS {
            return Err(RejectionReason::NoConnectionSlot);
        }
        let connection =
            self.context.memory.reserve_connection().map_err(|_| RejectionReason::MemoryExceeded)?;
        let buffers =
            self.context.memory.reserve_client_buffers().map_err(|_| RejectionReason::MemoryExceeded)?;
        Ok((connection, buffers))
    }
}
