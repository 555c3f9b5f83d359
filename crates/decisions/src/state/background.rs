//! A scheduler for background jobs, which run in small steps so that they do not delay requests.
//!
//! A job is passed the time that its step may take and returns whether it is finished. Each run has a time
//! budget that the priorities share by weight (deficit round robin, Shreedhar, Varghese 1995), so that the
//! least urgent jobs make progress too. The caller supplies the clock.

use crate::interface::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Priority of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Evictions while memory is short.
    Urgent,
    /// Trimming of tables and removal of hosts.
    Normal,
    /// Reports and flushing of logs.
    Idle,
}

/// Number of priorities.
const PRIORITIES: usize = 3;
/// Weight of each priority in the division of a run's budget between priorities that have jobs.
const WEIGHTS: [i64; PRIORITIES] = [8, 3, 1];
/// Maximum number of runs over which a priority accumulates unused time.
const MAX_SAVED_RUNS: i64 = 4;

/// Status of a job after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// The job is finished.
    Done,
    /// The job needs further steps.
    Unfinished,
}

/// A job on a state `C`. Each call executes one step of about the given time.
pub type Job<C> = Box<dyn FnMut(&mut C, TimeDelta) -> JobStatus + Send>;

/// The jobs of one priority.
struct Queue<C> {
    jobs: VecDeque<Job<C>>,
    /// Time that the jobs may use, in microseconds; negative after a step that took too long.
    credit: i64,
}

impl<C> Queue<C> {
    fn new() -> Self {
        Self { jobs: VecDeque::new(), credit: 0 }
    }

    fn add_credit(&mut self, share: i64) {
        if self.jobs.is_empty() {
            self.credit = 0;
            return;
        }
        self.credit = (self.credit + share).min(MAX_SAVED_RUNS * share.max(1));
    }
}

/// Scheduler of jobs on a state `C`.
pub struct BackgroundScheduler<C> {
    queues: [Queue<C>; PRIORITIES],
    max_jobs: usize,
}

/// Summary of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of steps executed.
    pub steps: u32,
    /// Time used.
    pub used: TimeDelta,
    /// Number of unfinished jobs.
    pub remaining_jobs: usize,
}

impl<C> BackgroundScheduler<C> {
    /// Returns a scheduler that holds up to `max_jobs` jobs.
    pub fn new(max_jobs: usize) -> Self {
        Self { queues: [Queue::new(), Queue::new(), Queue::new()], max_jobs }
    }

    /// Adds a job.
    ///
    /// # Errors
    /// Returns the job if the scheduler holds `max_jobs` already.
    pub fn add(&mut self, priority: Priority, job: Job<C>) -> Result<(), Job<C>> {
        if self.len() >= self.max_jobs {
            return Err(job);
        }
        self.queues[priority as usize].jobs.push_back(job);
        Ok(())
    }

    /// Returns the number of unfinished jobs.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.jobs.len()).sum()
    }

    /// Returns whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Runs jobs for about `budget`, the most urgent first. Each priority with jobs accumulates its share of
    /// every run until it can execute a step.
    pub fn run(
        &mut self,
        state: &mut C,
        budget: TimeDelta,
        mut clock: impl FnMut() -> Timestamp,
    ) -> RunSummary {
        let start = clock();
        self.distribute(budget);
        let mut steps = 0;
        for queue in &mut self.queues {
            while queue.credit > 0 {
                let Some(mut job) = queue.jobs.pop_front() else { break };
                let step_start = clock();
                let status = job(state, TimeDelta(queue.credit));
                queue.credit -= (clock() - step_start).0.max(1);
                steps += 1;
                if status == JobStatus::Unfinished {
                    queue.jobs.push_back(job);
                }
                if clock() - start >= budget {
                    break;
                }
            }
        }
        RunSummary { steps, used: clock() - start, remaining_jobs: self.len() }
    }

    /// Gives each priority with jobs its share of a run's budget.
    fn distribute(&mut self, budget: TimeDelta) {
        let weighted = self.queues.iter().zip(WEIGHTS).filter(|(queue, _)| !queue.jobs.is_empty());
        let total_weight: i64 = weighted.map(|(_, weight)| weight).sum();
        for (queue, weight) in self.queues.iter_mut().zip(WEIGHTS) {
            queue.add_credit(budget.0 * weight / total_weight.max(1));
        }
    }
}
