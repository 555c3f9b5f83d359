//! Cancellation of requests from another connection (PostgreSQL protocol 3, CancelRequest): the connection of each key.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

pub(super) use crate::pgwire::CancelKey;

/// Attempts to draw a secret that is not in use.
const MAX_SECRET_DRAWS: usize = 8;

/// What notifies each connection, by the secret of its key.
type Connections = HashMap<u32, Arc<Notify>>;

/// The keys of all open sessions, one for each connection at most. Copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cancellations(Arc<Mutex<Connections>>);

impl Cancellations {
    /// Returns the key of a new session. `None` if the system has no random numbers: the session then cannot be cancelled.
    pub(super) fn register(&self) -> Option<Registration> {
        let mut connections = self.connections();
        for _ in 0..MAX_SECRET_DRAWS {
            let secret = getrandom::u32().ok()?;
            if let std::collections::hash_map::Entry::Vacant(vacant) = connections.entry(secret) {
                let cancelled = Arc::clone(vacant.insert(Arc::default()));
                let key = CancelKey { process: std::process::id(), secret };
                return Some(Registration { key, cancelled, cancellations: self.clone() });
            }
        }
        None
    }

    /// Cancels the request that runs on the connection of this key. Nothing says whether there is one.
    pub(super) fn cancel(&self, key: CancelKey) {
        let connections = self.connections();
        if let Some(cancelled) = connections.get(&key.secret).filter(|_| key.process == std::process::id()) {
            cancelled.notify_one();
        }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The registration of a session's key, removed on drop.
#[derive(Debug)]
pub(super) struct Registration {
    /// The key that the client is sent.
    pub key: CancelKey,
    /// Notified when the running request is cancelled.
    cancelled: Arc<Notify>,
    cancellations: Cancellations,
}

/// Returns once the request that runs on the connection is cancelled; never without a registration.
pub(super) async fn cancelled(registration: Option<&Registration>) {
    match registration {
        Some(registration) => registration.cancelled.notified().await,
        None => std::future::pending().await,
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.cancellations.connections().remove(&self.key.secret);
    }
}
