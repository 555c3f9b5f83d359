//! A fleet of proxies and the one discovery that they ask, in virtual time: each proxy asks as the program does
//! (`src/net/discovery.rs`), discovery answers one call after the other.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use wheelpier_decisions::membership::DiscoveryRetry;

/// A call that has queued for so long fails.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a fleet is watched.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// What discovery does with calls until it works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// They fail at once.
    Refuses,
    /// They are taken and never answered, not even once it works.
    Mute,
}

/// How the fleet came to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// All watches were reset at the first moment.
    Reset,
    /// All watches fell silent at the first moment, which is noticed so much later.
    Silent(Duration),
    /// All were sent to this discovery by new settings.
    Moved,
    /// All started.
    Fresh,
}

/// One discovery, and a fleet's way to it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub routers: u32,
    /// So many of them ask.
    pub pollers: u32,
    pub is_polled: bool,
    /// What a call takes of it.
    pub call_duration: Duration,
    pub start: Start,
    pub outage: Outage,
    /// Until when the outage lasts: from then on it has a change, and can be reached.
    pub until: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When each proxy held the change, from when it could be had.
    pub held: Vec<Duration>,
    /// Calls that failed.
    pub failed: usize,
    /// Calls that were answered though nobody waited any more.
    pub wasted: usize,
}

impl Outcome {
    pub fn worst(&self) -> Duration {
        self.held.iter().copied().max().unwrap_or(SIMULATED_TIME)
    }

    /// When nine in ten held it.
    pub fn nine_in_ten(&self) -> Duration {
        let mut held = self.held.clone();
        held.sort();
        held.get((held.len() * 9).div_ceil(10).saturating_sub(1)).copied().unwrap_or(SIMULATED_TIME)
    }

    pub fn mean(&self) -> Duration {
        self.held.iter().sum::<Duration>() / self.held.len().max(1) as u32
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Discovery has answered the call that it works on.
    Answered,
    /// A call has queued for too long.
    TimesOut(u64),
    /// A proxy has waited long enough for its calls.
    CallTimeout(usize, u64),
    /// A proxy asks.
    Calls(usize),
}

struct Proxy {
    retry: DiscoveryRetry,
    began: Duration,
    /// Calls placed since then, and those of them that may still be answered.
    calls_placed: usize,
    last_call: u64,
    open_calls: Vec<u64>,
    held: Option<Duration>,
}

struct Simulation {
    scenario: Scenario,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    proxies: Vec<Proxy>,
    calls: u64,
    queue: VecDeque<(u64, usize)>,
    serving: Option<(u64, usize)>,
    outcome: Outcome,
}

/// Plays a scenario.
pub fn play(scenario: Scenario, seed: u64) -> Outcome {
    let proxy = |n: u32| Proxy {
        retry: DiscoveryRetry::new(scenario.routers, scenario.is_polled, seed * 1_000 + u64::from(n)),
        began: Duration::ZERO,
        calls_placed: 0,
        last_call: 0,
        open_calls: Vec::new(),
        held: None,
    };
    let mut simulation = Simulation {
        scenario,
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        proxies: (0..scenario.pollers).map(proxy).collect(),
        calls: 0,
        queue: VecDeque::new(),
        serving: None,
        outcome: Outcome::default(),
    };
    for (n, proxy) in simulation.proxies.iter_mut().enumerate() {
        let at = match scenario.start {
            Start::Reset => proxy.retry.delay_after_failure(true, Duration::ZERO),
            Start::Silent(noticed) => noticed + proxy.retry.delay_after_failure(true, noticed),
            Start::Fresh => proxy.retry.initial_delay(),
            Start::Moved => proxy.retry.delay_after_move(),
        };
        simulation.events.push(Reverse((at, Event::Calls(n))));
    }
    while let Some(Reverse((at, event))) =
        simulation.events.pop().filter(|Reverse((at, _))| *at < SIMULATED_TIME)
    {
        simulation.now = at;
        simulation.handle_event(event);
    }
    let from = scenario.until;
    simulation.outcome.held =
        simulation.proxies.iter().map(|p| p.held.unwrap_or(SIMULATED_TIME).saturating_sub(from)).collect();
    simulation.outcome
}

impl Simulation {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Calls(n) => {
                let proxy = &mut self.proxies[n];
                (proxy.began, proxy.calls_placed) = (self.now, 0);
                proxy.open_calls.clear();
                self.place(n);
            }
            Event::CallTimeout(n, last_call) => {
                let proxy = &self.proxies[n];
                // Another call was placed since, or it was answered.
                if proxy.held.is_some() || proxy.last_call != last_call || proxy.open_calls.is_empty() {
                    return;
                }
                if proxy.calls_placed < proxy.retry.max_concurrent_calls() {
                    self.place(n);
                } else {
                    self.retry_later(n);
                }
            }
            Event::TimesOut(call) => {
                // It has failed, and is worked off all the same: an installation was seen to do so.
                if let Some(&(_, n)) = self.queue.iter().find(|(queued, _)| *queued == call) {
                    self.outcome.failed += 1;
                    self.handle_failed_call(n, call);
                }
            }
            Event::Answered => {
                let (call, n) = self.serving.take().expect("a call is answered");
                let proxy = &mut self.proxies[n];
                if proxy.held.is_none() && proxy.open_calls.contains(&call) {
                    proxy.held = Some(self.now);
                } else {
                    self.outcome.wasted += 1;
                }
                self.serve();
            }
        }
    }

    /// Places a call; the one before may wait beside it.
    fn place(&mut self, n: usize) {
        self.calls += 1;
        let call = self.calls;
        let proxy = &mut self.proxies[n];
        proxy.calls_placed += 1;
        proxy.last_call = call;
        proxy.open_calls.push(call);
        let call_timeout = proxy.retry.call_timeout();
        self.schedule(self.now + call_timeout, Event::CallTimeout(n, call));
        if self.now < self.scenario.until {
            if self.scenario.outage == Outage::Refuses {
                self.outcome.failed += 1;
                self.handle_failed_call(n, call);
            }
            return;
        }
        self.queue.push_back((call, n));
        self.schedule(self.now + QUEUE_TIMEOUT, Event::TimesOut(call));
        self.serve();
    }

    /// A call has failed; with the last of them, the proxy waits and asks again.
    fn handle_failed_call(&mut self, n: usize, call: u64) {
        let proxy = &mut self.proxies[n];
        let open_calls = proxy.open_calls.len();
        proxy.open_calls.retain(|open_calls| *open_calls != call);
        if proxy.held.is_none() && open_calls > 0 && proxy.open_calls.is_empty() {
            self.retry_later(n);
        }
    }

    fn retry_later(&mut self, n: usize) {
        let proxy = &mut self.proxies[n];
        proxy.open_calls.clear();
        let wait = proxy.retry.delay_after_failure(false, self.now - proxy.began);
        self.schedule(self.now + wait, Event::Calls(n));
    }

    fn serve(&mut self) {
        if self.serving.is_none() {
            self.serving = self.queue.pop_front();
            if self.serving.is_some() {
                self.schedule(self.now + self.scenario.call_duration, Event::Answered);
            }
        }
    }
}
