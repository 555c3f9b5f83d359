//! Simulation, in virtual time, of a fleet of proxies and the one discovery service that they call. Each
//! proxy calls as the program does (`src/net/discovery/mod.rs`); discovery answers one call after the other.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use wheelpier_decisions::membership::DiscoveryRetry;

/// Time after which a queued call fails.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of a simulation.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// How discovery handles calls during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls fail at once.
    Refuses,
    /// Calls are accepted and never answered, not even after the outage.
    Unanswered,
}

/// The reason why the proxies start to call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// All watches were reset at time zero.
    Reset,
    /// All watches fell silent at time zero, which is noticed after the given time.
    Silent(Duration),
    /// New settings name this discovery service.
    Moved,
    /// All proxies started.
    Fresh,
}

/// The properties of one discovery service, of the fleet and of an outage.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of proxies in the fleet.
    pub routers: u32,
    /// Number of proxies that call discovery.
    pub pollers: u32,
    pub is_polled: bool,
    /// Time that discovery needs for one call.
    pub call_duration: Duration,
    pub start: Start,
    pub outage: Outage,
    /// End of the outage. From then on discovery has a change and can be reached.
    pub outage_end: Duration,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Time from the end of the outage until each proxy had the change.
    pub latencies: Vec<Duration>,
    /// Number of failed calls.
    pub failed: usize,
    /// Number of calls that were answered although their proxy no longer waited.
    pub wasted: usize,
}

impl Outcome {
    pub fn worst(&self) -> Duration {
        self.latencies.iter().copied().max().unwrap_or(SIMULATED_TIME)
    }

    /// Returns the time until 90 % of the proxies had the change.
    pub fn ninetieth_percentile(&self) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        latencies.get((latencies.len() * 9).div_ceil(10).saturating_sub(1)).copied().unwrap_or(SIMULATED_TIME)
    }

    pub fn mean(&self) -> Duration {
        self.latencies.iter().sum::<Duration>() / self.latencies.len().max(1) as u32
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Discovery has answered the call that it serves.
    Answered,
    /// A call has been queued for too long.
    QueueTimeout(u64),
    /// A proxy has waited for an answer for the timeout of its last call.
    CallTimeout(usize, u64),
    /// A proxy starts to call.
    StartCalls(usize),
}

struct Proxy {
    retry: DiscoveryRetry,
    calling_since: Duration,
    /// Number of calls placed since then.
    calls_placed: usize,
    last_call: u64,
    /// Calls placed since then that may still be answered.
    open_calls: Vec<u64>,
    /// When the proxy got the change.
    updated_at: Option<Duration>,
}

struct Simulation {
    scenario: Scenario,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    proxies: Vec<Proxy>,
    /// Number of calls placed; the last call has this number.
    calls: u64,
    /// Queued calls, each with its proxy.
    queue: VecDeque<(u64, usize)>,
    /// The call that discovery serves, with its proxy.
    serving: Option<(u64, usize)>,
    outcome: Outcome,
}

/// Simulates a scenario.
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let proxy = |n: u32| Proxy {
        retry: DiscoveryRetry::new(scenario.routers, scenario.is_polled, seed * 1_000 + u64::from(n)),
        calling_since: Duration::ZERO,
        calls_placed: 0,
        last_call: 0,
        open_calls: Vec::new(),
        updated_at: None,
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
        simulation.events.push(Reverse((at, Event::StartCalls(n))));
    }
    while let Some(Reverse((at, event))) =
        simulation.events.pop().filter(|Reverse((at, _))| *at < SIMULATED_TIME)
    {
        simulation.now = at;
        simulation.handle_event(event);
    }
    let latency =
        |proxy: &Proxy| proxy.updated_at.unwrap_or(SIMULATED_TIME).saturating_sub(scenario.outage_end);
    simulation.outcome.latencies = simulation.proxies.iter().map(latency).collect();
    simulation.outcome
}

impl Simulation {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::StartCalls(n) => {
                let proxy = &mut self.proxies[n];
                (proxy.calling_since, proxy.calls_placed) = (self.now, 0);
                proxy.open_calls.clear();
                self.place_call(n);
            }
            Event::CallTimeout(n, last_call) => {
                let proxy = &self.proxies[n];
                // The proxy has an answer, or has placed another call since, or waits before it calls again.
                if proxy.updated_at.is_some() || proxy.last_call != last_call || proxy.open_calls.is_empty() {
                    return;
                }
                if proxy.calls_placed < proxy.retry.max_concurrent_calls() {
                    self.place_call(n);
                } else {
                    self.retry_later(n);
                }
            }
            Event::QueueTimeout(call) => {
                // The call has failed, but stays queued and is still processed, as real services were
                // observed to do.
                if let Some(&(_, n)) = self.queue.iter().find(|(queued, _)| *queued == call) {
                    self.outcome.failed += 1;
                    self.handle_failed_call(n, call);
                }
            }
            Event::Answered => {
                let (call, n) = self.serving.take().expect("a call is answered");
                let proxy = &mut self.proxies[n];
                if proxy.updated_at.is_none() && proxy.open_calls.contains(&call) {
                    proxy.updated_at = Some(self.now);
                } else {
                    self.outcome.wasted += 1;
                }
                self.serve();
            }
        }
    }

    /// Places a call. Earlier calls of the proxy stay open.
    fn place_call(&mut self, n: usize) {
        self.calls += 1;
        let call = self.calls;
        let proxy = &mut self.proxies[n];
        proxy.calls_placed += 1;
        proxy.last_call = call;
        proxy.open_calls.push(call);
        let call_timeout = proxy.retry.call_timeout();
        self.schedule(self.now + call_timeout, Event::CallTimeout(n, call));
        if self.now < self.scenario.outage_end {
            if self.scenario.outage == Outage::Refuses {
                self.outcome.failed += 1;
                self.handle_failed_call(n, call);
            }
            return;
        }
        self.queue.push_back((call, n));
        self.schedule(self.now + QUEUE_TIMEOUT, Event::QueueTimeout(call));
        self.serve();
    }

    /// Handles a failed call. Once its last open call has failed, the proxy waits and calls again.
    fn handle_failed_call(&mut self, n: usize, call: u64) {
        let proxy = &mut self.proxies[n];
        let open_calls = proxy.open_calls.len();
        proxy.open_calls.retain(|open_call| *open_call != call);
        if proxy.updated_at.is_none() && open_calls > 0 && proxy.open_calls.is_empty() {
            self.retry_later(n);
        }
    }

    fn retry_later(&mut self, n: usize) {
        let proxy = &mut self.proxies[n];
        proxy.open_calls.clear();
        let delay = proxy.retry.delay_after_failure(false, self.now - proxy.calling_since);
        self.schedule(self.now + delay, Event::StartCalls(n));
    }

    /// Starts to serve the next queued call if discovery serves none.
    fn serve(&mut self) {
        if self.serving.is_none() {
            self.serving = self.queue.pop_front();
            if self.serving.is_some() {
                self.schedule(self.now + self.scenario.call_duration, Event::Answered);
            }
        }
    }
}
