//! Failed system calls, by whose fault they are.
//!
//! This machine may lack a port, a descriptor or a buffer for the moment: such a call is retried here a little later,
//! and is held against no host and no client. Everything else is a fault of the network path or of the other side.

use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// How long a process that starts waits for resources that this machine lacks.
pub(crate) const PROCESS_STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff before the first retry; each further one doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// The longest backoff between two retries.
const MAX_BACKOFF: Duration = Duration::from_millis(40);

/// Returns whether a call failed for want of something on this machine, or was interrupted (socket(2), connect(2),
/// accept4(2)).
pub(crate) fn is_local_fault(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, OutOfMemory};
    let kinds = [AddrNotAvailable, Interrupted, OutOfMemory];
    kinds.contains(&error.kind()) || is_exhausted(error)
}

/// Returns whether this machine or process has run out of descriptors, buffers or memory: something has to be released
/// before a retry can succeed.
pub(crate) fn is_exhausted(error: &io::Error) -> bool {
    let numbers = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|number| numbers.contains(&number))
}

/// Makes a call until it succeeds, fails for another reason than a local fault, or `until` is too close for another
/// retry. Returns the last result; none if the call itself was still running at `until`.
pub(crate) async fn retry_local_faults<T, F: Future<Output = io::Result<T>>>(
    until: Instant,
    mut call: impl FnMut() -> F,
) -> Option<io::Result<T>> {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match timeout_at(until, call()).await.ok()? {
            Err(error) if is_local_fault(&error) && Instant::now() + backoff < until => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
            result => return Some(result),
        }
    }
}

#[cfg(test)]
mod tests;
