//! When a proxy asks discovery, as one of many that ask the same.
//!
//! Where a list must be asked for, discovery is one service with a fixed capacity. It guards against a fleet that
//! asks in step and against one that gives up while its calls still wait in the queue: both keep a discovery that
//! is overbooked from ever telling anybody anything. The sockets and the calls themselves are left to the caller.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The first wait after a failure, and the longest of a single proxy.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The longest wait where the list is pushed: an agent on the own machine is free, and what it gets when discovery
/// returns counts as told at once. The shortest grace after a drain that was seen is 0.5 s.
const PUSHED_BACK_OFF: Duration = Duration::from_millis(100);
/// An agent answers at once or is silent. What has not been answered after the first span is asked once more beside the
/// first call, which may be answered yet, and so many calls wait at the most.
const PUSHED: (Duration, usize) = (Duration::from_millis(250), 4);
/// What a call takes where nothing queues, at the most.
const CALL: Duration = Duration::from_secs(1);
/// And where calls queue: discovery itself fails what has waited too long, after 2 s at an installation that was seen,
/// and answers the rest. Who leaves before has cost the others a turn and has learnt nothing. The first call after a
/// watch fell silent waits a little less than the others: it may itself meet silence, and a further one has to bring the
/// list within 6 s of the last sign of life.
const QUEUED: (Duration, Duration) = (Duration::from_millis(2_250), Duration::from_secs(3));
/// What one call may take of discovery: a fleet that asks anew together leaves this much for each of its proxies.
/// A measured discovery served some 21 calls a second (`docs/measurements/003-large-fleet.md`).
const SLOT: Duration = Duration::from_millis(50);
/// How often the fleet's spread is doubled while discovery keeps failing.
const DOUBLINGS: u32 = 2;
/// The longest spread: a proxy that has not asked for longer is deemed told by the settings' usual `askWithin`.
const SPREAD: Duration = Duration::from_secs(10);

/// Draws the moments at which one proxy asks discovery.
#[derive(Debug)]
pub struct Asking {
    queues: bool,
    fleet: Duration,
    failures: u32,
    random: ChaCha8Rng,
}

impl Asking {
    /// The asking of one among `routers` proxies. Where the list is pushed (`on_request` is false) calls cost
    /// nothing, and the number of proxies does not matter.
    pub fn new(routers: u32, on_request: bool, seed: u64) -> Self {
        let others = if on_request { routers.saturating_sub(1) } else { 0 };
        Self {
            queues: on_request,
            fleet: SLOT * others,
            failures: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How long to wait before the first call of a proxy that already holds a list: many start together.
    pub fn first(&mut self) -> Duration {
        self.fleet.min(SPREAD).mul_f64(self.random.random())
    }

    /// How long a call may go unanswered. It may wait in a queue behind all other proxies' calls, and one that is
    /// given up there has cost its turn all the same.
    pub fn patience(&self) -> Duration {
        let queued = if self.failures == 0 { QUEUED.0 } else { QUEUED.1 };
        match self.queues {
            true => queued.max(CALL + self.fleet.min(SPREAD)),
            false => PUSHED.0,
        }
    }

    /// How many calls may wait for an answer beside each other, each a [`Self::patience`] after the one before.
    pub fn calls(&self) -> usize {
        if self.queues {
            1
        } else {
            PUSHED.1
        }
    }

    /// Whether the failure just counted is worth a word: the first of a row, and then ever more seldom.
    pub fn notable(&self) -> bool {
        self.failures == 0 || self.failures.is_power_of_two()
    }

    /// Discovery is to be asked elsewhere: what failed before says nothing of that.
    pub fn anew(&mut self) {
        self.failures = 0;
    }

    /// How long to wait after a watch or a call has failed. `told` says that it told something before.
    pub fn after_failure(&mut self, told: bool) -> Duration {
        self.failures = if told { 0 } else { self.failures + 1 };
        let alone = BACK_OFF.0 * 2u32.saturating_pow(self.failures).min(1 << 10);
        let fleet = self.fleet * (1 << self.failures.saturating_sub(1).min(DOUBLINGS));
        let longest = if self.queues { BACK_OFF.1 } else { PUSHED_BACK_OFF };
        let wait = alone.min(longest).max(fleet.min(SPREAD));
        // Between a half and the whole of what follows: whoever failed together does not ask together.
        wait.mul_f64(self.random.random_range(0.5..1.0))
    }
}
