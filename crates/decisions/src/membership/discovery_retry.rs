//! When a proxy polls discovery, as one of many that poll the same service.
//!
//! Two bounds conflict. A change has to be known within a fixed time after discovery had it and could be reached, which
//! bounds the time between two calls ([`FRESHNESS_BOUND`]). If lists are polled, discovery is one service that answers
//! calls one after the other: a fleet that calls at one moment, or gives calls up while they still queue, keeps it busy
//! for nothing. So calls are spread over what the first bound leaves, and the next call is placed beside one that queues.
//! Sockets and the calls themselves are left to the caller.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A change has to be known within this time after discovery had it and could be reached.
const FRESHNESS_BOUND: Duration = Duration::from_secs(6);
/// The same after the address of discovery has changed.
const MOVED_FRESHNESS_BOUND: Duration = Duration::from_secs(4);
/// Part of the bounds that a call may need where calls queue; the calls of a fleet are spread over the rest.
const CALL_ALLOWANCE: Duration = Duration::from_secs(2);
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff of a single proxy where lists are polled.
const MAX_POLLED_BACKOFF: Duration = Duration::from_secs(1);
/// The longest backoff where lists are pushed: an agent on the same machine costs nothing to call.
const MAX_PUSHED_BACKOFF: Duration = Duration::from_millis(100);
/// A call that fails sooner did not reach discovery, or found it down.
const UNREACHED_BOUND: Duration = Duration::from_millis(500);
/// Time that one call takes of discovery; a fleet that calls together leaves this much for each of its proxies.
const CALL_SLOT: Duration = Duration::from_millis(100);
/// How often the spread over which the fleet calls is doubled after calls that queued in vain.
const MAX_OVERLOAD_DOUBLINGS: u32 = 2;
/// The longest spread of the fleet's calls while discovery is overloaded.
const MAX_OVERLOADED_SPREAD: Duration = Duration::from_secs(10);
/// Doublings of the backoff that are computed; more would exceed its bound in any case.
const MAX_BACKOFF_FACTOR: u32 = 1 << 10;

/// How many calls wait for an answer beside each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallPolicy {
    /// How long a call goes unanswered before another one is placed beside it.
    timeout: Duration,
    /// Bound on the calls that wait at a time.
    max_concurrent: usize,
}

/// An agent on the same machine answers at once or not at all.
const PUSHED_CALLS: CallPolicy = CallPolicy { timeout: Duration::from_millis(250), max_concurrent: 4 };
/// Discovery fails calls that have queued for 2 s and answers the rest: to give one up before would cost the others a turn.
const POLLED_CALLS: CallPolicy = CallPolicy { timeout: Duration::from_millis(2_250), max_concurrent: 2 };

/// Decides when one proxy calls discovery.
#[derive(Debug)]
pub struct DiscoveryRetry {
    is_polled: bool,
    /// Spread of the calls of the whole fleet.
    fleet_spread: Duration,
    consecutive_failures: u32,
    /// Consecutive calls that queued in vain.
    consecutive_overloads: u32,
    /// How long discovery may have had a change and been reachable without this proxy knowing of it.
    behind: Duration,
    random: ChaCha8Rng,
}

impl DiscoveryRetry {
    /// Bound on the calls that wait at a time, whether lists are polled or pushed.
    pub const MAX_CONCURRENT_CALLS: usize = if PUSHED_CALLS.max_concurrent > POLLED_CALLS.max_concurrent {
        PUSHED_CALLS.max_concurrent
    } else {
        POLLED_CALLS.max_concurrent
    };

    /// Creates the schedule of one of `routers` proxies. If lists are pushed (`is_polled` is false) calls cost nothing and
    /// the number of proxies does not matter. `seed` decides the random part of the delays.
    pub fn new(routers: u32, is_polled: bool, seed: u64) -> Self {
        let others = if is_polled { routers.saturating_sub(1) } else { 0 };
        Self {
            is_polled,
            fleet_spread: CALL_SLOT * others,
            consecutive_failures: 0,
            consecutive_overloads: 0,
            behind: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the first call: many proxies start together.
    pub fn initial_delay(&mut self) -> Duration {
        self.fleet_spread.min(FRESHNESS_BOUND - CALL_ALLOWANCE).mul_f64(self.random.random())
    }

    /// Returns how long a call goes unanswered before another one is placed beside it.
    pub fn call_timeout(&self) -> Duration {
        self.call_policy().timeout
    }

    /// Returns how many calls may wait at a time, each placed one [`Self::call_timeout`] after the one before.
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

    /// Returns whether the last failure should be logged: the first one, and then those that a power of two counts.
    pub fn should_log(&self) -> bool {
        self.consecutive_failures == 0 || self.consecutive_failures.is_power_of_two()
    }

    /// Returns the delay before the first call to a new address of discovery. Earlier failures do not count for it. The
    /// whole fleet moves at once and has less time than after a start.
    pub fn delay_after_move(&mut self) -> Duration {
        self.consecutive_failures = 0;
        self.consecutive_overloads = 0;
        self.behind = FRESHNESS_BOUND - MOVED_FRESHNESS_BOUND;
        self.fleet_spread.min(MOVED_FRESHNESS_BOUND - CALL_ALLOWANCE).mul_f64(self.random.random())
    }

    /// Returns the delay after a watch or a call has failed. `was_answered` tells whether it brought something before;
    /// `lasted` is the time since the call began, or since the watch last received anything.
    pub fn delay_after_failure(&mut self, was_answered: bool, lasted: Duration) -> Duration {
        self.record_failure(was_answered, lasted);
        let spread = self.retry_spread();
        // Proxies that failed together are spread over the whole span at their first call. Later ones are spread already
        // and keep about the same distance.
        let shortest = match self.consecutive_failures {
            0 => spread.min(INITIAL_BACKOFF) / 2,
            _ => spread / 2,
        };
        let delay = self.random.random_range(shortest..=spread);
        if !self.behind.is_zero() {
            self.behind += delay;
        }
        delay
    }

    fn record_failure(&mut self, was_answered: bool, lasted: Duration) {
        self.consecutive_failures = if was_answered { 0 } else { self.consecutive_failures + 1 };
        let was_reached = lasted >= UNREACHED_BOUND;
        self.behind = match was_reached {
            false => Duration::ZERO,
            true if was_answered => lasted,
            true => self.behind + lasted,
        };
        // A late failure means that discovery is overloaded; no answer at all means something else.
        let answer_bound = self.call_timeout() * self.max_concurrent_calls() as u32;
        let has_queued = was_reached && !was_answered && lasted < answer_bound;
        self.consecutive_overloads = if has_queued { self.consecutive_overloads + 1 } else { 0 };
    }

    /// The longest delay before the next call. While discovery is overloaded the fleet calls less often than the freshness
    /// bound asks for: discovery works off calls that were given up, too, and would answer nobody any more.
    fn retry_spread(&self) -> Duration {
        let max_backoff = if self.is_polled { MAX_POLLED_BACKOFF } else { MAX_PUSHED_BACKOFF };
        let factor = 2u32.saturating_pow(self.consecutive_failures).min(MAX_BACKOFF_FACTOR);
        let backoff = (INITIAL_BACKOFF * factor).min(max_backoff);
        if self.consecutive_overloads == 0 {
            let left = (FRESHNESS_BOUND - CALL_ALLOWANCE).saturating_sub(self.behind).max(INITIAL_BACKOFF);
            return backoff.max(self.fleet_spread).min(left);
        }
        let doublings = (self.consecutive_overloads - 1).min(MAX_OVERLOAD_DOUBLINGS);
        backoff.max((self.fleet_spread * (1 << doublings)).min(MAX_OVERLOADED_SPREAD))
    }
}
