//! Whose trouble a failed system call is: this machine's, which lacks a port, a descriptor or a buffer for the moment, or
//! the path's and the other side's. What is this machine's is tried again here, a little later, and held against nobody.

use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// A process that starts waits so long for what this machine lacks before it gives up.
pub(crate) const START: Duration = Duration::from_secs(2);
/// Before the second try; each further one waits twice as long, up to the second figure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(40));

/// Whether a call failed for want of something on this machine, or was interrupted (socket(2), connect(2), accept4(2)).
pub(crate) fn is_local(problem: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, OutOfMemory};
    let kinds = [AddrNotAvailable, Interrupted, OutOfMemory];
    kinds.contains(&problem.kind()) || is_exhausted(problem)
}

/// Whether it lacks descriptors, buffers or memory: something has to be given back first.
pub(crate) fn is_exhausted(problem: &io::Error) -> bool {
    let numbers = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    problem.raw_os_error().is_some_and(|number| numbers.contains(&number))
}

/// Makes a call until it succeeds, fails for another reason than a lack of this machine, or that moment has come; then with
/// the last failure, or none if the call itself took so long.
pub(crate) async fn retried<T, F: Future<Output = io::Result<T>>>(
    until: Instant,
    mut call: impl FnMut() -> F,
) -> Option<io::Result<T>> {
    let mut pause = BACKOFF.0;
    loop {
        match timeout_at(until, call()).await.ok()? {
            Err(problem) if is_local(&problem) && Instant::now() + pause < until => {
                sleep(pause).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
            done => return Some(done),
        }
    }
}

#[cfg(test)]
mod tests;
