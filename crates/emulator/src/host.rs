//! A database host: its cores, its queue, and its slow start.

use crate::spec::Spec;
use crate::Micros;
use std::collections::VecDeque;

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The host serves.
    Up,
    /// The host finishes the requests that it holds and rejects new ones.
    Draining,
    /// The host accepts requests and answers none.
    Hung,
    /// The network has cut the host off: nobody reaches it.
    Isolated,
    /// The host's process is gone.
    Dead,
    /// The host crashed because it was sent too much while it was cold, and stays down.
    Crashed,
}

/// Fate of an answer after its host has written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer arrives.
    Complete,
    /// The answer is lost, and its connection stays open and silent.
    Silence,
    /// The answer is lost, and its connection is reset.
    Reset,
}

/// A simulated host and the tickets of the requests that it holds.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host's state.
    pub state: State,
    /// The time of the host's last restart; none if it has run from the beginning.
    pub started: Option<Micros>,
    /// The share of its requests that fail, from 0 to 1.
    pub error_share: f64,
    /// The share of its answers that are lost on the way, and the way in which they are lost.
    pub answer_loss: Option<(f64, Delivery)>,
    /// The factor by which each request takes longer.
    pub slowdown: f64,
    running: Vec<u64>,
    queued: VecDeque<u64>,
    /// Work that arrived within the slow-start budget window, as arrival times and service times on one core.
    /// Empty while the host is warm.
    recent_work: VecDeque<(Micros, Micros)>,
    cores: usize,
    queue_limit: usize,
}

/// Result of admitting a request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A core processes the request at once.
    Running,
    /// The request is queued.
    Queued,
    /// The queue is full.
    Full,
}

impl Host {
    /// Creates a warm, idle host.
    pub fn new(spec: &Spec) -> Self {
        Self {
            state: State::Up,
            started: None,
            error_share: 0.0,
            answer_loss: None,
            slowdown: 1.0,
            running: Vec::new(),
            queued: VecDeque::new(),
            recent_work: VecDeque::new(),
            cores: spec.cores,
            queue_limit: spec.queue_limit,
        }
    }

    /// Returns the host's present capacity as a fraction of its full capacity.
    pub fn warmth(&self, spec: &Spec, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let progress = (now - started) as f64 / spec.slow_start_window as f64;
        (spec.slow_start_initial_fraction + (1.0 - spec.slow_start_initial_fraction) * progress)
            .clamp(spec.slow_start_initial_fraction, 1.0)
    }

    /// Returns the time that work takes on one of the host's cores with its present capacity.
    pub fn service_time(&self, work: Micros, spec: &Spec, now: Micros) -> Micros {
        (work as f64 * self.slowdown / self.warmth(spec, now)) as Micros
    }

    /// Restarts the host: cold and without requests.
    pub fn restart(&mut self, now: Micros) {
        self.state = State::Up;
        self.started = Some(now);
        (self.error_share, self.slowdown) = (0.0, 1.0);
        self.recent_work.clear();
        self.drop_all();
    }

    /// Drops all requests that the host holds and returns their tickets.
    pub fn drop_all(&mut self) -> Vec<u64> {
        self.running.drain(..).chain(self.queued.drain(..)).collect()
    }

    /// Records arrived work, rejected or not, and returns whether a cold host crashes under it.
    pub fn crashes_under(&mut self, work: Micros, spec: &Spec, now: Micros) -> bool {
        let warmth = self.warmth(spec, now);
        if warmth >= 1.0 {
            self.recent_work.clear();
            return false;
        }
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| now - at > spec.slow_start_budget_window) {
            self.recent_work.pop_front();
        }
        let recent_work: Micros = self.recent_work.iter().map(|(_, work)| work).sum();
        // As in the simulator's rule, 10 % are added for random excess, up to the operators' bound.
        let allowance = spec.cold_allowance(warmth);
        recent_work as f64 > (allowance * 1.1).min(Spec::cold_bound(allowance)) * spec.mean_work()
    }

    /// Admits a request to a core or to the queue, if there is room.
    pub fn admit(&mut self, request: u64) -> Admission {
        if self.running.len() < self.cores {
            self.running.push(request);
            return Admission::Running;
        }
        if self.queued.len() < self.queue_limit {
            self.queued.push_back(request);
            return Admission::Queued;
        }
        Admission::Full
    }

    /// Ends a running request and returns the queued request that starts on its core.
    pub fn finish(&mut self, request: u64) -> Option<u64> {
        self.running.retain(|other| *other != request);
        let next = self.queued.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Drops a queued request and returns whether it was queued; a running request goes on.
    pub fn drop_queued(&mut self, request: u64) -> bool {
        let before = self.queued.len();
        self.queued.retain(|other| *other != request);
        self.queued.len() < before
    }

    /// Returns the share of the cores that are busy.
    pub fn utilization(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }
}
