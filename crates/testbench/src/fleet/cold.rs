//! Load of cold hosts from all proxies together, relative to the limit on the load of one cold host.

use std::collections::VecDeque;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::Micros;

/// The highest load of one cold host in any window of [`Spec::slow_start_budget_window`], as fractions of the
/// limits at the end of the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdPeak {
    /// Load if each attempt counts as one request of mean work, as a fraction of the bound.
    pub attempts: f64,
    /// Load if the work of each attempt is drawn from an exponential distribution, as a fraction of the
    /// bound.
    pub work: f64,
    /// Attempts as a fraction of N, the allowance without the margin for chance that the bound adds.
    pub allowance: f64,
}

/// An attempt at a cold host.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Micros,
    /// Work as a fraction of the mean.
    work: f64,
    /// Whether its proxy knew the host's start time.
    informed: bool,
}

/// Attempts at one cold host within the last [`Spec::slow_start_budget_window`].
#[derive(Clone, Debug, Default)]
pub(super) struct ColdLoad {
    recent: VecDeque<Attempt>,
    /// The highest load so far.
    pub peak: ColdPeak,
}

impl ColdLoad {
    /// Counts an attempt at a host that started at `started`. `work` is a fraction of the mean, and
    /// `informed` tells whether the proxy knew the start time. Returns whether the host was still cold.
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
        // Proxies that do not know of a start cannot limit their load, so such a window does not count.
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

    /// Returns whether over two thirds of the recent attempts came from proxies that knew the start time.
    pub fn mostly_informed(&self) -> bool {
        let informed = self.recent.iter().filter(|attempt| attempt.informed).count();
        3 * informed > 2 * self.recent.len()
    }
}
