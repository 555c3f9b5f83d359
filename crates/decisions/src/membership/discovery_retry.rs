//! Schedule of a proxy's calls to discovery, which it shares with other proxies.
//!
//! Two requirements conflict. A change has to be known within a fixed time after discovery had it and was
//! reachable ([`FRESHNESS_BOUND`]), which limits the time between two calls. If lists are polled, discovery
//! is one service that answers calls one at a time: a fleet that calls all at once, or gives up calls that
//! are still queued, keeps it busy with calls whose answers nobody receives. So calls are spread over the
//! time that the first requirement leaves, and a call that is still queued stays open when the next one is
//! placed. The caller owns the sockets and makes the calls.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Maximum time until a change is known, after discovery had it and was reachable.
const FRESHNESS_BOUND: Duration = Duration::from_secs(6);
/// Maximum time until a change is known, after the address of discovery has changed.
const MOVED_FRESHNESS_BOUND: Duration = Duration::from_secs(4);
/// Part of both bounds that is reserved for a call that is queued; the calls of a fleet are spread over the
/// rest.
const CALL_ALLOWANCE: Duration = Duration::from_secs(2);
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff of a single proxy if lists are polled.
const MAX_POLLED_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff if lists are pushed: calls to an agent on the same machine cost nothing.
const MAX_PUSHED_BACKOFF: Duration = Duration::from_millis(100);
/// A call that fails within this time did not reach discovery, or found it down.
const UNREACHED_BOUND: Duration = Duration::from_millis(500);
/// Time that discovery needs for one call. The calls of a fleet are spread over this time for each of its
/// proxies.
const CALL_SLOT: Duration = Duration::from_millis(100);
/// Maximum number of times that the spread of the fleet's calls is doubled after calls that failed while
/// queued.
const MAX_OVERLOAD_DOUBLINGS: u32 = 2;
/// Maximum spread of the fleet's calls while discovery is overloaded.
const MAX_OVERLOADED_SPREAD: Duration = Duration::from_secs(10);
/// Maximum factor by which the backoff grows; a larger one would exceed the maximum backoff in any case.
const MAX_BACKOFF_FACTOR: u32 = 1 << 10;

/// Timeout of a call and the number of calls that may be open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallPolicy {
    /// Time after which another call is placed while this one stays open.
    timeout: Duration,
    /// Maximum number of open calls.
    max_concurrent: usize,
}

/// Policy for pushed lists. An agent on the same machine answers at once or not at all.
const PUSHED_CALLS: CallPolicy = CallPolicy { timeout: Duration::from_millis(250), max_concurrent: 4 };
/// Policy for polled lists. Discovery fails calls that have been queued for 2 s and answers the others. A
/// call that is given up earlier is still answered, which delays the calls of other proxies.
const POLLED_CALLS: CallPolicy = CallPolicy { timeout: Duration::from_millis(2_250), max_concurrent: 2 };

/// The schedule of one proxy's calls to discovery.
#[derive(Debug)]
pub struct DiscoveryRetry {
    is_polled: bool,
    /// Time over which the calls of the whole fleet are spread.
    fleet_spread: Duration,
    consecutive_failures: u32,
    /// Number of consecutive calls that failed while queued.
    consecutive_overloads: u32,
    /// Time for which discovery may have had a change and been reachable without this proxy knowing the
    /// change.
    possible_staleness: Duration,
    random: ChaCha8Rng,
}

impl DiscoveryRetry {
    /// Maximum number of open calls, whether lists are polled or pushed.
    pub const MAX_CONCURRENT_CALLS: usize = if PUSHED_CALLS.max_concurrent > POLLED_CALLS.max_concurrent {
        PUSHED_CALLS.max_concurrent
    } else {
        POLLED_CALLS.max_concurrent
    };

    /// Creates the schedule of one of `routers` proxies. If lists are pushed (`is_polled` is false), calls
    /// cost nothing and the number of proxies does not matter. `seed` determines the random part of the
    /// delays.
    pub fn new(routers: u32, is_polled: bool, seed: u64) -> Self {
        let others = if is_polled { routers.saturating_sub(1) } else { 0 };
        Self {
            is_polled,
            fleet_spread: CALL_SLOT * others,
            consecutive_failures: 0,
            consecutive_overloads: 0,
            possible_staleness: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the first call. It is random, since many proxies may start together.
    pub fn initial_delay(&mut self) -> Duration {
        self.fleet_spread.min(FRESHNESS_BOUND - CALL_ALLOWANCE).mul_f64(self.random.random())
    }

    /// Returns the time after which another call is placed while an unanswered one stays open.
    pub fn call_timeout(&self) -> Duration {
        self.call_policy().timeout
    }

    /// Returns the maximum number of open calls, each placed one [`Self::call_timeout`] after the one before.
    pub fn max_concurrent_calls(&self) -> usize {
        self.call_policy().max_concurrent
    }

    fn call_policy(&self) -> CallPolicy {
        if self.is_polled {
            POLLED_CALLS
        } else {
            PUSHED_CALLS
        }
    }

    /// Returns whether the last failure should be logged: the first one after an answer, and then those whose
    /// number since that answer is a power of two.
    pub fn should_log(&self) -> bool {
        self.consecutive_failures == 0 || self.consecutive_failures.is_power_of_two()
    }

    /// Returns the delay before the first call to a new address of discovery. Failures at the old address no
    /// longer count. The whole fleet changes the address at once and has less time than after a start.
    pub fn delay_after_move(&mut self) -> Duration {
        self.consecutive_failures = 0;
        self.consecutive_overloads = 0;
        self.possible_staleness = FRESHNESS_BOUND - MOVED_FRESHNESS_BOUND;
        self.fleet_spread.min(MOVED_FRESHNESS_BOUND - CALL_ALLOWANCE).mul_f64(self.random.random())
    }

    /// Returns the delay after a watch or a call has failed. `was_answered` says whether it had received
    /// anything before it failed; `lasted` is the time since the call began, or since the watch last received
    /// anything.
    pub fn delay_after_failure(&mut self, was_answered: bool, lasted: Duration) -> Duration {
        self.record_failure(was_answered, lasted);
        let spread = self.retry_spread();
        // Proxies that failed together spread their first calls over the whole span. Their later calls are
        // already spread and keep about the same distance.
        let shortest = match self.consecutive_failures {
            0 => spread.min(INITIAL_BACKOFF) / 2,
            _ => spread / 2,
        };
        let delay = self.random.random_range(shortest..=spread);
        if !self.possible_staleness.is_zero() {
            self.possible_staleness += delay;
        }
        delay
    }

    fn record_failure(&mut self, was_answered: bool, lasted: Duration) {
        self.consecutive_failures = if was_answered { 0 } else { self.consecutive_failures + 1 };
        let was_reached = lasted >= UNREACHED_BOUND;
        self.possible_staleness = match was_reached {
            false => Duration::ZERO,
            true if was_answered => lasted,
            true => self.possible_staleness + lasted,
        };
        // A call that discovery fails after a while was queued: discovery is overloaded. A call without any
        // answer has another cause.
        let answer_bound = self.call_timeout() * self.max_concurrent_calls() as u32;
        let failed_in_queue = was_reached && !was_answered && lasted < answer_bound;
        self.consecutive_overloads = if failed_in_queue { self.consecutive_overloads + 1 } else { 0 };
    }

    /// Returns the longest delay before the next call. While discovery is overloaded, the fleet calls less
    /// often than the freshness bound requires: discovery also processes calls that were given up, and would
    /// no longer answer any call in time.
    fn retry_spread(&self) -> Duration {
        let max_backoff = if self.is_polled { MAX_POLLED_BACKOFF } else { MAX_PUSHED_BACKOFF };
        let factor = 2u32.saturating_pow(self.consecutive_failures).min(MAX_BACKOFF_FACTOR);
        let backoff = (INITIAL_BACKOFF * factor).min(max_backoff);
        if self.consecutive_overloads == 0 {
            let remaining = (FRESHNESS_BOUND - CALL_ALLOWANCE)
                .saturating_sub(self.possible_staleness)
                .max(INITIAL_BACKOFF);
            return backoff.max(self.fleet_spread).min(remaining);
        }
        let doublings = (self.consecutive_overloads - 1).min(MAX_OVERLOAD_DOUBLINGS);
        backoff.max((self.fleet_spread * (1 << doublings)).min(MAX_OVERLOADED_SPREAD))
    }
}
