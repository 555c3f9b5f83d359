//! A fleet of proxies and the one discovery that they ask, in virtual time: each proxy asks as the program does
//! (`src/net/discovery.rs`), discovery answers one call after the other.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use wheelpier_decisions::membership::DiscoveryRetry;

/// A call that has queued for so long fails.
const QUEUES: Duration = Duration::from_secs(2);
/// How long a fleet is watched.
const LENGTH: Duration = Duration::from_secs(60);

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
pub struct Day {
    pub routers: u32,
    /// So many of them ask.
    pub asks: u32,
    pub is_polled: bool,
    /// What a call takes of it.
    pub serves: Duration,
    pub start: Start,
    pub outage: Outage,
    /// Until when the outage lasts: from then on it has a change, and can be reached.
    pub until: Duration,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Found {
    /// When each proxy held the change, from when it could be had.
    pub held: Vec<Duration>,
    /// Calls that failed.
    pub failed: usize,
    /// Calls that were answered though nobody waited any more.
    pub wasted: usize,
}

impl Found {
    pub fn worst(&self) -> Duration {
        self.held.iter().copied().max().unwrap_or(LENGTH)
    }

    /// When nine in ten held it.
    pub fn nine_in_ten(&self) -> Duration {
        let mut held = self.held.clone();
        held.sort();
        held.get((held.len() * 9).div_ceil(10).saturating_sub(1)).copied().unwrap_or(LENGTH)
    }

    pub fn mean(&self) -> Duration {
        self.held.iter().sum::<Duration>() / self.held.len().max(1) as u32
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    /// Discovery has answered the call that it works on.
    Answered,
    /// A call has queued for too long.
    Fails(u64),
    /// A proxy has waited long enough for its calls.
    Impatient(usize, u64),
    /// A proxy asks.
    Asks(usize),
}

struct Proxy {
    retry: DiscoveryRetry,
    began: Duration,
    /// Calls placed since then, and those of them that may still be answered.
    placed: usize,
    last: u64,
    open: Vec<u64>,
    held: Option<Duration>,
}

struct Play {
    day: Day,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Happens)>>,
    proxies: Vec<Proxy>,
    calls: u64,
    queue: VecDeque<(u64, usize)>,
    serving: Option<(u64, usize)>,
    found: Found,
}

/// Plays such a day.
pub fn play(day: Day, seed: u64) -> Found {
    let proxy = |n: u32| Proxy {
        retry: DiscoveryRetry::new(day.routers, day.is_polled, seed * 1_000 + u64::from(n)),
        began: Duration::ZERO,
        placed: 0,
        last: 0,
        open: Vec::new(),
        held: None,
    };
    let mut play = Play {
        day,
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        proxies: (0..day.asks).map(proxy).collect(),
        calls: 0,
        queue: VecDeque::new(),
        serving: None,
        found: Found::default(),
    };
    for (n, proxy) in play.proxies.iter_mut().enumerate() {
        let at = match day.start {
            Start::Reset => proxy.retry.delay_after_failure(true, Duration::ZERO),
            Start::Silent(noticed) => noticed + proxy.retry.delay_after_failure(true, noticed),
            Start::Fresh => proxy.retry.initial_delay(),
            Start::Moved => proxy.retry.delay_after_move(),
        };
        play.events.push(Reverse((at, Happens::Asks(n))));
    }
    while let Some(Reverse((at, happens))) = play.events.pop().filter(|Reverse((at, _))| *at < LENGTH) {
        play.now = at;
        play.happens(happens);
    }
    let from = day.until;
    play.found.held = play.proxies.iter().map(|p| p.held.unwrap_or(LENGTH).saturating_sub(from)).collect();
    play.found
}

impl Play {
    fn at(&mut self, at: Duration, happens: Happens) {
        self.events.push(Reverse((at, happens)));
    }

    fn happens(&mut self, happens: Happens) {
        match happens {
            Happens::Asks(n) => {
                let proxy = &mut self.proxies[n];
                (proxy.began, proxy.placed) = (self.now, 0);
                proxy.open.clear();
                self.place(n);
            }
            Happens::Impatient(n, last) => {
                let proxy = &self.proxies[n];
                // Another call was placed since, or it was answered.
                if proxy.held.is_some() || proxy.last != last || proxy.open.is_empty() {
                    return;
                }
                if proxy.placed < proxy.retry.max_concurrent_calls() {
                    self.place(n);
                } else {
                    self.given_up(n);
                }
            }
            Happens::Fails(call) => {
                // It has failed, and is worked off all the same: an installation was seen to do so.
                if let Some(&(_, n)) = self.queue.iter().find(|(queued, _)| *queued == call) {
                    self.found.failed += 1;
                    self.failed(n, call);
                }
            }
            Happens::Answered => {
                let (call, n) = self.serving.take().expect("a call is answered");
                let proxy = &mut self.proxies[n];
                if proxy.held.is_none() && proxy.open.contains(&call) {
                    proxy.held = Some(self.now);
                } else {
                    self.found.wasted += 1;
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
        proxy.placed += 1;
        proxy.last = call;
        proxy.open.push(call);
        let call_timeout = proxy.retry.call_timeout();
        self.at(self.now + call_timeout, Happens::Impatient(n, call));
        if self.now < self.day.until {
            if self.day.outage == Outage::Refuses {
                self.found.failed += 1;
                self.failed(n, call);
            }
            return;
        }
        self.queue.push_back((call, n));
        self.at(self.now + QUEUES, Happens::Fails(call));
        self.serve();
    }

    /// A call has failed; with the last of them, the proxy waits and asks again.
    fn failed(&mut self, n: usize, call: u64) {
        let proxy = &mut self.proxies[n];
        let open = proxy.open.len();
        proxy.open.retain(|open| *open != call);
        if proxy.held.is_none() && open > 0 && proxy.open.is_empty() {
            self.given_up(n);
        }
    }

    fn given_up(&mut self, n: usize) {
        let proxy = &mut self.proxies[n];
        proxy.open.clear();
        let wait = proxy.retry.delay_after_failure(false, self.now - proxy.began);
        self.at(self.now + wait, Happens::Asks(n));
    }

    fn serve(&mut self) {
        if self.serving.is_none() {
            self.serving = self.queue.pop_front();
            if self.serving.is_some() {
                self.at(self.now + self.day.serves, Happens::Answered);
            }
        }
    }
}
