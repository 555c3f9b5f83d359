//! Measurements that explain a missed deadline: how long the process under test was ready to run but had no
//! processor, and how late the timers of the measuring thread fired. They are printed with a failure and
//! never change its verdict.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// The scheduler statistics of a thread since its start, from `schedstat`. Time in which the thread is
/// blocked or stopped counts towards neither field. The system adds a wait for a processor as a whole when
/// the wait ends, so that the difference of two samples can exceed the time between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// Time spent running on a processor.
    pub running: Duration,
    /// Time spent in a run queue: ready to run, without a processor.
    pub queued: Duration,
}

impl ProcessorTime {
    /// Returns the statistics of a process's main thread, or `None` once the process has been reaped.
    fn of_process(id: u32) -> Option<Self> {
        Self::read(&format!("/proc/{id}/schedstat"))
    }

    /// Returns the statistics of the calling thread, or `None` if the system has none.
    pub fn of_this_thread() -> Option<Self> {
        Self::read("/proc/thread-self/schedstat")
    }

    fn read(path: &str) -> Option<Self> {
        Self::parse(&std::fs::read_to_string(path).ok()?)
    }

    /// Parses the first two fields of a `schedstat` file, both in nanoseconds.
    fn parse(schedstat: &str) -> Option<Self> {
        let mut fields =
            schedstat.split_ascii_whitespace().map(|field| field.parse().map(Duration::from_nanos));
        Some(Self { running: fields.next()?.ok()?, queued: fields.next()?.ok()? })
    }

    fn since(self, start: Self) -> Self {
        Self {
            running: self.running.saturating_sub(start.running),
            queued: self.queued.saturating_sub(start.queued),
        }
    }
}

/// The summed delay with which a thread's timers fired, including that of a timer that is overdue now.
#[derive(Debug, Default)]
pub struct TimerLateness {
    total_late: Cell<Duration>,
    due: Cell<Option<Instant>>,
}

impl TimerLateness {
    /// Delay that is ignored: timers fire up to this much late on an idle machine, too.
    const GRANULARITY: Duration = Duration::from_millis(2);

    /// Records that a timer is set that is due after `delay`.
    pub fn timer_set(&self, delay: Duration) {
        self.due.set(Some(Instant::now() + delay));
    }

    /// Records that the timer has fired.
    pub fn timer_fired(&self) {
        self.total_late.set(self.total());
        self.due.set(None);
    }

    /// Returns the summed delay of all timers so far.
    pub fn total(&self) -> Duration {
        let late = self.due.get().map_or(Duration::ZERO, |due| due.elapsed());
        self.total_late.get() + if late > Self::GRANULARITY { late } else { Duration::ZERO }
    }
}

/// The values at the start of a measured operation (a request, a signal) that its delays are computed from.
#[derive(Clone, Copy, Debug)]
pub struct DelayBaseline {
    at: Instant,
    process: u32,
    process_time: Option<ProcessorTime>,
    thread_time: Option<ProcessorTime>,
    timers_late: Duration,
}

/// The delays since a baseline. `Display` prints a question mark for an unknown figure.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    elapsed: Duration,
    process_time: Option<ProcessorTime>,
    thread_time: Option<ProcessorTime>,
    timers_late: Duration,
}

impl DelayBaseline {
    /// Takes a baseline now, for a running process and the calling thread.
    pub fn now(process: u32, timers: &TimerLateness) -> Self {
        Self {
            at: Instant::now(),
            process,
            process_time: ProcessorTime::of_process(process),
            thread_time: ProcessorTime::of_this_thread(),
            timers_late: timers.total(),
        }
    }

    /// Returns the delays since the baseline. It has to be called by the thread that took the baseline.
    pub fn delays(&self, timers: &TimerLateness) -> Delays {
        let since = |now: Option<ProcessorTime>, start: Option<ProcessorTime>| Some(now?.since(start?));
        Delays {
            elapsed: self.at.elapsed(),
            process_time: since(ProcessorTime::of_process(self.process), self.process_time),
            thread_time: since(ProcessorTime::of_this_thread(), self.thread_time),
            timers_late: timers.total().saturating_sub(self.timers_late),
        }
    }
}

impl fmt::Display for Delays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |time: Option<Duration>| time.map_or("?".to_owned(), |time| time.as_millis().to_string());
        let running = |of: Option<ProcessorTime>| ms(of.map(|of| of.running));
        let queued = |of: Option<ProcessorTime>| ms(of.map(|of| of.queued));
        write!(
            f,
            "in {} ms its process ran {} ms and waited {} ms for a processor, \
             this thread ran {} ms and waited {} ms, its timers were {} ms late",
            self.elapsed.as_millis(),
            running(self.process_time),
            queued(self.process_time),
            running(self.thread_time),
            queued(self.thread_time),
            self.timers_late.as_millis()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against swapping the two fields: time spent running must not count as time spent waiting.
    #[test]
    fn the_second_field_is_the_time_in_the_run_queue() {
        let (running, queued) = (Duration::from_millis(3), Duration::from_millis(790));
        assert_eq!(ProcessorTime::parse("3000000 790000000 12\n"), Some(ProcessorTime { running, queued }));
        for wrong in ["", "5", "5 x 1", "-1 2 3"] {
            assert_eq!(ProcessorTime::parse(wrong), None, "{wrong:?}");
        }
    }

    /// Guards against counting the sleep of a process as a wait for a processor.
    #[test]
    fn a_sleeping_process_does_not_wait_for_a_processor() {
        let mut sleeper = std::process::Command::new("sleep").arg("5").spawn().unwrap();
        std::thread::sleep(Duration::from_millis(100));
        let timers = TimerLateness::default();
        let start = DelayBaseline::now(sleeper.id(), &timers);
        std::thread::sleep(Duration::from_millis(300));
        let delays = start.delays(&timers);
        sleeper.kill().unwrap();
        sleeper.wait().unwrap();
        assert!(delays.elapsed >= Duration::from_millis(300));
        let process_time = delays.process_time.expect("the system counts it");
        assert!(process_time.running + process_time.queued < Duration::from_millis(50), "{delays}");
        assert!(start.delays(&timers).process_time.is_none(), "a process that has ended has no statistics");
    }

    /// Guards against missing delays of this program's own timers, above all of a timer that is still to
    /// fire.
    #[test]
    fn timers_that_fire_late_are_summed() {
        let timers = TimerLateness::default();
        let ms = Duration::from_millis;
        timers.timer_set(ms(10_000));
        timers.timer_fired();
        assert_eq!(timers.total(), Duration::ZERO);
        timers.timer_set(ms(5));
        std::thread::sleep(ms(45));
        let late = timers.total();
        assert!(late >= ms(40), "{late:?}");
        timers.timer_fired();
        timers.timer_set(ms(5));
        std::thread::sleep(ms(15));
        timers.timer_fired();
        assert!(timers.total() >= late + ms(10), "{timers:?}");
    }
}
