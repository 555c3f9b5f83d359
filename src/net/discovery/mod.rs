//! The discovery actor: keeps a watch open on discovery's endpoint lists, and opens a new one when the watch
//! ends or falls silent.
//!
//! [`DiscoveryRetry`] decides when calls are made and how many at once.

mod error;
mod watch;

use super::messages::CoreEvent;
use crate::membership::DiscoveryRetry;
use error::DiscoveryError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch as watch_channel};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at, Instant};
use watch::Watch;

/// Time after which a watch that brought neither a complete object nor an empty line counts as silent, even
/// if single bytes arrive. Discovery sends an empty line every 2 s. Its lists must be known within 6 s, which
/// has to leave time for a call that hangs and one more.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which an open watch counts as proof that discovery works, even if it brought no list.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// Time that dropped calls and watches take to close their connections. Waited for before another address is
/// called, so that connections to both addresses never count against the limit of descriptors together.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// The discovery actor.
#[derive(Debug)]
pub(crate) struct Discovery {
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Version of the latest list that was sent to the core actor; `None` before the first.
    pub version: Option<u64>,
    pub retry: DiscoveryRetry,
    /// Mailbox of the core actor.
    pub events: mpsc::Sender<CoreEvent>,
}

/// The end of a watch, or of an attempt to open one.
#[derive(Debug)]
struct Failure {
    error: DiscoveryError,
    /// Whether the watch was open for [`STABLE_AFTER`].
    was_stable: bool,
    /// Time that discovery had been silent for when the failure was noticed.
    silence: Duration,
}

impl Discovery {
    /// Follows the lists at discovery's current address until the core actor ends.
    pub async fn follow(mut self, mut addresses: watch_channel::Receiver<SocketAddr>) {
        let mut wait = self.retry.initial_delay();
        loop {
            let address = *addresses.borrow_and_update();
            tokio::select! {
                next_wait = self.watch_once(address, wait) => match next_wait {
                    Some(next_wait) => wait = next_wait,
                    None => return,
                },
                // A change of the address takes precedence over the watch of the old one, even while that is
                // silent: the time already spent leaves less time to hear from the new address.
                Ok(()) = addresses.changed() => wait = self.retry.delay_after_move().max(CLOSE_DELAY),
            }
        }
    }

    /// Opens a watch after `wait` and reads it until it fails. Returns the delay before the next one; `None`
    /// if the core actor has ended.
    async fn watch_once(&mut self, address: SocketAddr, wait: Duration) -> Option<Duration> {
        let version = self.version;
        sleep(wait).await;
        let failure = self.read_watch(address).await?;
        let made_progress = self.version != version || failure.was_stable;
        let next_wait = self.retry.delay_after_failure(made_progress, failure.silence);
        if self.retry.should_log() {
            tracing::warn!(%address, error = %failure.error, "discovery failed");
        }
        Some(next_wait)
    }

    /// Opens a watch and reads it. Returns its failure; `None` if the core actor has ended.
    async fn read_watch(&mut self, address: SocketAddr) -> Option<Failure> {
        let called_at = Instant::now();
        let watch = match self.open(address).await {
            Ok(watch) => watch,
            Err(error) => return Some(Failure { error, was_stable: false, silence: called_at.elapsed() }),
        };
        let opened_at = Instant::now();
        let result = watch.forward_lists(&self.zones, &mut self.version, &self.events).await;
        let error = result.err()?;
        // A watch that ended was heard until then; one that fell silent brought nothing for the whole
        // timeout.
        let is_silent = matches!(error, DiscoveryError::Silent);
        let silence = if is_silent { SILENCE_TIMEOUT } else { Duration::ZERO };
        Some(Failure { error, was_stable: opened_at.elapsed() >= STABLE_AFTER, silence })
    }

    /// Opens a watch. If a call is not answered in time another is started in parallel, up to a limit; the
    /// first answer is used.
    async fn open(&self, address: SocketAddr) -> Result<Watch, DiscoveryError> {
        let mut calls = JoinSet::new();
        for _ in 0..self.retry.max_concurrent_calls() {
            calls.spawn(Watch::open(address, self.version));
            let give_up_at = Instant::now() + self.retry.call_timeout();
            while let Ok(Some(answered)) = timeout_at(give_up_at, calls.join_next()).await {
                match answered {
                    Ok(Ok(watch)) => return Ok(watch),
                    // A failed call does not imply that the pending ones will fail.
                    Ok(Err(error)) if calls.is_empty() => return Err(error),
                    Ok(Err(_)) => {}
                    Err(error) => tracing::error!(%error, "task of a call to discovery failed"),
                }
            }
        }
        Err(DiscoveryError::Silent)
    }
}
