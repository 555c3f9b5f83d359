//! Schedules of host faults.

use crate::world::HostFault;
use crate::{Micros, SECOND};

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The time, counted from the start of the script.
    pub at: Micros,
    /// The fault.
    pub fault: HostFault,
}

/// A sequence of faults, ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    steps: Vec<Step>,
}

impl Script {
    /// Returns a script without faults.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Adds a fault, at a time in seconds after the start of the script.
    pub fn then(mut self, seconds: f64, fault: HostFault) -> Self {
        let at = (seconds * SECOND as f64) as Micros;
        let index = self.steps.partition_point(|step| step.at <= at);
        self.steps.insert(index, Step { at, fault });
        self
    }

    /// Returns the script of the parity test, for a run of the given length: a period without faults, the
    /// death and cold return of a primary, a drain, and lag. Hosts are numbered group by group, and the first
    /// host of each group is its first primary.
    pub fn parity(seconds: f64, members: usize) -> Self {
        let at = |share: f64| seconds * share;
        let span = |share: f64| (seconds * share * SECOND as f64) as Micros;
        let second_group = members;
        Self::empty()
            .then(at(0.2), HostFault::Death { host: 0, span: span(0.2) })
            .then(at(0.45), HostFault::Drain { host: second_group + 1, span: span(0.2) })
            .then(at(0.7), HostFault::Lag { host: second_group + 2, times: 12.0, span: span(0.15) })
            .then(at(0.7), HostFault::Lag { host: 2, times: 12.0, span: span(0.15) })
    }

    /// Removes and returns the next fault if it is due when `elapsed` has passed since the start of the
    /// script.
    pub fn due(&mut self, elapsed: Micros) -> Option<HostFault> {
        (self.steps.first()?.at <= elapsed).then(|| self.steps.remove(0).fault)
    }

    /// Returns the time of the next fault, counted from the start of the script.
    pub fn next(&self) -> Option<Micros> {
        self.steps.first().map(|step| step.at)
    }
}
