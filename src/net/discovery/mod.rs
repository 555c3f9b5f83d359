//! The actor that follows discovery's endpoint lists: one watch after another, each until it ends or falls silent.
//!
//! When a call is made, and how many at once, is decided by [`DiscoveryRetry`].

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

/// How long a watch may bring neither a complete object nor an empty line, even if single bytes arrive. Discovery sends an
/// empty line every 2 s. Its lists have to be known within 6 s, so that a call that hangs and one more must fit in.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A watch that was open for this long has shown that discovery works, even if it brought no list.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// How long calls and a watch that are dropped take to close their connections. Waited for before another address is called,
/// so that connections to both addresses never count together.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// The actor.
#[derive(Debug)]
pub(crate) struct Discovery {
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The version of the latest list that the core actor has.
    pub version: Option<u64>,
    pub retry: DiscoveryRetry,
    /// Mailbox of the core actor.
    pub events: mpsc::Sender<CoreEvent>,
}

/// How a watch, or the attempt to open one, ended.
#[derive(Debug)]
struct Failure {
    error: DiscoveryError,
    /// Whether the watch was open for [`STABLE_AFTER`].
    was_stable: bool,
    /// How long discovery had been unheard by then.
    unheard: Duration,
}

impl Discovery {
    /// Follows the lists at whatever address discovery has at the time, until the core actor has ended.
    pub async fn follow(mut self, mut addresses: watch_channel::Receiver<SocketAddr>) {
        let mut wait = self.retry.initial_delay();
        loop {
            let address = *addresses.borrow_and_update();
            tokio::select! {
                next_wait = self.watch_once(address, wait) => match next_wait {
                    Some(next_wait) => wait = next_wait,
                    None => return,
                },
                // A new address goes before whatever happens at the old one, silence included: the new address has less
                // time to be heard.
                Ok(()) = addresses.changed() => wait = self.retry.delay_after_move().max(CLOSE_DELAY),
            }
        }
    }

    /// Opens a watch after `wait` and reads it until it fails. Returns how long to wait before the next one; none if the core
    /// actor has ended.
    async fn watch_once(&mut self, address: SocketAddr, wait: Duration) -> Option<Duration> {
        let version = self.version;
        sleep(wait).await;
        let failure = self.read_watch(address).await?;
        let made_progress = self.version != version || failure.was_stable;
        let next_wait = self.retry.delay_after_failure(made_progress, failure.unheard);
        if self.retry.should_log() {
            tracing::warn!(%address, error = %failure.error, "discovery failed");
        }
        Some(next_wait)
    }

    /// Returns how a watch failed; none if the core actor has ended.
    async fn read_watch(&mut self, address: SocketAddr) -> Option<Failure> {
        let called_at = Instant::now();
        let watch = match self.open(address).await {
            Ok(watch) => watch,
            Err(error) => return Some(Failure { error, was_stable: false, unheard: called_at.elapsed() }),
        };
        let opened_at = Instant::now();
        let read = watch.forward_lists(&self.zones, &mut self.version, &self.events).await;
        let error = read.err()?;
        // All that came before a watch ended has been read; before it fell silent nothing came for the whole timeout.
        let is_silent = matches!(error, DiscoveryError::Silent);
        let unheard = if is_silent { SILENCE_TIMEOUT } else { Duration::ZERO };
        Some(Failure { error, was_stable: opened_at.elapsed() >= STABLE_AFTER, unheard })
    }

    /// Opens a watch. Where a call is not answered in time another is made beside it, up to a limit; the first answer counts.
    async fn open(&self, address: SocketAddr) -> Result<Watch, DiscoveryError> {
        let mut calls = JoinSet::new();
        for _ in 0..self.retry.max_concurrent_calls() {
            calls.spawn(Watch::open(address, self.version));
            let give_up_at = Instant::now() + self.retry.call_timeout();
            while let Ok(Some(answered)) = timeout_at(give_up_at, calls.join_next()).await {
                match answered {
                    Ok(Ok(watch)) => return Ok(watch),
                    // A call that fails says nothing about those that still wait.
                    Ok(Err(error)) if calls.is_empty() => return Err(error),
                    Ok(Err(_)) => {}
                    Err(error) => tracing::error!(%error, "task of a call to discovery failed"),
                }
            }
        }
        Err(DiscoveryError::Silent)
    }
}
