//! When a proxy asks discovery, as one of many that ask the same.
//!
//! Two bounds pull against each other. A change counts as known a fixed time after discovery had it and could be
//! reached, whatever failed before: that bounds the time between two calls ([`WITHIN`]). Where the list must be asked
//! for, discovery is one service that answers one call after the other: a fleet that asks in one moment, or that gives up
//! while its calls still queue, keeps it busy for nothing. So calls are spread over what the first bound leaves, and one
//! that queues is kept while the next is placed beside it. The sockets and the calls themselves are left to the caller.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A change counts as known so long after discovery had it and could be reached.
const WITHIN: Duration = Duration::from_secs(6);
/// And so long after discovery has moved to another address.
const MOVED_WITHIN: Duration = Duration::from_secs(4);
/// What of [`WITHIN`] a call may need where calls queue, the rest is what a fleet's calls are spread over.
const CALL: Duration = Duration::from_secs(2);
/// The first wait after a failure, and the longest of a single proxy.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The longest wait where the list is pushed: an agent on the own machine is free, and what it gets when discovery
/// returns counts as told at once. The shortest grace after a drain that was seen is 0.5 s.
const PUSHED_BACK_OFF: Duration = Duration::from_millis(100);
/// An agent answers at once or is silent. What has not been answered after the first span is asked once more beside the
/// first call, which may be answered yet, and so many calls wait at the most.
const PUSHED: (Duration, usize) = (Duration::from_millis(250), 4);
/// The same where calls queue: discovery itself fails what has waited too long, after 2 s at an installation that was
/// seen, and answers the rest. One that is given up before has cost the others a turn and has brought nothing.
const QUEUED: (Duration, usize) = (Duration::from_millis(2_250), 2);
/// A call that fails sooner did not reach discovery, or found it down: what that has is had later.
const UNREACHED: Duration = Duration::from_millis(500);
/// What one call may take of discovery: a fleet that asks together leaves this much for each of its proxies, up to what
/// [`WITHIN`] leaves. Measured discoveries served 21 calls a second of 100 proxies (`docs/measurements/003-large-fleet.md`)
/// and 12 of 60.
const SLOT: Duration = Duration::from_millis(100);
/// A call that has queued in vain is worked off all the same: when that happens the whole fleet asks more seldom, each time
/// twice as seldom, so that discovery catches up. Otherwise it would answer nobody any more.
const OVERBOOKED: (u32, Duration) = (2, Duration::from_secs(10));

/// Draws the moments at which one proxy asks discovery.
#[derive(Debug)]
pub struct DiscoveryRetry {
    queues: bool,
    /// What the whole fleet's calls may take.
    fleet: Duration,
    failures: u32,
    /// Calls in a row that have queued in vain.
    overbooked: u32,
    /// How long discovery may have had a change, and been in reach, without this proxy knowing.
    behind: Duration,
    random: ChaCha8Rng,
}

impl DiscoveryRetry {
    /// How many calls wait beside each other at the most, however lists come.
    pub const MOST_CALLS: usize = if PUSHED.1 > QUEUED.1 { PUSHED.1 } else { QUEUED.1 };

    /// The asking of one among `routers` proxies. Where the list is pushed (`on_request` is false) calls cost
    /// nothing, and the number of proxies does not matter.
    pub fn new(routers: u32, on_request: bool, seed: u64) -> Self {
        let others = if on_request { routers.saturating_sub(1) } else { 0 };
        Self {
            queues: on_request,
            fleet: SLOT * others,
            failures: 0,
            overbooked: 0,
            behind: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How long to wait before the first call: many start together.
    pub fn first(&mut self) -> Duration {
        self.fleet.min(WITHIN - CALL).mul_f64(self.random.random())
    }

    /// How long a call goes unanswered before another is placed beside it.
    pub fn patience(&self) -> Duration {
        self.beside().0
    }

    /// How many calls may wait for an answer beside each other, each a [`Self::patience`] after the one before.
    pub fn calls(&self) -> usize {
        self.beside().1
    }

    fn beside(&self) -> (Duration, usize) {
        if self.queues {
            QUEUED
        } else {
            PUSHED
        }
    }

    /// Whether the failure just counted is worth a word: the first of a row, and then ever more seldom.
    pub fn notable(&self) -> bool {
        self.failures == 0 || self.failures.is_power_of_two()
    }

    /// How long to wait before the first call to another discovery, as new settings name one: what failed before says
    /// nothing of that, less time is left, and all of the fleet are sent there together.
    pub fn anew(&mut self) -> Duration {
        (self.failures, self.overbooked) = (0, 0);
        self.behind = WITHIN - MOVED_WITHIN;
        self.fleet.min(MOVED_WITHIN - CALL).mul_f64(self.random.random())
    }

    /// How long to wait after a watch or a call has failed. `heard` says that it brought something before; `lasted` is the
    /// time since the call began, or since the watch's last sign of life.
    pub fn after_failure(&mut self, heard: bool, lasted: Duration) -> Duration {
        self.failures = if heard { 0 } else { self.failures + 1 };
        let reached = lasted >= UNREACHED;
        self.behind = match reached {
            false => Duration::ZERO,
            true if heard => lasted,
            true => self.behind + lasted,
        };
        // Discovery has answered, late, that it cannot; one that does not answer at all is another matter.
        let queued = reached && !heard && lasted < self.patience() * self.calls() as u32;
        self.overbooked = if queued { self.overbooked + 1 } else { 0 };
        let alone = BACK_OFF.0 * 2u32.saturating_pow(self.failures).min(1 << 10);
        let longest = if self.queues { BACK_OFF.1 } else { PUSHED_BACK_OFF };
        let left = (WITHIN - CALL).saturating_sub(self.behind).max(BACK_OFF.0);
        let wait = match self.overbooked {
            0 => alone.min(longest).max(self.fleet).min(left),
            n => alone.min(longest).max((self.fleet * (1 << (n - 1).min(OVERBOOKED.0))).min(OVERBOOKED.1)),
        };
        // Whoever failed together does not ask together: the first call is spread over the whole span. Those after it
        // are spread already, and keep about the same distance.
        let least = if self.failures == 0 { wait.min(BACK_OFF.0) } else { wait } / 2;
        let wait = self.random.random_range(least..=wait);
        self.behind += if self.behind.is_zero() { Duration::ZERO } else { wait };
        wait
    }
}
