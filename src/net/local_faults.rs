//! Local faults: system calls that fail for lack of a resource of this machine, and their retries.
//!
//! This machine may be out of ports, file descriptors or buffers for a moment. Such a call is retried after a
//! backoff and never counts as a failure of a host or a client. Any other error is attributed to the network
//! or to the peer.

use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Time for which a process retries local faults while it starts.
pub(crate) const PROCESS_STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff before the first retry. It doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// The longest backoff between two retries.
const MAX_BACKOFF: Duration = Duration::from_millis(40);

/// Returns whether a call failed for lack of a resource of this machine, or was interrupted by a signal
/// (socket(2), connect(2), accept4(2)).
pub(crate) fn is_local_fault(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, OutOfMemory};
    let kinds = [AddrNotAvailable, Interrupted, OutOfMemory];
    kinds.contains(&error.kind()) || is_exhausted(error)
}

/// Returns whether this machine or process has run out of file descriptors, buffers or memory. Some have to
/// be released before a retry can succeed.
pub(crate) fn is_exhausted(error: &io::Error) -> bool {
    let numbers = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|number| numbers.contains(&number))
}

/// Repeats a call until it succeeds, fails with something else than a local fault, or `deadline` comes before
/// the next retry. Returns the last result; `None` if the call was still running at `deadline`.
pub(crate) async fn retry_local_faults<T, F: Future<Output = io::Result<T>>>(
    deadline: Instant,
    mut call: impl FnMut() -> F,
) -> Option<io::Result<T>> {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match timeout_at(deadline, call()).await.ok()? {
            Err(error) if is_local_fault(&error) && Instant::now() + backoff < deadline => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
            result => return Some(result),
        }
    }
}

#[cfg(test)]
mod tests;
