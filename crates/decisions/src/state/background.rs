//! Background work: what can wait, done a little at a time, so that it delays no request.
//!
//! Jobs are told how long they may take and say whether they are done. Each turn has a budget; the priorities share it
//! by their weights (deficit round robin, Shreedhar, Varghese 1995), so that the least urgent work goes on too. The clock
//! is the caller's.

use crate::interface::Timestamp;
use std::collections::VecDeque;

/// How urgent a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Room is lacking: evictions.
    Urgent,
    /// Trimming, retiring hosts.
    Normal,
    /// Reports, flushing logs.
    Idle,
}

const PRIORITIES: usize = 3;
/// Parts of a turn for each priority, where all have work.
const WEIGHTS: [i64; PRIORITIES] = [8, 3, 1];
/// Unused time is saved up to so many turns' worth.
const SAVED: i64 = 4;

/// What a job says after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// There is nothing left to do.
    Done,
    /// It goes on at its next turn.
    More,
}

/// A piece of work. It is told how long it may take and does about so much.
pub type Job<C> = Box<dyn FnMut(&mut C, Timestamp) -> Step + Send>;

struct Queue<C> {
    jobs: VecDeque<Job<C>>,
    /// Microseconds that it may use.
    credit: i64,
}

/// Jobs over some state `C`.
pub struct Background<C> {
    queues: [Queue<C>; PRIORITIES],
    most: usize,
}

/// What a turn came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Steps taken.
    pub steps: u32,
    /// Timestamp used.
    pub used: Timestamp,
    /// Jobs that are left.
    pub left: usize,
}

impl<C> Background<C> {
    /// Holds so many jobs at most.
    pub fn new(most: usize) -> Self {
        let queue = || Queue { jobs: VecDeque::new(), credit: 0 };
        Self { queues: [queue(), queue(), queue()], most }
    }

    /// Adds a job.
    ///
    /// # Errors
    /// When there are too many; the job comes back.
    pub fn add(&mut self, priority: Priority, job: Job<C>) -> Result<(), Job<C>> {
        if self.len() >= self.most {
            return Err(job);
        }
        self.queues[priority as usize].jobs.push_back(job);
        Ok(())
    }

    /// Jobs that wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.jobs.len()).sum()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Works for about `budget`; `clock` tells the time. The most urgent work comes first, but each priority that has
    /// work saves up its part of every turn until it can take a step.
    pub fn turn(&mut self, state: &mut C, budget: Timestamp, mut clock: impl FnMut() -> Timestamp) -> Turn {
        let start = clock();
        let mut turn = Turn::default();
        let busy: i64 = self.weights().sum();
        for (queue, weight) in self.queues.iter_mut().zip(WEIGHTS) {
            match queue.jobs.is_empty() {
                true => queue.credit = 0,
                false => {
                    let part = budget.0 * weight / busy.max(1);
                    queue.credit = (queue.credit + part).min(SAVED * part.max(1));
                }
            }
        }
        for queue in &mut self.queues {
            while queue.credit > 0 {
                let Some(mut job) = queue.jobs.pop_front() else { break };
                let before = clock();
                let step = job(state, Timestamp(queue.credit));
                let took = (clock().0 - before.0).max(1);
                queue.credit -= took;
                turn.steps += 1;
                if step == Step::More {
                    queue.jobs.push_back(job);
                }
                if clock().0 - start.0 >= budget.0 {
                    break;
                }
            }
        }
        turn.used = Timestamp(clock().0 - start.0);
        turn.left = self.len();
        turn
    }

    fn weights(&self) -> impl Iterator<Item = i64> + '_ {
        self.queues.iter().zip(WEIGHTS).filter(|(queue, _)| !queue.jobs.is_empty()).map(|(_, weight)| weight)
    }
}
