//! The day that a fleet plays: its hosts, its load and what happens.

use wheelpier_decisions::Settings;
use wheelpier_emulator::schedule::{plan, Planned};
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::world::HostFault;
use wheelpier_emulator::Micros;

/// What happens to the fleet itself, or to its hosts.
#[derive(Clone, Debug)]
pub enum Incident {
    /// A fault of the world's.
    World(HostFault),
    /// That proxy is killed, and starts again from nothing after the span.
    Restart(usize, Micros),
}

/// A day of a fleet.
#[derive(Clone, Debug)]
pub struct Day {
    /// What the hosts are made of.
    pub spec: Spec,
    /// Proxies.
    pub routers: usize,
    /// Requests a second, from all clients.
    pub rate: f64,
    /// How long clients ask, in microseconds.
    pub span: Micros,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Changes the settings that the spec gives.
    pub tune: fn(&mut Settings),
    /// What happens, and when, in microseconds from the start.
    pub incidents: Vec<(Micros, Incident)>,
    /// How often a client comes again that was turned away.
    pub again: u32,
    /// Load on top of [`Self::rate`].
    pub burst: Option<Burst>,
    /// Hosts that start for the first time, and when, in microseconds from the start.
    pub joins: Vec<(usize, Micros)>,
}

/// More requests for a while.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins, in microseconds from the start.
    pub at: Micros,
    /// How long it lasts, in microseconds.
    pub span: Micros,
    /// Requests a second during the burst, in parts of [`Day::rate`].
    pub times: f64,
}

impl Day {
    /// All requests of the day, those of the burst included.
    pub(super) fn requests(&self) -> Vec<Planned> {
        let mut all = plan(&self.spec, self.seed, self.rate, self.span);
        let Some(burst) = self.burst else { return all };
        let rate = self.rate * (burst.times - 1.0).max(0.0);
        let more = plan(&self.spec, self.seed ^ 0xb1257, rate, burst.span);
        all.extend(more.into_iter().map(|planned| Planned { at: planned.at + burst.at, ..planned }));
        all
    }
}
