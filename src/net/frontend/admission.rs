//! Admission of connections: client connection slots, eviction of clients that have not sent a request, and
//! the signal of connection pressure.
//!
//! Up to [`MAX_OVERFLOW_CONNECTIONS`] connections beyond the slots are admitted, so that their requests can
//! be rejected with a reason: their actors reject every request while all slots are taken.

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

/// Connections in startup may take at most the number of slots divided by this, so that silent clients don't
/// displace those that send requests.
const STARTUP_SLOTS_DIVISOR: usize = 2;
/// Minimum age at which a connection in startup or without a request may be evicted when all slots are taken.
const EVICTION_AGE: Duration = Duration::from_millis(200);
/// From this percentage of taken slots on, idle connections are closed: some clients send one request and
/// stay connected.
const PRESSURE_PERCENT: usize = 75;
/// Minimum time between two signals of connection pressure, since each one wakes all client actors.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(100);

/// The client connection slots.
#[derive(Debug, Default)]
struct ClientSlots(Arc<()>);

impl ClientSlots {
    /// Returns the number of connections that have a slot.
    fn taken(&self) -> usize {
        // One reference is held by `self`.
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
    /// Returns the number of connections that have a slot, including this one.
    pub fn taken(&self) -> usize {
        // One reference is held by the acceptor's `ClientSlots`.
        Arc::strong_count(&self.0) - 1
    }
}

/// Connections that may be evicted, the oldest first.
#[derive(Debug, Default)]
struct EvictionQueue(VecDeque<(Instant, Weak<Notify>)>);

impl EvictionQueue {
    /// Adds a connection. Returns the signal by which its actor is notified of the eviction; the connection
    /// leaves the queue once the actor drops the signal.
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

    /// Returns whether the oldest connection has reached [`EVICTION_AGE`]: its client has had time to
    /// complete the startup or to send a request, after which it would be kept.
    fn has_overdue(&self) -> bool {
        self.0.front().is_some_and(|(added_at, _)| added_at.elapsed() >= EVICTION_AGE)
    }

    /// Removes the oldest connection and notifies its actor, which closes it.
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
    in_startup: EvictionQueue,
    /// Connections that have not sent a request.
    without_request: EvictionQueue,
    pressure: watch::Sender<()>,
    /// The receiver that each client actor gets a clone of.
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
            in_startup: EvictionQueue::default(),
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

    /// Signals connection pressure: client actors close connections that have been idle for long.
    pub fn signal_pressure(&self) {
        self.pressure.send_replace(());
    }

    /// Makes room for one more connection if few slots are free: evicts at most one connection that has not
    /// sent a request, and signals connection pressure.
    pub fn evict_if_few_slots_free(&mut self) {
        self.in_startup.remove_dropped();
        self.without_request.remove_dropped();
        let is_full = self.is_full();
        let max_in_startup = self.context.max_clients / STARTUP_SLOTS_DIVISOR;
        if self.in_startup.len() >= max_in_startup || (is_full && self.in_startup.has_overdue()) {
            self.in_startup.evict_oldest();
        } else if is_full && self.without_request.has_overdue() {
            self.without_request.evict_oldest();
        }
        let is_short = self.slots.taken() >= self.context.max_clients * PRESSURE_PERCENT / 100;
        if is_short && self.pressure_signalled_at.elapsed() >= PRESSURE_INTERVAL {
            self.pressure_signalled_at = Instant::now();
            self.signal_pressure();
        }
    }

    /// Admits an accepted connection; `None` if it has to be closed.
    pub fn admit(&mut self, protocol: Protocol, peer: Option<SocketAddr>) -> Option<AdmittedConnection> {
        let (connection, buffers) = match self.reserve() {
            Ok(reserved) => reserved,
            Err(reason) => {
                self.context.rejections.record(reason, "a new connection was closed without a reply");
                return None;
            }
        };
        Some(AdmittedConnection {
            slot: self.slots.take(),
            startup_eviction: Some(self.in_startup.add()),
            first_request_eviction: Some(self.without_request.add()),
            _connection: connection,
            buffers,
            entry: self.context.connections.register(protocol, peer),
            reclaims: self.context.reclaims.clone(),
            connection_pressure: self.pressure_signals.clone(),
        })
    }

    /// Reserves the memory of a connection and of its buffers.
    ///
    /// # Errors
    /// Returns an error if too many connections are open, or the memory budget has too little left.
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
