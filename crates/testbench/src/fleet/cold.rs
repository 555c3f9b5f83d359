//! Load of cold hosts, from all proxies together, against the most that one may get.

use std::collections::VecDeque;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::Micros;

/// The highest load of one cold host in any span of [`Spec::fall`], in parts of the bound that holds at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdPeak {
    /// Attempts, each as one request of mean work.
    pub attempts: f64,
    /// Attempts, each with work drawn from an exponential distribution.
    pub work: f64,
    /// Attempts in parts of N, the allowance without the slack for chance.
    pub allowance: f64,
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Micros,
    /// In parts of the mean.
    work: f64,
    /// Whether its proxy knew of the host's start.
    informed: bool,
}

/// Attempts at one cold host in the latest [`Spec::fall`].
#[derive(Clone, Debug, Default)]
pub(super) struct ColdLoad {
    recent: VecDeque<Attempt>,
    /// The highest load so far.
    pub peak: ColdPeak,
}

impl ColdLoad {
    /// Counts an attempt at a host that started at `started`; `work` is in parts of the mean, and `informed` says
    /// whether its proxy knew of the start. Returns whether the host was still cold.
    pub fn add(&mut self, spec: &Spec, started: Micros, now: Micros, work: f64, informed: bool) -> bool {
        if now - started >= spec.slow_start_window {
            return false;
        }
        self.recent.push_back(Attempt { at: now, work, informed });
        self.recent
            .retain(|attempt| now - attempt.at <= spec.slow_start_budget_window && attempt.at >= started);
        let warmth = spec.slow_start_initial_fraction
            + (1.0 - spec.slow_start_initial_fraction) * (now - started) as f64
                / spec.slow_start_window as f64;
        let allowance = spec.cold_allowance(warmth);
        let bound = Spec::cold_bound(allowance);
        // Proxies that do not know of a start cannot hold back: such a span is no breach.
        if !self.mostly_informed() {
            return true;
        }
        let attempts = self.recent.len() as f64;
        let work: f64 = self.recent.iter().map(|attempt| attempt.work).sum();
        self.peak.attempts = self.peak.attempts.max(attempts / bound);
        self.peak.work = self.peak.work.max(work / bound);
        self.peak.allowance = self.peak.allowance.max(attempts / allowance);
        true
    }

    /// Whether over two thirds of the latest attempts came from proxies that knew of the start.
    pub fn mostly_informed(&self) -> bool {
        let informed = self.recent.iter().filter(|attempt| attempt.informed).count();
        3 * informed > 2 * self.recent.len()
    }
}
