//! Scenarios for the simulated fleet: hosts, load and incidents.

use wheelpier_decisions::Settings;
use wheelpier_emulator::schedule::{plan, Planned};
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::world::HostFault;
use wheelpier_emulator::Micros;

/// A fault of the hosts or of the fleet itself.
#[derive(Clone, Debug)]
pub enum Incident {
    /// A fault of the emulated hosts.
    World(HostFault),
    /// Kills the proxy with this index. It starts again without any state after the given time in
    /// microseconds.
    Restart(usize, Micros),
}

/// A scenario for the simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The emulated deployment.
    pub spec: Spec,
    /// Number of proxies.
    pub routers: usize,
    /// Requests per second from all clients.
    pub rate: f64,
    /// Time during which clients send requests, in microseconds.
    pub duration: Micros,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Adjusts the settings that the spec gives.
    pub adjust_settings: fn(&mut Settings),
    /// Incidents and their times, in microseconds from the start.
    pub incidents: Vec<(Micros, Incident)>,
    /// Number of times that a client retries a request that was not served.
    pub max_client_retries: u32,
    /// Additional load on top of [`Self::rate`].
    pub burst: Option<Burst>,
    /// Hosts that start for the first time during the scenario, with their start times in microseconds from
    /// the start.
    pub first_starts: Vec<(usize, Micros)>,
}

/// A temporary increase of the load.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start of the burst, in microseconds from the start of the scenario.
    pub at: Micros,
    /// Length of the burst, in microseconds.
    pub duration: Micros,
    /// Load during the burst, as a multiple of [`Scenario::rate`].
    pub multiplier: f64,
}

impl Scenario {
    /// Returns all requests of the scenario, including those of the burst.
    pub(super) fn requests(&self) -> Vec<Planned> {
        let mut all = plan(&self.spec, self.seed, self.rate, self.duration);
        let Some(burst) = self.burst else { return all };
        let rate = self.rate * (burst.multiplier - 1.0).max(0.0);
        let more = plan(&self.spec, self.seed ^ 0xb1257, rate, burst.duration);
        all.extend(more.into_iter().map(|planned| Planned { at: planned.at + burst.at, ..planned }));
        all
    }
}
