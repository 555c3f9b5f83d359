//! Faults and when they come.

use crate::world::HostFault;
use crate::{Micros, SECOND};

/// A fault at its time, counted from the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// What.
    pub fault: HostFault,
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    steps: Vec<Step>,
}

impl Script {
    /// No fault at all.
    pub fn empty() -> Self {
        Self::default()
    }

    /// With one more fault, so many seconds after the start.
    pub fn then(mut self, seconds: f64, fault: HostFault) -> Self {
        let at = (seconds * SECOND as f64) as Micros;
        let place = self.steps.partition_point(|step| step.at <= at);
        self.steps.insert(place, Step { at, fault });
        self
    }

    /// A calm stretch, a primary's death and its cold return, a drain, and lag, over so many seconds. Hosts are
    /// numbered set by set, the first of each being its primary at first.
    pub fn parity(seconds: f64, members: usize) -> Self {
        let part = |share: f64| seconds * share;
        let span = |share: f64| (seconds * share * SECOND as f64) as Micros;
        let other = members;
        Self::empty()
            .then(part(0.2), HostFault::Death { host: 0, span: span(0.2) })
            .then(part(0.45), HostFault::Drain { host: other + 1, span: span(0.2) })
            .then(part(0.7), HostFault::Lag { host: other + 2, times: 12.0, span: span(0.15) })
            .then(part(0.7), HostFault::Lag { host: 2, times: 12.0, span: span(0.15) })
    }

    /// The next fault due by then, counted from the start.
    pub fn due(&mut self, elapsed: Micros) -> Option<HostFault> {
        (self.steps.first()?.at <= elapsed).then(|| self.steps.remove(0).fault)
    }

    /// When the next one comes.
    pub fn next(&self) -> Option<Micros> {
        self.steps.first().map(|step| step.at)
    }
}
