//! Cancellation of requests from another connection (CancelRequest of PostgreSQL's protocol 3).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

pub(super) use crate::pgwire::CancelKey;

/// Maximum number of random secrets that are drawn to find one that is not in use.
const MAX_SECRET_DRAWS: usize = 8;

/// The cancellation signal of each connection, by the secret of its key.
type Connections = HashMap<u32, Arc<Notify>>;

/// The keys of all open sessions, at most one per connection. Copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cancellations(Arc<Mutex<Connections>>);

impl Cancellations {
    /// Registers a key for a new session. `None` if the system provides no random numbers: requests of the
    /// session then cannot be cancelled.
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

    /// Cancels the running request on the connection with this key, if there is one. The protocol
    /// defines no reply.
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
    /// Notified when a cancel request arrives.
    cancelled: Arc<Notify>,
    cancellations: Cancellations,
}

/// Returns once a cancel request for the session arrives; never without a registration.
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
