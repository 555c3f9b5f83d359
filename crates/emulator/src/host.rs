//! One ledger host: its cores, its queue, and how warm it is.

use crate::spec::Spec;
use crate::Micros;
use std::collections::VecDeque;

/// What a host is up to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Serves.
    Up,
    /// Finishes what it has.
    Draining,
    /// Takes requests and answers none.
    Hung,
    /// The network has cut it off: nobody reaches it.
    Isolated,
    /// Its process is gone.
    Dead,
    /// It was pushed over while it was cold, and stays down.
    Fallen,
}

/// What becomes of an answer once its host has written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives.
    Complete,
    /// It is lost, and its connection stays open and silent.
    Silence,
    /// It is lost, and its connection is reset.
    Reset,
}

/// The requests that a host holds, by number.
#[derive(Clone, Debug)]
pub struct Host {
    /// What it is up to.
    pub state: State,
    /// When it last started, if that was lately.
    pub started: Option<Micros>,
    /// Of its requests that share fails.
    pub fails: f64,
    /// Of its answers that share is lost on the way, and how.
    pub loses: Option<(f64, Delivery)>,
    /// Each request takes so many times longer.
    pub slower: f64,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
    /// Work that has come since it started cold: when, and how much on one core.
    sent: VecDeque<(Micros, Micros)>,
    cores: usize,
    queue: usize,
}

/// What happens to a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A core takes it at once.
    Runs,
    /// It waits.
    Waits,
    /// There is no room.
    Full,
}

impl Host {
    /// A warm host that has nothing to do.
    pub fn new(spec: &Spec) -> Self {
        Self {
            state: State::Up,
            started: None,
            fails: 0.0,
            loses: None,
            slower: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
            cores: spec.cores,
            queue: spec.queue,
        }
    }

    /// Its capacity as a share of the full one.
    pub fn warmth(&self, spec: &Spec, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let grown = (now - started) as f64 / spec.slow_start_window as f64;
        (spec.slow_start_initial_fraction + (1.0 - spec.slow_start_initial_fraction) * grown)
            .clamp(spec.slow_start_initial_fraction, 1.0)
    }

    /// How long so much work takes on one of its cores, as warm as it is now.
    pub fn takes(&self, work: Micros, spec: &Spec, now: Micros) -> Micros {
        (work as f64 * self.slower / self.warmth(spec, now)) as Micros
    }

    /// Starts again, cold, with nothing in hand.
    pub fn restart(&mut self, now: Micros) {
        self.state = State::Up;
        self.started = Some(now);
        (self.fails, self.slower) = (0.0, 1.0);
        self.sent.clear();
        self.drop_all();
    }

    /// Gives up all that it holds: the requests' numbers.
    pub fn drop_all(&mut self) -> Vec<u64> {
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Counts work that has come, rejected or not; whether it has pushed the host over.
    pub fn pushed_over(&mut self, work: Micros, spec: &Spec, now: Micros) -> bool {
        let warmth = self.warmth(spec, now);
        if warmth >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| now - at > spec.slow_start_budget_window) {
            self.sent.pop_front();
        }
        let sent: Micros = self.sent.iter().map(|(_, work)| work).sum();
        // A tenth for chance, as the simulator's rule has it, and no more than the operators' bound.
        let allowance = spec.cold_allowance(warmth);
        sent as f64 > (allowance * 1.1).min(Spec::cold_bound(allowance)) * spec.mean_work()
    }

    /// Takes a request in.
    pub fn take(&mut self, request: u64) -> Taken {
        if self.running.len() < self.cores {
            self.running.push(request);
            return Taken::Runs;
        }
        if self.waiting.len() < self.queue {
            self.waiting.push_back(request);
            return Taken::Waits;
        }
        Taken::Full
    }

    /// A request has ended; the one that takes its core.
    pub fn end(&mut self, request: u64) -> Option<u64> {
        self.running.retain(|other| *other != request);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Drops a request that waits; one that runs goes on. Whether it waited.
    pub fn drop_waiting(&mut self, request: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|other| *other != request);
        self.waiting.len() < before
    }

    /// How busy its cores are.
    pub fn busy(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }
}
