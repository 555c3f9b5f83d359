//! Metrics of the simulated fleet, summed over its proxies.

use super::cold::ColdPeak;
use std::collections::BTreeMap;
use wheelpier_emulator::checker::Rule;
use wheelpier_emulator::Micros;

/// Outcomes of the requests of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassOutcomes {
    /// Requests sent to a running proxy.
    pub asked: u64,
    /// Requests served within their latency objective.
    pub in_time: u64,
    /// Requests served, in time or late.
    pub served: u64,
    /// Requests that were rejected or failed.
    pub rejected: u64,
    /// Requests that were rejected or failed without an attempt.
    pub untried: u64,
}

/// Metrics of the fleet, summed over its proxies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetMetrics {
    /// Outcomes by request class.
    pub classes: BTreeMap<usize, ClassOutcomes>,
    /// Number of attempts by host and by second from the start.
    pub attempts_by_second: BTreeMap<(usize, Micros), u64>,
    /// Number of health checks.
    pub health_checks: u64,
    /// Number of connections opened.
    pub connects: u64,
    /// Number of attempts that started while another attempt of the same request was in flight.
    pub overlapping_attempts: u64,
    /// Number of attempts that their hosts rejected because they are not the primary or lag behind.
    pub misdirected: u64,
    /// Number of cold hosts that crashed while over two thirds of the load came from proxies that knew of
    /// their start.
    pub cold_crashes: u64,
    /// Number of cold hosts that crashed while a third or more of the load came from proxies that did not
    /// know of their start.
    pub unannounced_cold_crashes: u64,
    /// Highest load of each host that was cold.
    pub cold: BTreeMap<usize, ColdPeak>,
    /// Number of checks and of breaches of each rule, over all proxies.
    pub rules: BTreeMap<Rule, (u64, usize)>,
    /// Descriptions of up to two breaches of each proxy.
    pub breaches: Vec<String>,
}

impl FleetMetrics {
    /// Returns the number of attempts at all hosts.
    pub fn attempts(&self) -> u64 {
        self.attempts_by_second.values().sum()
    }

    /// Returns the number of attempts at one host.
    pub fn attempts_at(&self, host: usize) -> u64 {
        self.attempts_by_second.range((host, Micros::MIN)..=(host, Micros::MAX)).map(|(_, sent)| sent).sum()
    }

    /// Returns the number of requests of all classes.
    pub fn asked(&self) -> u64 {
        self.classes.values().map(|outcomes| outcomes.asked).sum()
    }

    /// Returns the share of all requests that were served within their latency objectives.
    pub fn share_in_time(&self) -> f64 {
        let in_time: u64 = self.classes.values().map(|outcomes| outcomes.in_time).sum();
        in_time as f64 / self.asked().max(1) as f64
    }
}
