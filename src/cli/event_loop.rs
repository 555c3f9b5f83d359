//! Monitors the event loop that serves clients: logs when it was busy for a long time without waiting for
//! events, and how much of that time the thread was running or waiting for a processor.

use std::fs;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Length from which a busy period is logged.
const LONG_BUSY_PERIOD: Duration = Duration::from_secs(1);
/// Smallest interval between two readings of the thread's times, which take system calls.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Scheduling times of a thread since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ThreadTimes {
    /// Time on a processor.
    processor: Duration,
    /// Time in the run queue: ready to run while other threads had the processors.
    run_queue: Duration,
}

impl ThreadTimes {
    /// Reads the times of the calling thread (proc(5), `schedstat`); `None` if the system does not provide
    /// them.
    fn of_this_thread() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/thread-self/schedstat").ok()?)
    }

    fn parse(schedstat: &str) -> Option<Self> {
        let mut nanoseconds = schedstat.split_whitespace().map(|field| field.parse().ok());
        let mut next = || Some(Duration::from_nanos(nanoseconds.next()??));
        Some(Self { processor: next()?, run_queue: next()? })
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            processor: self.processor.saturating_sub(earlier.processor),
            run_queue: self.run_queue.saturating_sub(earlier.run_queue),
        }
    }
}

/// A period from a wake-up of the event loop to its next wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BusyPeriod {
    length: Duration,
    /// Times of the thread during the period and up to [`SAMPLE_INTERVAL`] before it; `None` if they are
    /// unknown.
    times: Option<ThreadTimes>,
}

/// Measures the busy periods of one event loop.
#[derive(Debug)]
pub(super) struct EventLoopMonitor {
    state: Mutex<MonitorState>,
}

#[derive(Debug)]
struct MonitorState {
    woken_at: Instant,
    sampled_at: Instant,
    sample: Option<ThreadTimes>,
}

impl EventLoopMonitor {
    /// Returns a monitor for an event loop that starts now, on this thread.
    pub fn new() -> Self {
        let now = Instant::now();
        let state = MonitorState { woken_at: now, sampled_at: now, sample: ThreadTimes::of_this_thread() };
        Self { state: Mutex::new(state) }
    }

    /// Must be called before each wait. Logs the busy period that ends if it was long.
    pub fn before_wait(&self) {
        let busy = self.busy_period(Instant::now(), ThreadTimes::of_this_thread);
        if let Some(BusyPeriod { length, times }) = busy {
            tracing::warn!(
                busy_ms = length.as_millis(),
                processor_ms = times.map(|times| times.processor.as_millis()),
                run_queue_ms = times.map(|times| times.run_queue.as_millis()),
                "event loop was busy for a long time"
            );
        }
        tracing::trace!("event loop waits");
    }

    /// Must be called after each wait.
    pub fn after_wait(&self) {
        tracing::trace!("event loop woken");
        self.record_wake_up(Instant::now(), ThreadTimes::of_this_thread);
    }

    /// Returns the busy period that ends at `now` if it was long. Calls `read_times` only then.
    fn busy_period(
        &self,
        now: Instant,
        read_times: impl FnOnce() -> Option<ThreadTimes>,
    ) -> Option<BusyPeriod> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let length = now.saturating_duration_since(state.woken_at);
        let is_long = length >= LONG_BUSY_PERIOD;
        let times = || Some(read_times()?.since(state.sample?));
        is_long.then(|| BusyPeriod { length, times: times() })
    }

    /// Starts a busy period at `now`. Calls `read_times` if the last reading is [`SAMPLE_INTERVAL`] old.
    fn record_wake_up(&self, now: Instant, read_times: impl FnOnce() -> Option<ThreadTimes>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.woken_at = now;
        if now.saturating_duration_since(state.sampled_at) >= SAMPLE_INTERVAL {
            state.sampled_at = now;
            state.sample = read_times();
        }
    }
}

#[cfg(test)]
mod tests;
