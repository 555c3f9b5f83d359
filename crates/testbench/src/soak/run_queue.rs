//! Evidence beside a judgement on time: how long a process that is judged was ready to run and had no processor, and how late
//! the judging thread was itself. It changes no judgement.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// The processor time of a thread since it began, as the system counts it. Time in which it waits for something, or is
/// stopped, is in neither. A wait for a processor is counted as a whole once it ends: one that began earlier may make a
/// figure longer than the time that it is of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// On a processor.
    pub running: Duration,
    /// Ready to run, without a processor.
    pub queued: Duration,
}

impl ProcessorTime {
    /// That of a process's first thread, if it has not been waited for yet.
    fn of_process(id: u32) -> Option<Self> {
        Self::read(&format!("/proc/{id}/schedstat"))
    }

    /// That of this thread, if the system tells.
    pub fn of_this_thread() -> Option<Self> {
        Self::read("/proc/thread-self/schedstat")
    }

    fn read(path: &str) -> Option<Self> {
        Self::parse(&std::fs::read_to_string(path).ok()?)
    }

    /// The first two fields, in nanoseconds.
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

/// How much later than asked for the timers of a thread fired, all together, with the one that is late now.
#[derive(Debug, Default)]
pub struct TimerLateness {
    fired: Cell<Duration>,
    due: Cell<Option<Instant>>,
}

impl TimerLateness {
    /// Timers may fire so much later on an idle machine.
    const GRANULARITY: Duration = Duration::from_millis(2);

    /// Notes that a timer is set that is to fire after this time.
    pub fn timer_set(&self, asked: Duration) {
        self.due.set(Some(Instant::now() + asked));
    }

    /// Notes that the timer has fired.
    pub fn timer_fired(&self) {
        self.fired.set(self.total());
        self.due.set(None);
    }

    /// All that was noted.
    pub fn total(&self) -> Duration {
        let late = self.due.get().map_or(Duration::ZERO, |due| due.elapsed());
        self.fired.get() + if late > Self::GRANULARITY { late } else { Duration::ZERO }
    }
}

/// The start of what is judged: a request that is sent, a signal.
#[derive(Clone, Copy, Debug)]
pub struct DelayBaseline {
    at: Instant,
    process: u32,
    of_process: Option<ProcessorTime>,
    of_this_thread: Option<ProcessorTime>,
    timers_late: Duration,
}

/// Where the time went since a start; of an unknown figure nothing is shown but a question mark.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    took: Duration,
    of_process: Option<ProcessorTime>,
    of_this_thread: Option<ProcessorTime>,
    timers_late: Duration,
}

impl DelayBaseline {
    /// Now, by this thread, of a process that runs.
    pub fn now(process: u32, timers: &TimerLateness) -> Self {
        Self {
            at: Instant::now(),
            process,
            of_process: ProcessorTime::of_process(process),
            of_this_thread: ProcessorTime::of_this_thread(),
            timers_late: timers.total(),
        }
    }

    /// What has come together since, by the same thread.
    pub fn delays(&self, timers: &TimerLateness) -> Delays {
        let since = |now: Option<ProcessorTime>, start: Option<ProcessorTime>| Some(now?.since(start?));
        Delays {
            took: self.at.elapsed(),
            of_process: since(ProcessorTime::of_process(self.process), self.of_process),
            of_this_thread: since(ProcessorTime::of_this_thread(), self.of_this_thread),
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
            self.took.as_millis(),
            running(self.of_process),
            queued(self.of_process),
            running(self.of_this_thread),
            queued(self.of_this_thread),
            self.timers_late.as_millis()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a record that takes running for waiting.
    #[test]
    fn the_second_field_is_the_time_without_a_processor() {
        let (running, queued) = (Duration::from_millis(3), Duration::from_millis(790));
        assert_eq!(ProcessorTime::parse("3000000 790000000 12\n"), Some(ProcessorTime { running, queued }));
        for wrong in ["", "5", "5 x 1", "-1 2 3"] {
            assert_eq!(ProcessorTime::parse(wrong), None, "{wrong:?}");
        }
    }

    /// Guards against a record that blames the machine for a process that sleeps.
    #[test]
    fn a_process_that_sleeps_waits_for_no_processor() {
        let mut sleeps = std::process::Command::new("sleep").arg("5").spawn().unwrap();
        std::thread::sleep(Duration::from_millis(100));
        let timers = TimerLateness::default();
        let start = DelayBaseline::now(sleeps.id(), &timers);
        std::thread::sleep(Duration::from_millis(300));
        let delays = start.delays(&timers);
        sleeps.kill().unwrap();
        sleeps.wait().unwrap();
        assert!(delays.took >= Duration::from_millis(300));
        let of_process = delays.of_process.expect("the system counts it");
        assert!(of_process.running + of_process.queued < Duration::from_millis(50), "{delays}");
        assert!(start.delays(&timers).of_process.is_none(), "nothing is known of one that has ended");
    }

    /// Guards against a record that misses this program's own lateness, above all that of a timer that is still to fire.
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
