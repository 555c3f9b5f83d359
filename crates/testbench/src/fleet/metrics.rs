//! What a fleet did, summed over its proxies.

use super::cold::ColdPeak;
use std::collections::BTreeMap;
use wheelpier_emulator::checker::Rule;
use wheelpier_emulator::Micros;

/// What became of a class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassOutcomes {
    /// Asked of a proxy that ran.
    pub asked: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served at all.
    pub served: u64,
    /// Refused or failed.
    pub rejected: u64,
    /// Refused or failed without an attempt.
    pub untried: u64,
}

/// What the fleet did, summed over its proxies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetMetrics {
    /// Requests by class.
    pub classes: BTreeMap<usize, ClassOutcomes>,
    /// Attempts by host and second, from the start.
    pub sends: BTreeMap<(usize, Micros), u64>,
    /// Probes.
    pub probes: u64,
    /// Connections opened.
    pub connects: u64,
    /// Attempts of a request that had another out.
    pub copies: u64,
    /// Attempts turned away because the host is not the primary, or behind.
    pub misses: u64,
    /// Cold hosts pushed over, over two thirds of the load from proxies that knew of their start.
    pub fell: u64,
    /// Cold hosts pushed over by a load of which a third or more came from proxies that did not know.
    pub fell_unannounced: u64,
    /// Load of each host that was cold.
    pub cold: BTreeMap<usize, ColdPeak>,
    /// How often each rule was tried and broken, over all proxies.
    pub rules: BTreeMap<Rule, (u64, usize)>,
    /// The first breaches, in words.
    pub breaches: Vec<String>,
}

impl FleetMetrics {
    /// Attempts in all.
    pub fn sent(&self) -> u64 {
        self.sends.values().sum()
    }

    /// Attempts at one host.
    pub fn sent_to(&self, host: usize) -> u64 {
        self.sends.range((host, Micros::MIN)..=(host, Micros::MAX)).map(|(_, sent)| sent).sum()
    }

    /// Requests of all classes.
    pub fn asked(&self) -> u64 {
        self.classes.values().map(|outcomes| outcomes.asked).sum()
    }

    /// Of what was asked, served within its aim.
    pub fn part_in_time(&self) -> f64 {
        let in_time: u64 = self.classes.values().map(|outcomes| outcomes.in_time).sum();
        in_time as f64 / self.asked().max(1) as f64
    }
}
